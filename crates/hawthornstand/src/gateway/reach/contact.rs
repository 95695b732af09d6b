//! Whether this VM reaches any backend server: a VM that is cut off sees all of them fall silent at the same time.

use std::net::SocketAddr;
use std::sync::Mutex;
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
pub struct Contact(Mutex<ContactState>);

value_types! {
    #[derive(Default)]
    struct ContactState {
        last_response: Option<Instant>,
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
        let mut state = lock(&self.0);
        state.last_response = Some(now);
        state.silent_since = None;
        state.silent_servers.clear();
    }

    /// Records that a backend server has not responded to a request or a connection attempt that began at `sent_at`.
    pub fn record_silence(&self, server: SocketAddr, sent_at: Instant, now: Instant) {
        let mut state = lock(&self.0);
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
        lock(&self.0).lost_for(now)
    }

    /// Returns a change since the last call.
    pub fn take_change(&self, now: Instant) -> Option<ContactChange> {
        let mut state = lock(&self.0);
        let silent_servers = state.silent_servers.len();
        match (state.lost_for(now), state.reported_loss) {
            (Some(silent_for), None) => {
                state.reported_loss = state.silent_since;
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
