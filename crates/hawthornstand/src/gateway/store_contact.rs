//! Tells outages of the store, in which entries of live backend servers lapse, from reads that merely failed.

use std::time::Duration;

use tokio::time::Instant;

use crate::derives::value_types;
use crate::gateway::listing::REREGISTRATION_TIMEOUT;
use crate::gateway::protocol::StoreError;

/// Intervals between two heartbeats that an outage lasts at least before an entry lapses: the store removes an entry
/// after three intervals of silence, of which the outage missed at most one, and intervals vary.
const MIN_OUTAGE_HEARTBEATS: f64 = 1.75;
/// Time for which a call was open at least if its connection ended while it waited, and not because the store did not
/// take it.
const MIN_WAIT: Duration = Duration::from_millis(50);

value_types! {
    /// What a failed read shows of the store.
    #[derive(Copy, Eq)]
    pub enum ReadFailure {
        /// The store answered; the read has to be repeated in another way.
        Answered,
        /// The call was cut while it waited: the store, or what stands before it, was there until then.
        Cut,
        /// Nothing shows that the store is there.
        Unanswered,
    }
}

/// Returns what a failed read shows of the store; `waited` is how long it had waited for changes, zero for a call that
/// does not wait.
pub fn judge(error: &StoreError, waited: Duration) -> ReadFailure {
    match error {
        StoreError::WatchStalled
        | StoreError::HistoryGone { .. }
        | StoreError::RestoredMeanwhile { .. } => ReadFailure::Answered,
        StoreError::Broken(_) | StoreError::Refused { .. } if waited >= MIN_WAIT => {
            ReadFailure::Cut
        }
        StoreError::Broken(_)
        | StoreError::ConnectFailed(_)
        | StoreError::Malformed(_)
        | StoreError::Refused { .. }
        | StoreError::TimedOut => ReadFailure::Unanswered,
    }
}

/// Whether the store is available, as far as this VM and those linked with it can tell.
///
/// An outage is a time without a sign of the store at any VM that is long enough for entries to lapse, if reads of this VM
/// fail in it.
#[derive(Clone, Copy, Debug)]
pub struct StoreContact {
    /// End of the last outage, or the start of this process.
    available_since: Instant,
    /// Since when reads of this VM fail; none if the last one was answered.
    failing_since: Option<Instant>,
    had_outage: bool,
    /// Last sign of the store at any VM; none before the first one.
    last_sign: Option<Instant>,
    min_outage: Duration,
}

impl StoreContact {
    /// Creates the contact of a process that starts; backend servers send a heartbeat every `heartbeat`.
    pub fn new(heartbeat: Duration, now: Instant) -> Self {
        Self {
            available_since: now,
            failing_since: None,
            had_outage: false,
            last_sign: None,
            min_outage: heartbeat.mul_f64(MIN_OUTAGE_HEARTBEATS),
        }
    }

    /// Records a failed read.
    pub fn record_failure(&mut self, failure: ReadFailure, now: Instant) {
        if failure == ReadFailure::Answered {
            return;
        }
        if failure == ReadFailure::Cut {
            self.last_sign = self.last_sign.max(Some(now));
        }
        self.failing_since.get_or_insert(now);
    }

    /// Records an answer to this VM.
    pub fn record_answer(&mut self, now: Instant) {
        self.record_sign(now);
        self.failing_since = None;
    }

    /// Records a sign of the store, at this VM or at another one, at an instant.
    pub fn record_sign(&mut self, at: Instant) {
        if self.last_sign.is_some_and(|last| at <= last) {
            return;
        }
        if self.failing_since.is_some() && self.is_outage(at) {
            self.record_outage_end(at);
        }
        self.last_sign = Some(at);
    }

    /// Records the end of an outage, or a restore of the store: entries may be missing until they are written again.
    pub fn record_outage_end(&mut self, now: Instant) {
        self.available_since = now;
        self.had_outage = true;
    }

    /// Returns whether the last read of this VM failed.
    pub fn is_failing(&self) -> bool {
        self.failing_since.is_some()
    }

    /// Returns since when the store has been available; none while reads of this VM fail and no other VM has a sign of it.
    pub fn available_since(&self, now: Instant) -> Option<Instant> {
        let is_available = self.failing_since.is_none_or(|failing| {
            self.last_sign.is_some_and(|last| last > failing) && !self.is_outage(now)
        });
        is_available.then_some(self.available_since)
    }

    /// Returns whether entries of live backend servers may be missing.
    pub fn may_lack_entries(&self, now: Instant) -> bool {
        (self.failing_since.is_some() && self.is_outage(now))
            || (self.had_outage
                && now.saturating_duration_since(self.available_since) < REREGISTRATION_TIMEOUT)
    }

    /// Returns whether the time without a sign of the store, up to an instant, is long enough for entries to lapse.
    fn is_outage(&self, at: Instant) -> bool {
        self.last_sign.is_none_or(|last| at.saturating_duration_since(last) >= self.min_outage)
    }
}
