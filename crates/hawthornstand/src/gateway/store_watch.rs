//! Reads the published state from the store and watches it for changes.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::gateway::items::Update;
use crate::gateway::protocol::{ListConsistency, PublishedStore, StoreError, StoreList};
use crate::gateway::readers::{self, WATCH_TIMEOUT};
use crate::gateway::state::PublishedState;
use crate::gateway::store_contact::{self, ReadFailure};
use crate::gateway::store_version::StoreVersion;
use crate::gateway::telemetry::Telemetry;
use crate::ids::Era;

/// Time between two checks whether this VM has to read the store, before jitter.
const POLICY_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Timeout of a watch that checks the state, or whether the store answers again: it returns what the state lacks, or
/// nothing at once.
const CONFIRMING_WATCH_TIMEOUT: Duration = Duration::from_millis(10);
/// Minimum and maximum backoff after a failed read, before jitter.
const MIN_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_millis(1000);
/// Maximum backoff of a VM that has no state yet and therefore cannot serve requests.
const MAX_BACKOFF_AT_START: Duration = Duration::from_millis(250);
/// Time for which a watch may lag behind a revision received from another VM.
const MAX_WATCH_LAG: Duration = Duration::from_millis(1500);
/// Time for which changes are collected after a read, so that a series of them costs one read: a tenth of the shortest
/// time within which the platform requires a change to be known.
const BATCH_INTERVAL: Duration = Duration::from_millis(300);

/// Decides whether this VM reads the store itself.
pub trait ReadPolicy: Send + Sync {
    /// Returns whether this VM has to read the store now.
    fn should_read(&self) -> bool;
}

/// Read policy of a VM without links.
pub struct AlwaysRead;

impl ReadPolicy for AlwaysRead {
    fn should_read(&self) -> bool {
        true
    }
}

/// What the next read of the store has to be.
struct Reader {
    backoff: Duration,
    /// Age of the last confirmation at which the state is checked beside an open watch.
    check_age: Duration,
    config_apply: Duration,
    /// Version after which the next watch starts; none if the full state has to be listed.
    last: Option<StoreVersion>,
    /// The last watch failed, so the next one is short.
    is_trial: bool,
    /// The last read showed no sign of the store.
    is_unreachable: bool,
    /// The last list may be stale, and no watch has returned what it lacks.
    is_unconfirmed: bool,
    /// A list may not be stale: a store that was restored may hand out one from before.
    needs_latest: bool,
    policy: Arc<dyn ReadPolicy>,
    state: Arc<PublishedState>,
    store: Arc<dyn PublishedStore>,
    telemetry: Arc<Telemetry>,
}

/// A read of the store that failed.
struct FailedRead {
    error: StoreError,
    /// How long it had waited for changes; zero for a read that does not wait.
    waited: Duration,
}

impl From<StoreError> for FailedRead {
    fn from(error: StoreError) -> Self {
        Self { error, waited: Duration::ZERO }
    }
}

/// Keeps the state up to date from the store until the process ends. A change has to be in force within `config_apply`.
pub async fn run(
    config_apply: Duration,
    state: Arc<PublishedState>,
    store: Arc<dyn PublishedStore>,
    policy: Arc<dyn ReadPolicy>,
    telemetry: Arc<Telemetry>,
) {
    let mut reader = Reader {
        backoff: MIN_BACKOFF,
        check_age: readers::draw_check_age(config_apply),
        config_apply,
        last: None,
        is_trial: false,
        is_unreachable: false,
        is_unconfirmed: false,
        needs_latest: false,
        policy,
        state,
        store,
        telemetry,
    };
    loop {
        reader.step().await;
    }
}

