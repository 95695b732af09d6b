//! The open connections of a listener. Beyond their limit, the one that has waited for its client for the longest time is
//! closed.

use std::sync::{Arc, Mutex};

use futures_util::future::{AbortHandle, AbortRegistration};
use prometheus_client::metrics::counter::Counter;
use tokio::sync::Notify;

use crate::locks::lock;
use crate::process::connection_activity::ConnectionActivity;

/// Number of a connection in [`ConnectionTable`].
type ConnectionId = u64;

/// The open connections of a listener.
#[derive(Default)]
pub struct ConnectionTable {
    connections: Mutex<Connections>,
    /// Connections that were closed to make room for others.
    evicted: Counter,
    room: Notify,
}

#[derive(Default)]
struct Connections {
    next_id: ConnectionId,
    /// Sorted by id.
    open: Vec<OpenConnection>,
}

struct OpenConnection {
    activity: ConnectionActivity,
    close: AbortHandle,
    id: ConnectionId,
}

/// Counts a connection as open until it is dropped.
pub struct ConnectionGuard {
    id: ConnectionId,
    table: Arc<ConnectionTable>,
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        let mut connections = lock(&self.table.connections);
        if let Ok(index) = connections.open.binary_search_by_key(&self.id, |open| open.id) {
            connections.open.remove(index);
            self.table.room.notify_one();
        }
    }
}

impl ConnectionTable {
    /// Creates an empty table; `evicted` counts the connections that are closed to make room for others.
    pub fn new(evicted: Counter) -> Self {
        Self { evicted, ..Self::default() }
    }

    /// Returns the number of open connections.
    pub fn open_connections(&self) -> usize {
        lock(&self.connections).open.len()
    }

    /// Waits until there is room for a connection, and closes another one for it if need be.
    pub async fn make_room(&self, max_connections: usize) {
        while !self.has_room(max_connections) {
            if self.evict() {
                // The connection is closed when its task runs.
                tokio::task::yield_now().await;
                return;
            }
            self.room.notified().await;
        }
    }

    /// Adds a connection; its task has to end when `AbortRegistration` says so, and to keep the guard until then.
    pub fn open(
        self: &Arc<Self>,
        activity: ConnectionActivity,
    ) -> (ConnectionGuard, AbortRegistration) {
        let (close, registration) = AbortHandle::new_pair();
        let mut connections = lock(&self.connections);
        let id = connections.next_id;
        connections.next_id += 1;
        connections.open.push(OpenConnection { activity, close, id });
        (ConnectionGuard { id, table: Arc::clone(self) }, registration)
    }

    fn has_room(&self, max_connections: usize) -> bool {
        self.open_connections() < max_connections
    }

    /// Closes the connection that has waited for its client for the longest time; returns whether there is one.
    fn evict(&self) -> bool {
        let mut connections = lock(&self.connections);
        let waiting = connections.open.iter().enumerate();
        let waiting =
            waiting.filter_map(|(index, open)| Some((open.activity.waiting_since()?, index)));
        let Some((_, index)) = waiting.min() else { return false };
        connections.open.remove(index).close.abort();
        self.evicted.inc();
        true
    }
}
