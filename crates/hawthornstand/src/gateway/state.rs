//! Published routes and backend servers as this VM knows them.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::Instant;

use crate::gateway::config_in_force::{ActiveConfig, ConfigInForce, OfferedConfig};
use crate::gateway::config_order::Origin;
use crate::gateway::directory::Directory;
use crate::gateway::items::{AppliedChange, Change, Update, VersionedItems};
use crate::gateway::model::CallerLimits;
use crate::gateway::protocol::{PublishedKey, PublishedStore, PublishedValue};
use crate::gateway::readers;
use crate::gateway::settings::GatewaySettings;
use crate::gateway::store_contact::{ReadFailure, StoreContact};
use crate::gateway::store_version::StoreVersion;
use crate::gateway::telemetry::Telemetry;
use crate::ids::Era;
use crate::locks::lock;
use crate::process::clock::Clock;

/// Last confirmation of the state by the store.
#[derive(Clone, Copy, Debug)]
struct Confirmation {
    at: Instant,
    era: Era,
    /// The same by a clock that also counts the time during which the machine is suspended.
    since_boot: Duration,
}

/// Published routes and backend servers, merged from reads of the store and updates from other VMs.
pub struct PublishedState {
    pub directory: Directory,
    clock: Arc<dyn Clock>,
    config: ConfigInForce,
    /// The last confirmation that is announced to other VMs.
    announced_confirmation: watch::Sender<Option<Instant>>,
    /// By how much a confirmation must be newer to be announced as well.
    announce_step: Duration,
    /// The last confirmation by the store that this state is current, to this VM or to another one.
    confirmation: Mutex<Option<Confirmation>>,
    contact: Mutex<StoreContact>,
    items: Mutex<VersionedItems>,
    known_version: watch::Sender<StoreVersion>,
    store: Arc<dyn PublishedStore>,
    telemetry: Arc<Telemetry>,
}

impl PublishedState {
    /// Creates an empty state.
    pub fn new(
        settings: &GatewaySettings,
        clock: Arc<dyn Clock>,
        store: Arc<dyn PublishedStore>,
        telemetry: Arc<Telemetry>,
    ) -> Self {
        Self {
            directory: Directory::new(settings.clone()),
            clock,
            config: ConfigInForce::default(),
            announced_confirmation: watch::Sender::default(),
            announce_step: readers::announce_step(settings.config_apply),
            confirmation: Mutex::default(),
            contact: Mutex::new(StoreContact::new(settings.heartbeat, Instant::now())),
            items: Mutex::default(),
            known_version: watch::Sender::default(),
            store,
            telemetry,
        }
    }

    /// Returns the active configuration; none before the first one is read.
    pub fn active_config(&self) -> Option<Arc<ActiveConfig>> {
        self.config.active()
    }

    /// Subscribes to the limits on callers.
    pub fn subscribe_to_limits(&self) -> watch::Receiver<CallerLimits> {
        self.config.subscribe_to_limits()
    }

    /// Returns the version of the active configuration; 0 before the first one is read.
    pub fn config_version(&self) -> u64 {
        self.active_config().map_or(0, |active| active.version)
    }

    /// Returns the version of the store's state up to which this state is complete.
    pub fn as_of(&self) -> StoreVersion {
        lock(&self.items).as_of()
    }

    /// Subscribes to the known version; also notified of changes that leave the version as it is.
    pub fn subscribe(&self) -> watch::Receiver<StoreVersion> {
        self.known_version.subscribe()
    }

    /// Returns the changes that a VM with a version lacks.
    pub fn changes_since(&self, version: StoreVersion) -> Update {
        lock(&self.items).changes_since(version)
    }

    /// Returns whether a configuration is active and the store has confirmed this state, to this VM or to another one.
    ///
    /// Without a confirmation, the state may be so old that servers and routes in it are gone.
    pub fn is_initialized(&self) -> bool {
        self.active_config().is_some()
            && self.as_of().revision > 0
            && self.confirmation_age().is_some()
    }

