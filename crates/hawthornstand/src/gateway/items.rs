//! Published items as one VM knows them, merged from the store and from other VMs.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::derives::value_types;
use crate::ids::Revision;

value_types! {
    /// The last change of a key; a removed key has no value.
    #[derive(Eq, Serialize, Deserialize)]
    pub struct Change {
        /// The reader had lost the store until a moment ago, so a removal may be a lapse.
        #[serde(default)]
        pub after_outage: bool,
        pub key: String,
        pub revision: Revision,
        pub value: Option<Bytes>,
    }

    /// Changes that bring a reader from one revision to another.
    #[derive(Eq, Serialize, Deserialize)]
    pub struct Update {
        /// The changes are complete for a reader that knows this revision; 0 for any reader.
        pub after: Revision,
        /// Holds for keys that a complete list lacks, as it does for changes.
        #[serde(default)]
        pub after_outage: bool,
        pub as_of: Revision,
        pub changes: Vec<Change>,
    }
}

/// VersionedItems with the revision up to which they are complete.
#[derive(Debug, Default)]
pub struct VersionedItems {
    as_of: Revision,
    /// Removals at or before this revision are not remembered.
    complete_after: Revision,
    /// Sorted by key; removed keys stay, so that older news does not bring them back.
    changes: Vec<Change>,
}

impl VersionedItems {
    /// Returns the revision up to which everything is known.
    pub fn as_of(&self) -> Revision {
        self.as_of
    }

    /// Returns the last change of every key.
    pub fn changes(&self) -> &[Change] {
        &self.changes
    }

    /// Returns the last change of a key.
    pub fn last_change(&self, key: &str) -> Option<&Change> {
        let index = self.changes.binary_search_by(|known| known.key.as_str().cmp(key)).ok()?;
        Some(&self.changes[index])
    }

    /// Takes over news; returns the keys that changed.
    pub fn apply(&mut self, update: &Update) -> Vec<String> {
        let mut changed = Vec::new();
        for change in &update.changes {
            if self.put(change.clone()) {
                changed.push(change.key.clone());
            }
        }
        if update.after == 0 {
            self.remove_unlisted(update, &mut changed);
        }
        if update.after <= self.as_of && update.as_of > self.as_of {
            if update.after == 0 {
                self.complete_after = update.as_of;
            }
            self.as_of = update.as_of;
        }
        changed
    }

    /// Returns what a reader that knows a revision lacks.
    pub fn changes_since(&self, revision: Revision) -> Update {
        let all = revision < self.complete_after;
        let after = if all { 0 } else { revision };
        let news = |change: &&Change| {
            if all { change.value.is_some() } else { change.revision > revision }
        };
        Update {
            after,
            after_outage: false,
            as_of: self.as_of,
            changes: self.changes.iter().filter(news).cloned().collect(),
        }
    }

    /// Takes over a change that is newer than what is known of its key.
    fn put(&mut self, change: Change) -> bool {
        match self.changes.binary_search_by(|known| known.key.cmp(&change.key)) {
            Ok(index) if self.changes[index].revision >= change.revision => false,
            Ok(index) => {
                self.changes[index] = change;
                true
            }
            Err(index) => {
                self.changes.insert(index, change);
                true
            }
        }
    }

    /// Removes what a complete list lacks.
    fn remove_unlisted(&mut self, update: &Update, changed: &mut Vec<String>) {
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
            known.after_outage = update.after_outage;
            known.value = None;
            known.revision = update.as_of;
            changed.push(known.key.clone());
        }
    }
}
