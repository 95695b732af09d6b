//! Whether this VM reaches any backend server: a VM that is cut off sees all of them fall silent at the same time.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use tokio::time::Instant;

use crate::derives::value_types;
use crate::locks::lock;

/// Number of backend servers that have to be silent, in a row and without a response of any other.
const MIN_SILENT_SERVERS: usize = 4;
/// Time for which they have to stay silent. After a pause of this VM, timers fire before the responses that arrived
/// meanwhile are read.
const CONFIRMATION_TIME: Duration = Duration::from_millis(40);

/// What the attempts on all backend servers together show.
#[derive(Debug, Default)]
pub struct Contact {
    is_asked_for: AtomicBool,
    state: Mutex<ContactState>,
}

value_types! {
    #[derive(Default)]
    struct ContactState {
        last_response: Option<Instant>,
        /// When the first of the refusing backend servers refused.
        refusing_since: Option<Instant>,
        /// Backend servers at whose addresses nothing has listened since the last response of any; sorted.
        refusing_servers: Vec<SocketAddr>,
        /// When the first of the silent backend servers was found silent.
        silent_since: Option<Instant>,
        /// Backend servers that did not respond to what was sent after the last response of any; sorted.
        silent_servers: Vec<SocketAddr>,
        /// Beginning of the loss of contact that was last reported as a change, until its end is.
        reported_loss: Option<Instant>,
    }

    /// A change of the contact to backend servers.
    #[derive(Copy, Eq)]
    pub enum ContactChange {
        Lost { silent_for: Duration, silent_servers: usize },
        /// All silences since this instant are explained by the loss of contact.
        Regained { lost_since: Instant },
    }
}

impl Contact {
    /// Records a response of any backend server. An accepted connection is none: a backend server may accept connections
    /// whose requests do not reach it.
    pub fn record_response(&self, now: Instant) {
        let mut state = lock(&self.state);
        state.last_response = Some(now);
        state.silent_since = None;
        state.silent_servers.clear();
        state.refusing_since = None;
        state.refusing_servers.clear();
    }

    /// Returns whether any backend server has responded since an instant.
    pub fn has_responded_since(&self, instant: Instant) -> bool {
        lock(&self.state).last_response.is_some_and(|at| at >= instant)
    }

    /// Asks for a probe that shows whether this VM reaches any backend server.
    pub fn ask(&self) {
        self.is_asked_for.store(true, Ordering::Relaxed);
    }

    /// Returns whether probes have to show if this VM reaches any backend server: somebody asks, or several refuse
    /// connections. These may have ended, or the path of this VM may be blocked.
    pub fn take_question(&self) -> bool {
        let is_asked_for = self.is_asked_for.swap(false, Ordering::Relaxed);
        is_asked_for || lock(&self.state).refusing_servers.len() >= MIN_SILENT_SERVERS
    }

    /// Returns whether a backend server has refused a connection or was silent since the last response of any.
    pub fn is_unresponsive(&self, server: SocketAddr) -> bool {
        let state = lock(&self.state);
        state.refusing_servers.binary_search(&server).is_ok()
            || state.silent_servers.binary_search(&server).is_ok()
    }

    /// Records that nothing listened at the address of a backend server when a connection attempt began at `sent_at`.
    ///
    /// A process that has ended refuses connections, so that this says nothing of the path of this VM.
    pub fn record_refused(&self, server: SocketAddr, sent_at: Instant, now: Instant) {
        let mut state = lock(&self.state);
        if state.last_response.is_some_and(|at| at >= sent_at) {
            return;
        }
        state.refusing_since.get_or_insert(now);
        if let Err(index) = state.refusing_servers.binary_search(&server) {
            state.refusing_servers.insert(index, server);
        }
    }

    /// Records that a backend server has not responded to a request or a connection attempt that began at `sent_at`.
    pub fn record_silence(&self, server: SocketAddr, sent_at: Instant, now: Instant) {
        let mut state = lock(&self.state);
        if state.last_response.is_some_and(|at| at >= sent_at) {
            return;
        }
        state.silent_since.get_or_insert(now);
        if let Err(index) = state.silent_servers.binary_search(&server) {
            state.silent_servers.insert(index, server);
        }
    }

    /// Returns the time since this VM lost contact to all backend servers; none if it has contact.
    pub fn lost_for(&self, now: Instant) -> Option<Duration> {
        lock(&self.state).lost_for(now)
    }

    /// Returns a change since the last call.
    pub fn take_change(&self, now: Instant) -> Option<ContactChange> {
        let mut state = lock(&self.state);
        let silent_servers = state.silent_servers.len();
        match (state.lost_for(now), state.reported_loss) {
            (Some(silent_for), None) => {
                // Refusals before the loss was certain belong to it.
                let began = [state.silent_since, state.refusing_since];
                state.reported_loss = began.into_iter().flatten().min();
                Some(ContactChange::Lost { silent_for, silent_servers })
            }
            (None, Some(lost_since)) => {
                state.reported_loss = None;
                Some(ContactChange::Regained { lost_since })
            }
            _ => None,
        }
    }
}

impl ContactState {
    fn lost_for(&self, now: Instant) -> Option<Duration> {
        if self.silent_servers.len() < MIN_SILENT_SERVERS {
            return None;
        }
        let silent_for = now.saturating_duration_since(self.silent_since?);
        (silent_for >= CONFIRMATION_TIME).then_some(silent_for)
    }
}