    /// Records that the store confirmed a state of an era, `age` ago; one of another era than this state's does not count.
    pub fn record_confirmation(&self, era: Era, age: Duration) {
        let Some(at) = Instant::now().checked_sub(age) else { return };
        if era != self.as_of().era {
            return;
        }
        let since_boot = self.clock.since_boot().saturating_sub(age);
        {
            let mut confirmation = lock(&self.confirmation);
            let is_newer = confirmation.is_none_or(|last| last.era < era || last.at < at);
            if is_newer {
                *confirmation = Some(Confirmation { at, era, since_boot });
            }
        }
        lock(&self.contact).record_sign(at);
        self.announced_confirmation.send_if_modified(|announced| {
            let is_due = self.should_announce(at, *announced);
            if is_due {
                *announced = Some(at);
            }
            is_due
        });
    }

    /// Subscribes to the confirmations that are announced to other VMs.
    pub fn subscribe_to_confirmations(&self) -> watch::Receiver<Option<Instant>> {
        self.announced_confirmation.subscribe()
    }

    /// Returns whether a confirmation is so much newer than one that another VM knows that it is announced.
    pub fn should_announce(&self, at: Instant, known: Option<Instant>) -> bool {
        known.is_none_or(|known| at >= known + self.announce_step)
    }

    /// Returns the time since the store last confirmed the state of this VM, also one of an earlier era; none if it never
    /// did.
    pub fn confirmation_age(&self) -> Option<Duration> {
        lock(&self.confirmation).map(|last| self.age_of(last))
    }

    /// Returns the time since the store last confirmed a state of the current era; none if it did not yet.
    pub fn confirmation_age_in_era(&self) -> Option<Duration> {
        let era = self.as_of().era;
        lock(&self.confirmation).filter(|last| last.era == era).map(|last| self.age_of(last))
    }

    /// Returns the time since a confirmation, also that during which the machine was suspended.
    fn age_of(&self, confirmation: Confirmation) -> Duration {
        let by_boot_clock = self.clock.since_boot().saturating_sub(confirmation.since_boot);
        confirmation.at.elapsed().max(by_boot_clock)
    }

    /// Records a failed read of this VM.
    pub fn record_store_failure(&self, failure: ReadFailure) {
        lock(&self.contact).record_failure(failure, Instant::now());
    }

    /// Records that the store answered a read of this VM.
    pub fn record_store_answer(&self) {
        lock(&self.contact).record_answer(Instant::now());
    }

    /// Returns since when the store has been available; none while it is not.
    ///
    /// A VM that stops reading the store during an outage does not see its end: the confirmations of other VMs
    /// count instead.
    pub fn store_available_since(&self) -> Option<Instant> {
        lock(&self.contact).available_since(Instant::now())
    }

    /// Returns whether reads of this VM fail.
    pub fn is_store_failing(&self) -> bool {
        lock(&self.contact).is_failing()
    }

    /// Returns whether the store is unavailable, or was so recently that lapsed entries may still be missing.
    pub fn may_lack_entries(&self) -> bool {
        lock(&self.contact).may_lack_entries(Instant::now())
    }

    /// Applies an update from the store or from another VM.
    pub fn apply_update(&self, update: &Update, from: &str) {
        let applied = lock(&self.items).apply(update);
        if let Some(replaced) = applied.replaced {
            log::warn!(era = update.era, as_of = update.as_of, known_era = replaced.era,
                known_as_of = replaced.revision, changed = applied.changes.len(), from = from;
                "store restored from an older copy; its state replaces the known one");
            lock(&self.contact).record_outage_end(Instant::now());
        }
        if applied.outdated > 0 {
            self.telemetry.outdated_changes.inc_by(applied.outdated as u64);
            let known = self.as_of();
            log::info!(from = from, outdated = applied.outdated, era = update.era,
                as_of = update.as_of, known_era = known.era, known_as_of = known.revision;
                "changes ignored: newer ones of their keys are known");
        }
        for change in &applied.changes {
            self.apply_change(change, applied.replaced.is_some(), update, from);
        }
        let as_of = self.as_of();
        self.known_version.send_if_modified(|known| {
            let is_modified = !applied.changes.is_empty() || as_of > *known;
            *known = as_of;
            is_modified
        });
    }