impl Reader {
    /// Reads the store once, or waits if other VMs read it.
    async fn step(&mut self) {
        let known = self.state.as_of();
        if self.last.is_some_and(|last| last.era < known.era) {
            // Another VM brought the state of a new era.
            self.last = Some(known);
            self.is_unconfirmed = false;
        }
        // Other VMs may have brought and confirmed the state while the store refused this one.
        let has_confirmed_state =
            (self.last.is_some() && !self.is_unconfirmed) || self.state.is_initialized();
        if has_confirmed_state && !self.policy.should_read() {
            self.is_unconfirmed = false;
            tokio::time::sleep(POLICY_CHECK_INTERVAL.mul_f64(rand::random_range(0.5..1.5))).await;
            // Changes received over links need not be read again.
            self.last = self.last.max(Some(self.state.as_of()));
            return;
        }
        let after = self.last;
        self.telemetry.store_reads.inc();
        let read = match after {
            None => self.list().await.map_err(FailedRead::from),
            Some(after) => self.watch(after).await,
        };
        match read {
            Ok(list) => self.handle_list(list, after).await,
            Err(failed) => self.handle_error(failed, after).await,
        }
    }

    /// Lists the full state.
    async fn list(&mut self) -> Result<StoreList, StoreError> {
        // A VM with a state has served requests with it and must not fall behind it.
        let may_be_stale = self.state.as_of().revision == 0 && !self.needs_latest;
        self.is_unconfirmed = may_be_stale;
        let consistency =
            if may_be_stale { ListConsistency::MayBeStale } else { ListConsistency::Latest };
        self.store.list(consistency).await
    }

    /// Watches for changes; fails if other VMs know a later version and the watch does not return it in time.
    async fn watch(&mut self, after: StoreVersion) -> Result<StoreList, FailedRead> {
        let is_short = self.is_unconfirmed || self.is_trial;
        let timeout = if is_short { CONFIRMING_WATCH_TIMEOUT } else { WATCH_TIMEOUT };
        let asked_at = Instant::now();
        let mut known_version = self.state.subscribe();
        let overtaken = async {
            while *known_version.borrow_and_update() <= after {
                if known_version.changed().await.is_err() {
                    std::future::pending::<()>().await;
                }
            }
            tokio::time::sleep(MAX_WATCH_LAG).await;
        };
        let store = Arc::clone(&self.store);
        tokio::select! {
            biased;
            list = store.watch(after.revision, timeout) => list.map_err(|error| {
                let waited = if is_short { Duration::ZERO } else { asked_at.elapsed() };
                FailedRead { error, waited }
            }),
            () = overtaken => Err(StoreError::WatchStalled.into()),
            checked = self.check(after) => checked.map_err(FailedRead::from),
        }
    }

    /// Checks the state each time its last confirmation is too old. Returns what the open watch has not returned, or why
    /// a check failed.
    ///
    /// An open watch shows nothing: its answer may have been lost, and the store may never answer it.
    async fn check(&mut self, after: StoreVersion) -> Result<StoreList, StoreError> {
        loop {
            self.wait_for_old_confirmation().await;
            self.check_age = readers::draw_check_age(self.config_apply);
            self.telemetry.store_reads.inc();
            let asked_at = Instant::now();
            let list = self.store.watch(after.revision, CONFIRMING_WATCH_TIMEOUT).await?;
            if list.as_of.era != after.era {
                return Ok(list);
            }
            if !list.changes.is_empty() {
                log::info!(after = after.revision, as_of = list.as_of.revision,
                    changed = list.changes.len();
                    "the open watch has not returned changes; opening it again");
                return Ok(list);
            }
            self.state.record_confirmation(after.era, asked_at.elapsed());
        }
    }

    /// Waits until the last confirmation, by any VM, is as old as this VM's drawn age.
    async fn wait_for_old_confirmation(&self) {
        loop {
            let age = self.state.confirmation_age_in_era().unwrap_or_default();
            if age >= self.check_age {
                return;
            }
            tokio::time::sleep(self.check_age - age).await;
        }
    }

