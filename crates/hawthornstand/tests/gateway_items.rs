//! Published items merged from the store and from other VMs, in any order.

use bytes::Bytes;
use hawthornstand::gateway::items::{Change, Update, VersionedItems};
use proptest::prelude::*;

fn change(key: &str, revision: u64, value: Option<&'static str>) -> Change {
    Change {
        after_outage: false,
        key: key.to_string(),
        revision,
        value: value.map(|text| Bytes::from_static(text.as_bytes())),
    }
}

fn update(after: u64, as_of: u64, changes: Vec<Change>) -> Update {
    Update { after, after_outage: false, as_of, changes }
}

fn value(items: &VersionedItems, key: &str) -> Option<Bytes> {
    items.last_change(key).and_then(|change| change.value.clone())
}

#[test]
fn older_news_never_replaces_newer() {
    let mut items = VersionedItems::default();
    items.apply(&update(0, 9, vec![change("a", 9, Some("new"))]));
    assert!(items.apply(&update(0, 5, vec![change("a", 5, Some("old"))])).is_empty());
    assert_eq!(value(&items, "a"), Some(Bytes::from_static(b"new")));
    assert_eq!(items.as_of(), 9);
}

#[test]
fn removed_key_is_not_brought_back_by_an_older_list() {
    let mut items = VersionedItems::default();
    items.apply(&update(0, 5, vec![change("a", 4, Some("x"))]));
    items.apply(&update(5, 7, vec![change("a", 7, None)]));
    items.apply(&update(0, 6, vec![change("a", 4, Some("x"))]));
    assert_eq!(value(&items, "a"), None);
}

#[test]
fn key_that_a_newer_list_lacks_is_removed() {
    let mut items = VersionedItems::default();
    items.apply(&update(0, 5, vec![change("a", 4, Some("x")), change("b", 5, Some("y"))]));
    assert_eq!(items.apply(&update(0, 8, vec![change("b", 5, Some("y"))])), ["a"]);
}

#[test]
fn key_that_is_newer_than_a_list_survives_it() {
    let mut items = VersionedItems::default();
    items.apply(&update(0, 9, vec![change("a", 9, Some("x"))]));
    assert!(items.apply(&update(0, 8, vec![])).is_empty());
    assert!(value(&items, "a").is_some());
}

#[test]
fn news_with_a_gap_before_it_does_not_count_as_complete() {
    let mut items = VersionedItems::default();
    items.apply(&update(0, 5, vec![]));
    items.apply(&update(7, 9, vec![change("a", 9, Some("x"))]));
    assert_eq!(items.as_of(), 5);
    assert!(value(&items, "a").is_some());
}

#[test]
fn reader_behind_the_first_list_gets_everything() {
    let mut items = VersionedItems::default();
    items.apply(&update(0, 5, vec![change("a", 4, Some("x"))]));
    items.apply(&update(5, 6, vec![change("b", 6, None)]));
    let all = items.changes_since(3);
    assert_eq!((all.after, all.changes.len()), (0, 1));
    let news = items.changes_since(5);
    assert_eq!((news.after, news.changes), (5, vec![change("b", 6, None)]));
}

proptest! {
    /// Whatever order updates of one history come in, the last change of each key stays.
    #[test]
    fn order_of_news_does_not_matter(
        mut history in prop::collection::vec((0_u8..4, any::<bool>()), 1..20),
        order in prop::collection::vec(any::<prop::sample::Index>(), 20),
    ) {
        let changes: Vec<Change> = history
            .drain(..)
            .enumerate()
            .map(|(at, (key, present))| change(&key.to_string(), at as u64 + 1, present.then_some("v")))
            .collect();
        let mut straight = VersionedItems::default();
        let mut shuffled = VersionedItems::default();
        for one in &changes {
            straight.apply(&update(one.revision - 1, one.revision, vec![one.clone()]));
        }
        let mut left = changes;
        for index in order {
            if left.is_empty() {
                break;
            }
            let one = left.remove(index.index(left.len()));
            shuffled.apply(&update(one.revision, one.revision, vec![one]));
        }
        prop_assert_eq!(straight.changes(), shuffled.changes());
    }
}
