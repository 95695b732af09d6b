//! Merges the answers of shards into the greatest records.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use bytes::{Bytes, BytesMut};

/// Length of a record, in bytes.
pub const RECORD_BYTES: usize = 16;

/// Returns the greatest `count` records of all parts, greatest first; equal records are all kept.
///
/// Bytes at the end of a part that do not fill a record are ignored.
pub fn merge(parts: &[Bytes], count: usize) -> Bytes {
    let mut greatest: BinaryHeap<Reverse<&[u8]>> = BinaryHeap::with_capacity(count + 1);
    for record in parts.iter().flat_map(|part| part.chunks_exact(RECORD_BYTES)) {
        if greatest.len() < count {
            greatest.push(Reverse(record));
            continue;
        }
        if greatest.peek().is_some_and(|smallest| smallest.0 < record) {
            greatest.pop();
            greatest.push(Reverse(record));
        }
    }
    let mut answer = BytesMut::with_capacity(greatest.len() * RECORD_BYTES);
    for Reverse(record) in greatest.into_sorted_vec() {
        answer.extend_from_slice(record);
    }
    answer.freeze()
}
