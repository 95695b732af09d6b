//! Abandoned calls: their backend servers may still run them, and are watched until they have to stop.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::time::Instant;

use crate::gateway::directory::Directory;
use crate::gateway::server::Server;
use crate::ids::{Fingerprint, LeafId};
use crate::locks::lock;

/// Time for which a call is kept after its backend server has to stop: the end of a process shows a little later.
const DETECTION_TIME: Duration = Duration::from_secs(1);
/// Limit on the watched backend servers.
const MAX_SERVERS: usize = 1024;
/// Limit on the calls of each; those that are kept for the shortest time are dropped.
const MAX_CALLS_PER_SERVER: usize = 128;

/// Abandoned calls by backend server.
#[derive(Default)]
pub struct AbandonedCalls {
    /// Sorted by the id of the backend server and the start of its process.
    servers: Mutex<Vec<WatchedServer>>,
}

/// A backend server that may run abandoned calls.
struct WatchedServer {
    calls: Vec<AbandonedCall>,
    /// Whether a check has been started and not ended.
    is_checked: bool,
    server: Arc<Server>,
}

struct AbandonedCall {
    fingerprint: Fingerprint,
    kept_until: Instant,
}

/// What has to be done for a backend server that may run abandoned calls.
pub enum Due {
    /// No open connection shows that it runs.
    Check(Arc<Server>),
    /// Its entry names a later process, which shows that it has ended.
    Ended(Arc<Server>),
}

impl AbandonedCalls {
    /// Records an abandoned call; the backend server has to stop it at `deadline`.
    pub fn record(&self, server: &Arc<Server>, fingerprint: Fingerprint, deadline: Instant) {
        let kept_until = deadline + DETECTION_TIME;
        let mut servers = lock(&self.servers);
        let index = match find(&servers, server) {
            Ok(index) => index,
            Err(_) if servers.len() >= MAX_SERVERS => return,
            Err(index) => {
                let server = Arc::clone(server);
                servers
                    .insert(index, WatchedServer { calls: Vec::new(), is_checked: false, server });
                index
            }
        };
        let calls = &mut servers[index].calls;
        if let Some(call) = calls.iter_mut().find(|call| call.fingerprint == fingerprint) {
            call.kept_until = call.kept_until.max(kept_until);
            return;
        }
        if calls.len() >= MAX_CALLS_PER_SERVER {
            let first = calls.iter().enumerate().min_by_key(|(_, call)| call.kept_until);
            if let Some((index, _)) = first {
                calls.swap_remove(index);
            }
        }
        calls.push(AbandonedCall { fingerprint, kept_until });
    }

    /// Forgets calls whose time is over and backend servers that leave as planned; returns what is due for the others.
    ///
    /// A backend server is not returned again before [`Self::end_check`].
    pub fn take_due(&self, directory: &Directory, now: Instant) -> Vec<Due> {
        let mut due = Vec::new();
        lock(&self.servers).retain_mut(|watched| {
            if watched.is_checked {
                return true;
            }
            watched.calls.retain(|call| call.kept_until > now);
            if watched.calls.is_empty() {
                return false;
            }
            let server = &watched.server;
            if directory.has_restarted(server) {
                watched.is_checked = true;
                due.push(Due::Ended(Arc::clone(server)));
                return true;
            }
            if !server.allows_requests() {
                return false;
            }
            if server.pool.idle_connections(now) == 0 {
                watched.is_checked = true;
                due.push(Due::Check(Arc::clone(server)));
            }
            true
        });
        due
    }

    /// Ends the check of a backend server.
    pub fn end_check(&self, server: &Arc<Server>) {
        let mut servers = lock(&self.servers);
        if let Ok(index) = find(&servers, server) {
            servers[index].is_checked = false;
        }
    }

    /// Returns whether an abandoned call of a request to a backend server is kept.
    pub fn is_recorded(&self, server: &Arc<Server>, fingerprint: Fingerprint) -> bool {
        let servers = lock(&self.servers);
        let Ok(index) = find(&servers, server) else { return false };
        servers[index].calls.iter().any(|call| call.fingerprint == fingerprint)
    }

    /// Returns whether abandoned calls of the same request to two backend servers are kept.
    pub fn share_requests(&self, one: &Arc<Server>, other: &Arc<Server>) -> bool {
        let servers = lock(&self.servers);
        let (Ok(one), Ok(other)) = (find(&servers, one), find(&servers, other)) else {
            return false;
        };
        let others = &servers[other].calls;
        servers[one]
            .calls
            .iter()
            .any(|call| others.iter().any(|other| other.fingerprint == call.fingerprint))
    }

    /// Takes the fingerprints of the calls that a backend server may run.
    pub fn take(&self, server: &Arc<Server>) -> Vec<Fingerprint> {
        let mut servers = lock(&self.servers);
        let Ok(index) = find(&servers, server) else { return Vec::new() };
        servers.remove(index).calls.iter().map(|call| call.fingerprint).collect()
    }
}

/// Returns the index of a backend server, or where to insert it.
fn find(servers: &[WatchedServer], server: &Server) -> Result<usize, usize> {
    servers.binary_search_by(|watched| process(&watched.server).cmp(&process(server)))
}

/// Returns what identifies the process of a backend server.
fn process(server: &Server) -> (&LeafId, u64) {
    (&server.published.id, server.published.process_start_unix_ms)
}
