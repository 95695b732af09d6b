//! The accepted configuration and VM list, which only ever move forward.

use std::sync::{Arc, Mutex, PoisonError, RwLock};

use tokio::sync::watch;
use tokio::time::Instant;

use crate::configuration::published::{Accepted, ConfigChanges, ConfigEntry, RawConfig, accept};
use crate::ids::Revision;
use crate::locks::lock;
use crate::messages::{ConfigChange, ConfigDelta, PeerVmList};

/// A configuration that was read and refused.
#[derive(Clone, Debug)]
pub struct Rejection {
    pub revision: Revision,
    pub why: String,
}

/// Result of offering a configuration.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Offer {
    Accepted,
    Rejected,
    Stale,
}

/// Holds what this VM has accepted; readers take a reference to an immutable snapshot.
pub struct ConfigStore {
    accepted: RwLock<Option<Arc<Accepted>>>,
    changed: watch::Sender<(Revision, Revision)>,
    contact: Mutex<Option<Instant>>,
    list: RwLock<Arc<PeerVmList>>,
    rejected: Mutex<Option<Rejection>>,
}

impl Default for ConfigStore {
    fn default() -> Self {
        Self {
            accepted: RwLock::new(None),
            changed: watch::Sender::new((0, 0)),
            contact: Mutex::new(None),
            list: RwLock::new(Arc::new(PeerVmList { revision: 0, vms: Vec::new() })),
            rejected: Mutex::new(None),
        }
    }
}

impl ConfigStore {
    /// Offers a configuration; a lower or equal revision than the accepted one changes nothing.
    pub fn offer(&self, raw: &RawConfig) -> Offer {
        if raw.revision <= self.revision() {
            return Offer::Stale;
        }
        let candidate = match accept(raw) {
            Ok(candidate) => candidate,
            Err(findings) => {
                self.note_rejection(
                    raw.revision,
                    findings.iter().map(ToString::to_string).collect(),
                );
                return Offer::Rejected;
            }
        };
        {
            let mut accepted = self.accepted.write().unwrap_or_else(PoisonError::into_inner);
            if accepted.as_ref().is_some_and(|current| current.raw.revision >= raw.revision) {
                return Offer::Stale;
            }
            *accepted = Some(Arc::new(candidate));
        }
        let mut rejected = lock(&self.rejected);
        if rejected.as_ref().is_some_and(|rejection| rejection.revision < raw.revision) {
            *rejected = None;
        }
        drop(rejected);
        log::info!("configuration revision {} accepted", raw.revision);
        self.announce();
        Offer::Accepted
    }

    /// Applies a delta from another VM; one that does not fit the accepted revision changes nothing.
    pub fn apply_delta(&self, delta: &ConfigDelta) -> Offer {
        if delta.revision <= self.revision() {
            return Offer::Stale;
        }
        let mut raw = match (delta.after, self.accepted()) {
            (0, _) => RawConfig::default(),
            (after, Some(accepted)) if accepted.raw.revision == after => accepted.raw.clone(),
            _ => return Offer::Stale,
        };
        let entries = delta
            .changes
            .iter()
            .map(|change| ConfigEntry {
                key: change.key.clone(),
                revision: change.revision,
                value: change.value.clone(),
            })
            .collect();
        raw.apply(&ConfigChanges { entries, revision: delta.revision });
        self.offer(&raw)
    }

    /// Returns the changes another VM lacks, or none where it lacks nothing.
    pub fn delta_after(&self, after: Revision) -> Option<ConfigDelta> {
        let accepted = self.accepted()?;
        if accepted.raw.revision <= after {
            return None;
        }
        let changes = accepted
            .raw
            .changes_after(after)
            .into_iter()
            .map(|entry| ConfigChange {
                key: entry.key,
                revision: entry.revision,
                value: entry.value,
            })
            .collect();
        Some(ConfigDelta { after, changes, revision: accepted.raw.revision })
    }

    /// Offers a VM list; an older one changes nothing.
    pub fn offer_list(&self, list: PeerVmList) -> bool {
        let mut list = list;
        list.vms.sort_by(|a, b| a.id.cmp(&b.id));
        {
            let mut current = self.list.write().unwrap_or_else(PoisonError::into_inner);
            if list.revision <= current.revision {
                return false;
            }
            *current = Arc::new(list);
        }
        self.announce();
        true
    }

    /// Returns the accepted configuration.
    pub fn accepted(&self) -> Option<Arc<Accepted>> {
        self.accepted.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns the VM list.
    pub fn list(&self) -> Arc<PeerVmList> {
        self.list.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns the accepted revision, 0 before the first.
    pub fn revision(&self) -> Revision {
        self.accepted().map_or(0, |accepted| accepted.raw.revision)
    }

    /// Returns the last refused configuration that is newer than the accepted one.
    pub fn rejection(&self) -> Option<Rejection> {
        lock(&self.rejected).clone()
    }

    /// Subscribes to changes of the accepted revision and of the list's.
    pub fn subscribe(&self) -> watch::Receiver<(Revision, Revision)> {
        self.changed.subscribe()
    }

    /// Notes that the platform's state was known to be current at an instant.
    pub fn note_contact(&self, at: Instant) {
        let mut contact = lock(&self.contact);
        if contact.is_none_or(|known| known < at) {
            *contact = Some(at);
        }
    }

    /// Returns the instant of the freshest contact with the platform that is known.
    pub fn contact(&self) -> Option<Instant> {
        *lock(&self.contact)
    }

    /// Remembers a refused configuration and logs it once.
    fn note_rejection(&self, revision: Revision, why: Vec<String>) {
        let mut rejected = lock(&self.rejected);
        if rejected.as_ref().is_some_and(|known| known.revision >= revision) {
            return;
        }
        let why = why.join("; ");
        log::warn!(
            "configuration revision {revision} refused, the accepted one stays in force: {why}; publish a corrected value"
        );
        *rejected = Some(Rejection { revision, why });
    }

    /// Tells subscribers the revisions now in force.
    fn announce(&self) {
        let revisions = (self.revision(), self.list().revision);
        self.changed.send_replace(revisions);
    }
}
