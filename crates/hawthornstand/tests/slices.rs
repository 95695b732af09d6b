//! `SliceSet` agrees with a set of numbers.

use std::collections::BTreeSet;

use hawthornstand::searches::slices::SliceSet;
use proptest::prelude::*;

type Ranges = Vec<(u64, u64)>;

fn ranges() -> impl Strategy<Value = Ranges> {
    prop::collection::vec((0..40u64, 0..40u64), 0..6)
}

fn set_and_model(ranges: &Ranges) -> (SliceSet, BTreeSet<u64>) {
    let mut set = SliceSet::default();
    let mut model = BTreeSet::new();
    for &(start, end) in ranges {
        set.insert(start, end);
        model.extend(start..end);
    }
    (set, model)
}

fn elements(set: &SliceSet) -> BTreeSet<u64> {
    set.as_pairs().iter().flat_map(|&(start, end)| start..end).collect()
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    #[test]
    fn operations_agree_with_a_set_of_numbers(a in ranges(), b in ranges()) {
        let ((a, model_a), (b, model_b)) = (set_and_model(&a), set_and_model(&b));
        prop_assert_eq!(elements(&a), model_a.clone());
        prop_assert_eq!(elements(&a.difference(&b)), &model_a - &model_b);
        prop_assert_eq!(elements(&a.intersection(&b)), &model_a & &model_b);
        prop_assert_eq!(a.covers(&b), model_b.is_subset(&model_a));
        prop_assert_eq!(a.len(), model_a.len() as u64);
        prop_assert!((0..41).all(|slice| a.contains(slice) == model_a.contains(&slice)));
        prop_assert!(a.as_pairs().windows(2).all(|pair| pair[0].1 < pair[1].0), "ranges are disjoint and not adjacent");
    }
}
