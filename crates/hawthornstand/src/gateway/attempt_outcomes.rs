//! Outcomes of the attempts of one request: whether any may have run, whether any was answered, and which backend servers
//! ended.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::sync::watch;

use crate::derives::value_types;
use crate::gateway::crash_tracker::CRASH_THRESHOLD;
use crate::gateway::server::Server;
use crate::locks::lock;

/// Value of [`AttemptOutcomes::maybe_run`] after which no attempt may be sent.
const SEALED: u32 = u32::MAX;

/// Outcomes of all attempts of a request, on all shards.
#[derive(Default)]
pub struct AttemptOutcomes {
    breaks: watch::Sender<Breaks>,
    ledger: Mutex<AttemptLedger>,
    /// Attempts that may have run or may still run, or [`SEALED`].
    maybe_run: AtomicU32,
    /// Backend servers that have ended while the request ran, and are not reported yet.
    unreported: Mutex<Vec<Arc<Server>>>,
}

value_types! {
    /// Connections that broke while a request ran, and what became of the backend servers.
    #[derive(Copy, Default, Eq)]
    struct Breaks {
        alive: u32,
        /// Whether a backend server ran the request to its end and answered with success.
        answered: bool,
        broken: u32,
    }
}

impl Breaks {
    /// Returns whether as many backend servers may have ended as make a request count as crashing, and none has answered.
    fn is_suspicious(&self) -> bool {
        !self.answered && (self.broken - self.alive) as usize >= CRASH_THRESHOLD
    }
}

/// Attempts that this VM has sent, and those that it lets other VMs send: together no more than the route allows on each
/// service.
#[derive(Default)]
struct AttemptLedger {
    granted: u32,
    /// The backend servers of attempts that may run.
    sent: Vec<Arc<Server>>,
}

impl AttemptLedger {
    /// Returns the attempts on a service.
    fn sent_to(&self, service: &str) -> u32 {
        self.sent.iter().filter(|server| server.published.service == service).count() as u32
    }

    /// Returns the attempts on the service that has got most.
    fn most_sent(&self) -> u32 {
        let counts = self.sent.iter().map(|server| self.sent_to(&server.published.service));
        counts.max().unwrap_or(0)
    }
}

impl AttemptOutcomes {
    /// Records that an attempt is about to be sent; returns whether it may be.
    pub fn begin_send(&self) -> bool {
        let increment = |count| (count != SEALED).then(|| count + 1);
        self.maybe_run.fetch_update(Ordering::AcqRel, Ordering::Acquire, increment).is_ok()
    }

    /// Records that an attempt is about to be sent to a backend server; returns whether it may be.
    pub fn begin_attempt(&self, server: &Arc<Server>, max_attempts: u32) -> bool {
        let mut ledger = lock(&self.ledger);
        let sent = ledger.sent_to(&server.published.service);
        if sent + ledger.granted >= max_attempts || !self.begin_send() {
            return false;
        }
        ledger.sent.push(Arc::clone(server));
        true
    }

    /// Records that an attempt on a backend server has not run.
    pub fn record_attempt_not_run(&self, server: &Arc<Server>) {
        let mut ledger = lock(&self.ledger);
        ledger.sent.retain(|sent| !Arc::ptr_eq(sent, server));
        self.record_not_run();
    }

    /// Lets other VMs send the attempts that are left on each service, so that this VM sends no more; returns how many.
    ///
    /// What was sent counts as arrived even if this VM seems to be cut off: slow backend servers look the same.
    pub fn grant_attempts(&self, max_attempts: u32) -> u32 {
        let mut ledger = lock(&self.ledger);
        let left = max_attempts.saturating_sub(ledger.most_sent() + ledger.granted);
        ledger.granted += left;
        left
    }

    /// Returns the attempts of this VM on the service that has got most.
    pub fn most_sent(&self) -> u32 {
        lock(&self.ledger).most_sent()
    }

    /// Returns whether attempts were sent to several services.
    pub fn has_several_services(&self) -> bool {
        let ledger = lock(&self.ledger);
        let mut services = ledger.sent.iter().map(|server| &server.published.service);
        services.next().is_some_and(|first| services.any(|service| service != first))
    }

    /// Takes back attempts that no other VM has sent.
    pub fn take_back_attempts(&self, attempts: u32) {
        let mut ledger = lock(&self.ledger);
        ledger.granted = ledger.granted.saturating_sub(attempts);
    }

    /// Records that an attempt that was about to be sent has not run.
    pub fn record_not_run(&self) {
        self.maybe_run.fetch_sub(1, Ordering::AcqRel);
    }

    /// Records that the request is about to be offered to another VM, which may run it.
    pub fn begin_offer(&self) {
        // Once the outcomes are sealed, they are not asked any more.
        self.begin_send();
    }

    /// Records that the VM to which the request was offered has not run it.
    pub fn record_offer_not_run(&self) {
        let decrement = |count| (count != SEALED && count > 0).then(|| count - 1);
        // Sealed outcomes stay as they are.
        let _ = self.maybe_run.fetch_update(Ordering::AcqRel, Ordering::Acquire, decrement);
    }

    /// Prevents all further attempts if no attempt may have run; returns whether it did, so that the request has not
    /// run and never will.
    pub fn seal_if_not_run(&self) -> bool {
        self.maybe_run.compare_exchange(0, SEALED, Ordering::AcqRel, Ordering::Acquire).is_ok()
    }

    /// Returns whether any attempt may have run.
    pub fn may_have_run(&self) -> bool {
        !matches!(self.maybe_run.load(Ordering::Acquire), 0 | SEALED)
    }

    /// Records that a backend server ran the request to its end and answered with success.
    pub fn record_answered(&self) {
        self.breaks.send_modify(|breaks| breaks.answered = true);
    }

    /// Returns whether a backend server ran the request to its end and answered with success.
    pub fn is_answered(&self) -> bool {
        self.breaks.borrow().answered
    }

    /// Records that the connection to a backend server broke, which is checked then.
    pub fn record_broken(&self) {
        self.breaks.send_modify(|breaks| breaks.broken += 1);
    }

    /// Records that a backend server whose connection broke has not ended.
    pub fn record_alive(&self) {
        self.breaks.send_modify(|breaks| breaks.alive += 1);
    }

    /// Records that a backend server has ended; returns whether it is the first that is not reported yet.
    pub fn record_ended(&self, server: &Arc<Server>) -> bool {
        let mut unreported = lock(&self.unreported);
        unreported.push(Arc::clone(server));
        unreported.len() == 1
    }

    /// Returns whether the request may be crashing the backend servers that run it.
    pub fn is_suspicious(&self) -> bool {
        self.breaks.borrow().is_suspicious()
    }

    /// Waits, for a limited time, until the request is not suspicious; returns whether it is not.
    pub async fn wait_while_suspicious(&self, limit: Duration) -> bool {
        let mut breaks = self.breaks.subscribe();
        let cleared = breaks.wait_for(|breaks| !breaks.is_suspicious());
        tokio::time::timeout(limit, cleared).await.is_ok()
    }

    /// Returns the backend servers that have ended since the last call.
    pub fn take_ended(&self) -> Vec<Arc<Server>> {
        std::mem::take(&mut *lock(&self.unreported))
    }
}
