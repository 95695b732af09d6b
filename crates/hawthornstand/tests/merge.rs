//! A merged answer is of one version and its coverage is exact, for any answers in any order.

mod support;

use hawthornstand::messages::{LeafAnswer, MissingReason};
use hawthornstand::searches::merge::Merger;
use hawthornstand::searches::slices::SliceSet;
use proptest::prelude::*;
use support::{answer_for, range};

const REQUESTED: (u64, u64) = (10, 50);

fn arbitrary_answer() -> impl Strategy<Value = LeafAnswer> {
    (1..3u64, prop::collection::vec((0..60u64, 0..60u64), 0..4)).prop_map(|(version, ranges)| {
        let ranges: Vec<_> = ranges.into_iter().map(|(start, end)| range(start, end)).collect();
        // A slice occurs once within an answer; different answers may overlap.
        answer_for(version, &SliceSet::from_ranges(&ranges).to_ranges())
    })
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    #[test]
    fn coverage_equals_hits_of_one_version(answers in prop::collection::vec(arbitrary_answer(), 0..8)) {
        let mut merger = Merger::new(1, SliceSet::from_range(REQUESTED.0, REQUESTED.1));
        let mut expected = SliceSet::default();
        for answer in &answers {
            if answer.version == 1 {
                expected.insert_all(&SliceSet::from_ranges(&answer.slices));
            }
            merger.add(answer.clone());
        }
        let expected = expected.intersection(&SliceSet::from_range(REQUESTED.0, REQUESTED.1));
        let result = merger.finish("roster", usize::MAX);
        let covered = SliceSet::from_ranges(&result.coverage.covered);
        prop_assert_eq!(&covered, &expected);
        let mut slices: Vec<u64> = result.hits.iter().map(|hit| hit.slice).collect();
        slices.sort_unstable();
        prop_assert!(slices.windows(2).all(|pair| pair[0] < pair[1]), "each slice once");
        prop_assert_eq!(slices.len() as u64, covered.len());
        prop_assert!(result.hits.iter().all(|hit| hit.record == "v1" && covered.contains(hit.slice)));
        let mut all = covered;
        for missing in &result.coverage.missing {
            all.insert_all(&SliceSet::from_ranges(&missing.slices));
        }
        prop_assert_eq!(all, SliceSet::from_range(REQUESTED.0, REQUESTED.1));
        prop_assert_eq!(result.coverage.complete, result.coverage.missing.is_empty());
    }
}

#[test]
fn the_last_recorded_reason_explains_a_missing_slice() {
    let mut merger = Merger::new(1, SliceSet::from_range(0, 30));
    merger.add(answer_for(1, &[range(0, 10)]));
    merger.add_missing(MissingReason::ReplicaLost, SliceSet::from_range(10, 20));
    merger.add_missing(MissingReason::Quarantined, SliceSet::from_range(15, 20));
    insta::assert_json_snapshot!(merger.finish("roster", 0).coverage);
}