    /// Expires vanished entries that did not come back in time.
    pub fn expire_entries(&self, drain: Duration) {
        self.directory.expire_entries(self.store_available_since(), drain);
    }

    /// Applies the last change of a key to the configuration or the directory.
    ///
    /// `is_restored` is whether it came with the first list after a restore of the store.
    fn apply_change(
        &self,
        applied: &AppliedChange,
        is_restored: bool,
        update: &Update,
        from: &str,
    ) {
        let key = applied.key.as_str();
        let Some(change) = lock(&self.items).last_change(key).cloned() else { return };
        let published_key = self.store.read_key(key);
        let Some(value) = &change.value else {
            match published_key {
                PublishedKey::Routing => {
                    log::warn!(from = from; "configuration vanished from the store; the last one stays active");
                }
                PublishedKey::Server(id) => self.directory.remove(&id, change.after_outage),
                PublishedKey::Unknown => {}
            }
            return;
        };
        if published_key == PublishedKey::Unknown {
            return;
        }
        match self.store.read_value(key, value) {
            Ok(PublishedValue::Routing(routing)) => {
                self.offer_config(OfferedConfig { change, from, origin: Origin::Store, routing });
            }
            Ok(PublishedValue::Server(server)) => {
                let (id, leaving) = (server.id.clone(), server.leaving);
                let is_changed = if is_restored {
                    self.directory.put_restored(server, self.had_left(applied.previous.as_ref()))
                } else {
                    self.directory.put(server)
                };
                if is_changed {
                    log::info!(server = id.as_str(), leaving = leaving, from = from,
                        era = update.era, revision = change.revision, as_of = update.as_of;
                        "backend server entry changed");
                }
            }
            Err(reason) => {
                self.telemetry.malformed_values.inc();
                log::warn!(key = key, from = from; "ignoring malformed published value: {reason}");
                if let PublishedKey::Server(id) = published_key {
                    self.directory.remove(&id, change.after_outage);
                }
            }
        }
    }

    /// Returns whether the last entry of a backend server was removed or said that it is leaving.
    fn had_left(&self, last: Option<&Change>) -> bool {
        let Some(last) = last else { return false };
        let Some(value) = &last.value else { return true };
        let decoded = self.store.read_value(&last.key, value);
        matches!(decoded, Ok(PublishedValue::Server(server)) if server.leaving)
    }

    /// Applies the configuration that is in force on another VM although the store has an older one.
    pub fn apply_retained_config(&self, change: &Change, from: &str) {
        let Some(value) = &change.value else { return };
        match self.store.read_value(&change.key, value) {
            Ok(PublishedValue::Routing(routing)) => {
                let change = change.clone();
                self.offer_config(OfferedConfig { change, from, origin: Origin::OtherVm, routing });
            }
            Ok(PublishedValue::Server(_)) => {
                self.telemetry.malformed_values.inc();
                log::warn!(key = change.key.as_str(), from = from; "ignoring a configuration that is none");
            }
            Err(reason) => {
                self.telemetry.malformed_values.inc();
                log::warn!(key = change.key.as_str(), from = from; "ignoring malformed published value: {reason}");
            }
        }
    }

    /// Returns the configuration in force if the store, as far as this VM knows, has an older one.
    pub fn retained_config(&self) -> Option<Change> {
        let published = &self.active_config()?.published;
        let items = lock(&self.items);
        let last = items.last_change(&published.key);
        let is_in_store = last.is_some_and(|last| last.value == published.value);
        (!is_in_store).then(|| published.clone())
    }

    /// Activates a configuration unless a newer one is in force.
    fn offer_config(&self, offered: OfferedConfig<'_>) {
        let confirmed_ms_ago = self.confirmation_age().map(|age| age.as_millis() as u64);
        self.config.offer(offered, &self.directory, confirmed_ms_ago);
    }
}
