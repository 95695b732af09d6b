//! Requests that were running when a backend server was lost, and those that crash them.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::time::Instant;

use crate::derives::value_types;
use crate::ids::{Fingerprint, VmId, fingerprint};
use crate::locks::lock;
use crate::messages::FactBody;

/// Most requests remembered at once; the oldest go first.
const MAX_ENTRIES: usize = 4096;

value_types! {
    /// QuarantineStatus of a request.
    #[derive(Eq)]
    pub enum QuarantineStatus {
        /// Nothing is held against it.
        Clear,
        /// It is refused until it expires.
        Quarantined { retry_after: Duration },
        /// It runs alone, on the named VM, before it may run normally.
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
    /// Returns the standing of a request.
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

    /// Returns whether a request may not be repeated at present.
    pub fn is_suspect_or_quarantined(&self, service: &str, body: &str) -> bool {
        if lock(&self.entries).is_empty() {
            return false;
        }
        self.status(fingerprint(service, body), Instant::now()) != QuarantineStatus::Clear
    }

    /// Makes a request suspect; returns whether that was news. Of two owners the smaller identity stays.
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
                let replaces = entry.owner.as_ref().is_some_and(|known| owner < known);
                if replaces {
                    entry.owner = Some(owner.clone());
                }
                replaces
            }
            found => {
                put(&mut entries, found, new_entry(fingerprint, Some(owner.clone()), now + ttl));
                true
            }
        }
    }

    /// Quarantines a request; returns whether that was news.
    pub fn mark_quarantined(&self, fingerprint: Fingerprint, ttl: Duration, now: Instant) -> bool {
        let mut entries = lock(&self.entries);
        let found = entries.binary_search_by_key(&fingerprint, |entry| entry.fingerprint);
        if let Ok(index) = found {
            let entry = &entries[index];
            if entry.owner.is_none() && entry.until > now {
                return false;
            }
        }
        put(&mut entries, found, new_entry(fingerprint, None, now + ttl));
        true
    }

    /// Clears a suspect; a quarantined request stays. Returns whether that was news.
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

    /// Returns the lock that admits one lone run of a request at a time.
    pub fn lone_run_lock(&self, fingerprint: Fingerprint) -> Option<Arc<tokio::sync::Mutex<()>>> {
        let entries = lock(&self.entries);
        let index = entries.binary_search_by_key(&fingerprint, |entry| entry.fingerprint).ok()?;
        Some(Arc::clone(&entries[index].lone_run))
    }

    /// Returns the present state as facts, for a VM that was cut off.
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

    /// Drops what has expired.
    pub fn remove_expired(&self, now: Instant) {
        lock(&self.entries).retain(|entry| entry.until > now);
    }
}

/// Creates an entry.
fn new_entry(fingerprint: Fingerprint, owner: Option<VmId>, until: Instant) -> Entry {
    Entry { fingerprint, owner, lone_run: Arc::default(), until }
}

/// Puts an entry in its place; at the cap the one that expires first goes.
fn put(entries: &mut Vec<Entry>, found: Result<usize, usize>, entry: Entry) {
    match found {
        Ok(index) => {
            let lone_run = Arc::clone(&entries[index].lone_run);
            entries[index] = Entry { lone_run, ..entry };
        }
        Err(index) => {
            entries.insert(index, entry);
            if entries.len() > MAX_ENTRIES {
                let oldest = entries
                    .iter()
                    .enumerate()
                    .min_by_key(|(_, entry)| entry.until)
                    .map(|(at, _)| at);
                entries.remove(oldest.unwrap_or(0));
            }
        }
    }
}