    /// Applies an answer of the store, or reads again if it does not continue the known era.
    async fn handle_list(&mut self, list: StoreList, after: Option<StoreVersion>) {
        let StoreVersion { era, revision } = list.as_of;
        let known_era = after.unwrap_or(self.state.as_of()).era;
        if era < known_era {
            let message = format!("the answer is of era {era}, era {known_era} is known");
            self.handle_failure(StoreError::Malformed(message).into(), after).await;
            return;
        }
        self.state.record_store_answer();
        if std::mem::take(&mut self.is_unreachable) {
            log::info!(era = era, as_of = revision; "store reachable again");
        }
        self.is_trial = false;
        self.backoff = MIN_BACKOFF;
        if era > known_era && after.is_some() {
            self.begin_era(era);
            return;
        }
        if self.is_unconfirmed && after.is_none() && era > 0 {
            self.needs_latest = true;
            return;
        }
        let is_watch = after.is_some();
        self.is_unconfirmed &= !is_watch;
        let has_changes = !list.changes.is_empty();
        self.last = after.max(Some(list.as_of));
        let after_outage = self.state.may_lack_entries();
        self.state.apply_update(&to_update(list, after, after_outage), "store");
        if !self.is_unconfirmed {
            self.state.record_confirmation(era, Duration::ZERO);
        }
        if has_changes && is_watch {
            tokio::time::sleep(BATCH_INTERVAL).await;
        }
    }

    /// Decides how to read on after a failed read.
    async fn handle_error(&mut self, failed: FailedRead, after: Option<StoreVersion>) {
        if let Some(era) = failed.error.era()
            && after.is_some_and(|after| era > after.era)
        {
            self.begin_era(era);
        }
        let after_revision = after.map_or(0, |after| after.revision);
        match failed.error {
            StoreError::WatchStalled => {
                log::info!(after = after_revision;
                    "watch lags behind other VMs; opening it again");
                self.is_trial = true;
            }
            StoreError::HistoryGone { era } => {
                log::info!(after = after_revision, era = era;
                    "store history is gone; reading the full state again");
                self.last = None;
            }
            StoreError::RestoredMeanwhile { era } => {
                log::info!(era = era; "store restored while it was read; reading the full state again");
                self.last = None;
            }
            _ => self.handle_failure(failed, after).await,
        }
    }

    /// Waits after a read that the store did not answer, or not usably.
    async fn handle_failure(&mut self, failed: FailedRead, after: Option<StoreVersion>) {
        self.is_trial = true;
        let FailedRead { error, waited } = failed;
        let failure = store_contact::judge(&error, waited);
        self.state.record_store_failure(failure);
        let (after, waited_ms) =
            (after.map_or(0, |after| after.revision), waited.as_millis() as u64);
        if failure == ReadFailure::Cut {
            self.telemetry.cut_store_watches.inc();
            log::debug!(after = after, waited_ms = waited_ms; "watch was cut: {error}");
        } else if !std::mem::replace(&mut self.is_unreachable, true) {
            log::warn!(after = after, waited_ms = waited_ms;
                "store unreachable: {error}; using the last known state");
        }
        tokio::time::sleep(self.backoff.mul_f64(rand::random_range(0.5..1.0))).await;
        let max_backoff =
            if self.state.is_initialized() { MAX_BACKOFF } else { MAX_BACKOFF_AT_START };
        self.backoff = (self.backoff * 2).min(max_backoff);
    }

    /// Has the full state of a new era listed.
    fn begin_era(&mut self, era: Era) {
        let known = self.state.as_of();
        log::info!(era = era, known_era = known.era, known_as_of = known.revision;
            "store names a new era; reading the full state again");
        self.last = None;
        self.needs_latest = true;
    }
}

/// Converts a read of the store into an update of the state.
fn to_update(mut list: StoreList, after: Option<StoreVersion>, after_outage: bool) -> Update {
    for change in &mut list.changes {
        change.after_outage = after_outage;
    }
    let StoreVersion { era, revision: as_of } = list.as_of;
    let after = after.map_or(0, |after| after.revision);
    Update { after, after_outage, as_of, changes: list.changes, era }
}
