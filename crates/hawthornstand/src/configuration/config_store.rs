//! Store of the accepted configuration and VM list, whose revisions only increase.

use std::sync::{Arc, Mutex, PoisonError, RwLock};

use tokio::sync::watch;
use tokio::time::Instant;

use crate::configuration::published::{
    AcceptedConfig, ConfigChanges, ConfigEntry, RawConfig, validate,
};
use crate::ids::Revision;
use crate::locks::lock;
use crate::messages::{ConfigChange, ConfigDelta, PeerVmList};

/// A configuration that failed validation.
#[derive(Clone, Debug)]
pub struct Rejection {
    pub reason: String,
    pub revision: Revision,
}

/// Result of applying a configuration.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ApplyOutcome {
    Accepted,
    Rejected,
    Stale,
}

/// Holds the configuration and VM list that this VM has accepted; readers get an immutable snapshot.
pub struct ConfigStore {
    accepted: RwLock<Option<Arc<AcceptedConfig>>>,
    changed: watch::Sender<(Revision, Revision)>,
    list: RwLock<Arc<PeerVmList>>,
    platform_contact: Mutex<Option<Instant>>,
    rejected: Mutex<Option<Rejection>>,
}

impl Default for ConfigStore {
    fn default() -> Self {
        Self {
            accepted: RwLock::new(None),
            changed: watch::Sender::new((0, 0)),
            list: RwLock::new(Arc::new(PeerVmList { revision: 0, vms: Vec::new() })),
            platform_contact: Mutex::new(None),
            rejected: Mutex::new(None),
        }
    }
}

impl ConfigStore {
    /// Validates and applies a configuration; does nothing if its revision is not newer than the accepted one.
    pub fn apply_config(&self, raw: &RawConfig) -> ApplyOutcome {
        if raw.revision <= self.revision() {
            return ApplyOutcome::Stale;
        }
        let candidate = match validate(raw) {
            Ok(candidate) => candidate,
            Err(findings) => {
                self.record_rejection(
                    raw.revision,
                    findings.iter().map(ToString::to_string).collect(),
                );
                return ApplyOutcome::Rejected;
            }
        };
        {
            let mut accepted = self.accepted.write().unwrap_or_else(PoisonError::into_inner);
            if accepted.as_ref().is_some_and(|current| current.raw.revision >= raw.revision) {
                return ApplyOutcome::Stale;
            }
            *accepted = Some(Arc::new(candidate));
        }
        let mut rejected = lock(&self.rejected);
        if rejected.as_ref().is_some_and(|rejection| rejection.revision < raw.revision) {
            *rejected = None;
        }
        drop(rejected);
        log::info!("configuration revision {} accepted", raw.revision);
        self.notify_subscribers();
        ApplyOutcome::Accepted
    }

    /// Applies a delta from another VM; does nothing if it is based on a revision other than 0 or the accepted one.
    pub fn apply_delta(&self, delta: &ConfigDelta) -> ApplyOutcome {
        if delta.revision <= self.revision() {
            return ApplyOutcome::Stale;
        }
        let mut raw = match (delta.after, self.accepted()) {
            (0, _) => RawConfig::default(),
            (after, Some(accepted)) if accepted.raw.revision == after => accepted.raw.clone(),
            _ => return ApplyOutcome::Stale,
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
        self.apply_config(&raw)
    }

    /// Returns the changes since revision `after`, or `None` if there are none.
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

    /// Applies a VM list; does nothing if its revision is not newer than the current one.
    pub fn apply_list(&self, list: PeerVmList) -> bool {
        let mut list = list;
        list.vms.sort_by(|a, b| a.id.cmp(&b.id));
        {
            let mut current = self.list.write().unwrap_or_else(PoisonError::into_inner);
            if list.revision <= current.revision {
                return false;
            }
            *current = Arc::new(list);
        }
        self.notify_subscribers();
        true
    }

    /// Returns the accepted configuration.
    pub fn accepted(&self) -> Option<Arc<AcceptedConfig>> {
        self.accepted.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns the VM list.
    pub fn list(&self) -> Arc<PeerVmList> {
        self.list.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns the accepted revision, or 0 before the first.
    pub fn revision(&self) -> Revision {
        self.accepted().map_or(0, |accepted| accepted.raw.revision)
    }

    /// Returns the last rejected configuration, if it is newer than the accepted one.
    pub fn rejection(&self) -> Option<Rejection> {
        lock(&self.rejected).clone()
    }

    /// Subscribes to changes of the accepted revision and of the VM list's revision.
    pub fn subscribe(&self) -> watch::Receiver<(Revision, Revision)> {
        self.changed.subscribe()
    }

    /// Records that the configuration was confirmed as current by the platform at an instant.
    pub fn record_platform_contact(&self, at: Instant) {
        let mut contact = lock(&self.platform_contact);
        if contact.is_none_or(|last| last < at) {
            *contact = Some(at);
        }
    }

    /// Returns the last instant at which the platform confirmed the configuration, on this VM or another.
    pub fn last_platform_contact(&self) -> Option<Instant> {
        *lock(&self.platform_contact)
    }

    /// Records a rejected configuration and logs it once per revision.
    fn record_rejection(&self, revision: Revision, reasons: Vec<String>) {
        let mut rejected = lock(&self.rejected);
        if rejected.as_ref().is_some_and(|rejection| rejection.revision >= revision) {
            return;
        }
        let reason = reasons.join("; ");
        log::warn!(
            "configuration revision {revision} rejected, the accepted one stays active: {reason}; publish a corrected value"
        );
        *rejected = Some(Rejection { reason, revision });
    }

    /// Sends the current revisions to the subscribers.
    fn notify_subscribers(&self) {
        let revisions = (self.revision(), self.list().revision);
        self.changed.send_replace(revisions);
    }
}
