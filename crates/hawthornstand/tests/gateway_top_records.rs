//! Merging of the greatest records, compared with a sort of all records.

use bytes::Bytes;
use hawthornstand::gateway::top_records::{RECORD_BYTES, merge};
use proptest::prelude::*;

/// Sorts all records and returns the greatest ones.
fn sort_and_truncate(parts: &[Bytes], count: usize) -> Vec<u8> {
    let mut records: Vec<&[u8]> =
        parts.iter().flat_map(|part| part.chunks_exact(RECORD_BYTES)).collect();
    records.sort_unstable_by(|a, b| b.cmp(a));
    records.truncate(count);
    records.concat()
}

proptest! {
    #[test]
    fn merge_equals_a_sort(
        parts in prop::collection::vec(prop::collection::vec(0_u8..3, 0..200), 0..6),
        count in 0_usize..20,
    ) {
        let parts: Vec<Bytes> = parts.into_iter().map(Bytes::from).collect();
        prop_assert_eq!(merge(&parts, count).to_vec(), sort_and_truncate(&parts, count));
    }
}

#[test]
fn bytes_that_do_not_fill_a_record_are_ignored() {
    assert!(merge(&[Bytes::from_static(b"fifteen bytes..")], 5).is_empty());
}

#[test]
fn equal_records_are_all_kept() {
    let part = Bytes::from_static(b"0123456789abcdef");
    assert_eq!(merge(&[part.clone(), part.clone()], 5).len(), 2 * RECORD_BYTES);
}
