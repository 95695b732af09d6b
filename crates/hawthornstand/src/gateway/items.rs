//! Versioned copy of the published items, merged from reads of the store and updates from other VMs.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::derives::value_types;
use crate::gateway::store_version::StoreVersion;
use crate::ids::{Era, Revision};

value_types! {
    /// The last change of a key; the value of a removed key is none.
    #[derive(Eq, Serialize, Deserialize)]
    pub struct Change {
        /// Whether the store was unavailable until shortly before it was read: a removed entry may only have lapsed.
        #[serde(default)]
        pub after_outage: bool,
        pub key: String,
        pub revision: Revision,
        pub value: Option<Bytes>,
    }

    /// Changes between two revisions of an era.
    #[derive(Eq, Serialize, Deserialize)]
    pub struct Update {
        /// The changes are complete for a VM that has this revision; 0 marks a full list.
        pub after: Revision,
        /// [`Change::after_outage`] of the keys that are removed because a full list lacks them.
        #[serde(default)]
        pub after_outage: bool,
        pub as_of: Revision,
        pub changes: Vec<Change>,
        #[serde(default)]
        pub era: Era,
    }

    /// A change that an update brought.
    #[derive(Eq)]
    pub struct AppliedChange {
        pub key: String,
        /// The last change of the key before the update; none if it was never seen.
        pub previous: Option<Change>,
    }

    /// Effect of an update.
    #[derive(Default, Eq)]
    pub struct Applied {
        pub changes: Vec<AppliedChange>,
        /// Number of changes that were ignored because newer ones of their keys are known.
        pub outdated: usize,
        /// Version that the update replaced with a full list of a new era; none if it continues the known era.
        pub replaced: Option<StoreVersion>,
    }
}

impl Update {
    /// Returns the version up to which the changes are complete.
    pub fn version(&self) -> StoreVersion {
        StoreVersion { era: self.era, revision: self.as_of }
    }
}

/// The last change of each key, and the revision up to which the changes are complete.
#[derive(Debug, Default)]
pub struct VersionedItems {
    as_of: StoreVersion,
    /// Revision of the last full list; removals at or before it may be missing.
    full_list_revision: Revision,
    /// Sorted by key; removed keys are kept, so that an older update does not restore them.
    changes: Vec<Change>,
}

impl VersionedItems {
    /// Returns the version up to which the items are complete.
    pub fn as_of(&self) -> StoreVersion {
        self.as_of
    }

    /// Returns the last change of every key, sorted by key.
    pub fn changes(&self) -> &[Change] {
        &self.changes
    }

    /// Returns the last change of a key; none if it was never seen.
    pub fn last_change(&self, key: &str) -> Option<&Change> {
        let index = self.changes.binary_search_by(|change| change.key.as_str().cmp(key)).ok()?;
        Some(&self.changes[index])
    }

    /// Merges an update.
    ///
    /// The first full list of a new era replaces the items of the last one; an update of an older era, or one that
    /// continues a new era from its middle, is ignored.
    pub fn apply(&mut self, update: &Update) -> Applied {
        let mut applied = Applied::default();
        if update.era != self.as_of.era {
            if update.era < self.as_of.era || update.after != 0 {
                applied.outdated = update.changes.len();
                return applied;
            }
            applied.replaced = Some(self.as_of).filter(|replaced| replaced.revision > 0);
            self.begin_era(update.era);
        }
        for change in &update.changes {
            self.merge(change, &mut applied);
        }
        if update.after == 0 {
            self.remove_unlisted(update, &mut applied);
        }
        if update.after <= self.as_of.revision && update.as_of > self.as_of.revision {
            if update.after == 0 {
                self.full_list_revision = update.as_of;
            }
            self.as_of.revision = update.as_of;
        }
        // Several changes of a key count as one, from the state before the first of them.
        applied.changes.sort_by(|a, b| a.key.cmp(&b.key));
        applied.changes.dedup_by(|later, first| later.key == first.key);
        applied
    }

    /// Returns the changes after a version; a full list if the version is of an earlier era, or if removals after it may
    /// be missing here; nothing if it is of a later era.
    pub fn changes_since(&self, version: StoreVersion) -> Update {
        let StoreVersion { era, revision: as_of } = self.as_of;
        if version.era > era {
            return Update { after: as_of, after_outage: false, as_of, changes: Vec::new(), era };
        }
        let is_full_list = version.era < era || version.revision < self.full_list_revision;
        let after = if is_full_list { 0 } else { version.revision };
        let is_included = |change: &&Change| {
            if is_full_list { change.value.is_some() } else { change.revision > after }
        };
        let changes = self.changes.iter().filter(is_included).cloned().collect();
        Update { after, after_outage: false, as_of, changes, era }
    }

    /// Prepares for the first full list of a new era, whose revisions say nothing about those of the last one.
    ///
    /// Removed keys stay known as removed until the new era changes them.
    fn begin_era(&mut self, era: Era) {
        self.as_of = StoreVersion { era, revision: 0 };
        self.full_list_revision = 0;
        for change in &mut self.changes {
            change.revision = 0;
        }
    }

    /// Merges a change unless a newer one of its key is known.
    fn merge(&mut self, change: &Change, applied: &mut Applied) {
        let found = self.changes.binary_search_by(|existing| existing.key.cmp(&change.key));
        let known = found.ok().map(|index| &self.changes[index]);
        if let Ok(index) = found
            && is_confirmed_removal(&self.changes[index], change)
        {
            let previous = Some(std::mem::replace(&mut self.changes[index], change.clone()));
            applied.changes.push(AppliedChange { key: change.key.clone(), previous });
            return;
        }
        // The items are complete up to as_of: a key without the change has been removed since.
        let is_included = change.revision <= self.as_of.revision;
        if is_included || known.is_some_and(|known| known.revision >= change.revision) {
            let is_outdated = known.is_none_or(|known| known.revision != change.revision);
            applied.outdated += usize::from(is_outdated);
            return;
        }
        let previous = match found {
            Ok(index) => Some(std::mem::replace(&mut self.changes[index], change.clone())),
            Err(index) => {
                self.changes.insert(index, change.clone());
                None
            }
        };
        let is_unchanged = previous.as_ref().is_some_and(|known| known.value == change.value);
        if applied.replaced.is_some() && is_unchanged {
            return;
        }
        applied.changes.push(AppliedChange { key: change.key.clone(), previous });
    }

    /// Removes the keys that a full list lacks.
    fn remove_unlisted(&mut self, update: &Update, applied: &mut Applied) {
        let mut listed: Vec<&str> =
            update.changes.iter().map(|change| change.key.as_str()).collect();
        listed.sort_unstable();
        for known in &mut self.changes {
            if known.value.is_none()
                || known.revision > update.as_of
                || listed.binary_search(&known.key.as_str()).is_ok()
            {
                continue;
            }
            let previous = Some(known.clone());
            // What the store lost with a restore is written again if its writer lives.
            known.after_outage = update.after_outage || applied.replaced.is_some();
            known.value = None;
            known.revision = update.as_of;
            applied.changes.push(AppliedChange { key: known.key.clone(), previous });
        }
    }
}

/// Returns whether a change is a known removal, read by a VM for which the store was available: the entry was removed and
/// has not lapsed.
fn is_confirmed_removal(known: &Change, change: &Change) -> bool {
    let is_removal = known.value.is_none() && change.value.is_none();
    is_removal && known.revision == change.revision && known.after_outage && !change.after_outage
}
