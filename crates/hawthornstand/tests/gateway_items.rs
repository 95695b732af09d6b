//! Merging of published items from the store and from other VMs, in any order.

use bytes::Bytes;
use hawthornstand::gateway::items::{Change, Update, VersionedItems};
use hawthornstand::gateway::store_version::StoreVersion;
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
    Update { after, after_outage: false, as_of, changes, era: 0 }
}

fn version(revision: u64) -> StoreVersion {
    StoreVersion { era: 0, revision }
}

fn value(items: &VersionedItems, key: &str) -> Option<Bytes> {
    items.last_change(key).and_then(|change| change.value.clone())
}

#[test]
fn older_change_does_not_replace_a_newer_one() {
    let mut items = VersionedItems::default();
    items.apply(&update(0, 9, vec![change("a", 9, Some("new"))]));
    assert!(items.apply(&update(0, 5, vec![change("a", 5, Some("old"))])).changes.is_empty());
    assert_eq!(value(&items, "a"), Some(Bytes::from_static(b"new")));
    assert_eq!(items.as_of(), version(9));
}

#[test]
fn older_full_list_does_not_restore_a_removed_key() {
    let mut items = VersionedItems::default();
    items.apply(&update(0, 5, vec![change("a", 4, Some("x"))]));
    items.apply(&update(5, 7, vec![change("a", 7, None)]));
    items.apply(&update(0, 6, vec![change("a", 4, Some("x"))]));
    assert_eq!(value(&items, "a"), None);
}

/// Guards against a removed key that comes back with an older list, which arrives after a newer one that lacks the key.
#[test]
fn older_full_list_does_not_restore_a_key_that_was_never_seen() {
    let mut items = VersionedItems::default();
    items.apply(&update(0, 7, vec![]));
    items.apply(&update(0, 6, vec![change("a", 4, Some("x"))]));
    assert_eq!(value(&items, "a"), None);
}

#[test]
fn newer_full_list_removes_the_keys_it_lacks() {
    let mut items = VersionedItems::default();
    items.apply(&update(0, 5, vec![change("a", 4, Some("x")), change("b", 5, Some("y"))]));
    let applied = items.apply(&update(0, 8, vec![change("b", 5, Some("y"))]));
    let keys: Vec<_> = applied.changes.iter().map(|change| change.key.as_str()).collect();
    assert_eq!(keys, ["a"]);
}

#[test]
fn full_list_does_not_remove_a_newer_key() {
    let mut items = VersionedItems::default();
    items.apply(&update(0, 9, vec![change("a", 9, Some("x"))]));
    assert!(items.apply(&update(0, 8, vec![])).changes.is_empty());
    assert!(value(&items, "a").is_some());
}

#[test]
fn update_after_a_gap_does_not_advance_the_complete_revision() {
    let mut items = VersionedItems::default();
    items.apply(&update(0, 5, vec![]));
    items.apply(&update(7, 9, vec![change("a", 9, Some("x"))]));
    assert_eq!(items.as_of(), version(5));
    assert!(value(&items, "a").is_some());
}

#[test]
fn vm_behind_the_first_full_list_gets_a_full_list() {
    let mut items = VersionedItems::default();
    items.apply(&update(0, 5, vec![change("a", 4, Some("x"))]));
    items.apply(&update(5, 6, vec![change("b", 6, None)]));
    let full_list = items.changes_since(version(3));
    assert_eq!((full_list.after, full_list.changes.len()), (0, 1));
    let changes = items.changes_since(version(5));
    assert_eq!((changes.after, changes.changes), (5, vec![change("b", 6, None)]));
}

proptest! {
    /// Updates that arrive in another order than they were made leave the same last change of each key.
    #[test]
    fn order_of_updates_does_not_matter(
        mut history in prop::collection::vec((0_u8..4, any::<bool>()), 1..20),
        order in prop::collection::vec(any::<prop::sample::Index>(), 20),
    ) {
        let changes: Vec<Change> = history
            .drain(..)
            .enumerate()
            .map(|(at, (key, present))| change(&key.to_string(), at as u64 + 1, present.then_some("v")))
            .collect();
        let mut ordered = VersionedItems::default();
        let mut shuffled = VersionedItems::default();
        for change in &changes {
            ordered.apply(&update(change.revision - 1, change.revision, vec![change.clone()]));
        }
        let mut remaining = changes;
        for index in order {
            if remaining.is_empty() {
                break;
            }
            let change = remaining.remove(index.index(remaining.len()));
            shuffled.apply(&update(change.revision, change.revision, vec![change]));
        }
        prop_assert_eq!(ordered.changes(), shuffled.changes());
    }
}

/// Guards against requests to a removed server: one VM that had lost the store must not decide for the others that its
/// entry has only lapsed.
#[test]
fn removal_that_a_vm_with_the_store_has_read_is_no_lapse() {
    let mut items = VersionedItems::default();
    items.apply(&update(0, 5, vec![change("a", 4, Some("x"))]));
    let lapsed = Change { after_outage: true, ..change("a", 7, None) };
    items.apply(&update(5, 7, vec![lapsed.clone()]));
    let applied = items.apply(&update(5, 7, vec![change("a", 7, None)]));
    assert_eq!(applied.changes.len(), 1);
    assert_eq!(items.last_change("a"), Some(&change("a", 7, None)));
    assert!(items.apply(&update(5, 7, vec![lapsed])).changes.is_empty());
    assert_eq!(items.last_change("a"), Some(&change("a", 7, None)));
}
