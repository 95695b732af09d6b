//! Table of suspect requests, which were running when a backend server was lost, and of quarantined requests, which
//! crash backend servers.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::time::Instant;

use crate::derives::value_types;
use crate::ids::{Fingerprint, VmId, fingerprint};
use crate::locks::lock;
use crate::messages::FactBody;

/// Maximum number of entries; beyond it, the entry that expires first is evicted.
const MAX_ENTRIES: usize = 4096;

value_types! {
    /// Whether a request may run.
    #[derive(Eq)]
    pub enum QuarantineStatus {
        /// Neither suspect nor quarantined.
        Clear,
        /// Refused until the quarantine expires.
        Quarantined { retry_after: Duration },
        /// A lone run by the owner VM must clear the request before it may run normally.
        Suspect { owner: VmId },
    }
}

struct Entry {
    fingerprint: Fingerprint,
    /// None for a quarantined request.
    owner: Option<VmId>,
    lone_run: Arc<tokio::sync::Mutex<()>>,
    until: Instant,
}

/// Table of suspect and quarantined requests.
#[derive(Default)]
pub struct Quarantine {
    /// Sorted by fingerprint.
    entries: Mutex<Vec<Entry>>,
}

impl Quarantine {
    /// Returns the status of a request.
    pub fn status(&self, fingerprint: Fingerprint, now: Instant) -> QuarantineStatus {
        let entries = lock(&self.entries);
        let Ok(index) = entries.binary_search_by_key(&fingerprint, |entry| entry.fingerprint)
        else {
            return QuarantineStatus::Clear;
        };
        let entry = &entries[index];
        if entry.until <= now {
            return QuarantineStatus::Clear;
        }
        match &entry.owner {
            Some(owner) => QuarantineStatus::Suspect { owner: owner.clone() },
            None => QuarantineStatus::Quarantined { retry_after: entry.until - now },
        }
    }

    /// Returns whether a request must not be retried, hedged or probed because it is suspect or quarantined.
    pub fn is_suspect_or_quarantined(&self, service: &str, body: &str) -> bool {
        if lock(&self.entries).is_empty() {
            return false;
        }
        self.status(fingerprint(service, body), Instant::now()) != QuarantineStatus::Clear
    }

    /// Marks a request as suspect; returns whether the table changed. Of two owners, the one with the smaller id stays.
    pub fn mark_suspect(
        &self,
        fingerprint: Fingerprint,
        owner: &VmId,
        ttl: Duration,
        now: Instant,
    ) -> bool {
        let mut entries = lock(&self.entries);
        match entries.binary_search_by_key(&fingerprint, |entry| entry.fingerprint) {
            Ok(index) if entries[index].until > now => {
                let entry = &mut entries[index];
                let replaces = entry.owner.as_ref().is_some_and(|current| owner < current);
                if replaces {
                    entry.owner = Some(owner.clone());
                }
                replaces
            }
            position => {
                insert_or_replace(
                    &mut entries,
                    position,
                    new_entry(fingerprint, Some(owner.clone()), now + ttl),
                );
                true
            }
        }
    }

    /// Quarantines a request; returns false if it was quarantined already.
    pub fn mark_quarantined(&self, fingerprint: Fingerprint, ttl: Duration, now: Instant) -> bool {
        let mut entries = lock(&self.entries);
        let position = entries.binary_search_by_key(&fingerprint, |entry| entry.fingerprint);
        if let Ok(index) = position {
            let entry = &entries[index];
            if entry.owner.is_none() && entry.until > now {
                return false;
            }
        }
        insert_or_replace(&mut entries, position, new_entry(fingerprint, None, now + ttl));
        true
    }

    /// Removes a suspect request, but no quarantined one; returns whether the table changed.
    pub fn clear_suspect(&self, fingerprint: Fingerprint) -> bool {
        let mut entries = lock(&self.entries);
        let Ok(index) = entries.binary_search_by_key(&fingerprint, |entry| entry.fingerprint)
        else {
            return false;
        };
        if entries[index].owner.is_none() {
            return false;
        }
        entries.remove(index);
        true
    }

    /// Returns the lock that serializes the lone runs of a request; none if the request is not in the table.
    pub fn lone_run_lock(&self, fingerprint: Fingerprint) -> Option<Arc<tokio::sync::Mutex<()>>> {
        let entries = lock(&self.entries);
        let index = entries.binary_search_by_key(&fingerprint, |entry| entry.fingerprint).ok()?;
        Some(Arc::clone(&entries[index].lone_run))
    }

    /// Returns the table as gossip facts, for a VM that missed them while it was disconnected.
    pub fn facts(&self, now: Instant) -> Vec<FactBody> {
        let mut facts = Vec::new();
        for entry in lock(&self.entries).iter() {
            if entry.until <= now {
                continue;
            }
            let ttl_ms = (entry.until - now).as_millis() as u64;
            let fingerprint = entry.fingerprint;
            facts.push(match &entry.owner {
                Some(owner) => FactBody::Suspect { fingerprint, owner: owner.clone(), ttl_ms },
                None => FactBody::Quarantined { fingerprint, ttl_ms },
            });
        }
        facts
    }

    /// Removes the expired entries.
    pub fn remove_expired(&self, now: Instant) {
        lock(&self.entries).retain(|entry| entry.until > now);
    }
}

/// Creates an entry with no lone run in progress.
fn new_entry(fingerprint: Fingerprint, owner: Option<VmId>, until: Instant) -> Entry {
    Entry { fingerprint, owner, lone_run: Arc::default(), until }
}

/// Inserts an entry or replaces one, whose lone-run lock is kept; in a full table, evicts the one that expires first.
fn insert_or_replace(entries: &mut Vec<Entry>, position: Result<usize, usize>, entry: Entry) {
    match position {
        Ok(index) => {
            let lone_run = Arc::clone(&entries[index].lone_run);
            entries[index] = Entry { lone_run, ..entry };
        }
        Err(index) => {
            entries.insert(index, entry);
            if entries.len() > MAX_ENTRIES {
                let first_to_expire = entries
                    .iter()
                    .enumerate()
                    .min_by_key(|(_, entry)| entry.until)
                    .map(|(index, _)| index);
                entries.remove(first_to_expire.unwrap_or(0));
            }
        }
    }
}
