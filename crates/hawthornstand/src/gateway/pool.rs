//! Connections to one backend server, one request at a time on each.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::Instant;

use crate::gateway::connection_queue::ConnectionQueue;
use crate::locks::lock;

/// Time allowed for a new connection, as callers allow it.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for which an idle connection is trusted where the backend server names no timeout.
const DEFAULT_IDLE: Duration = Duration::from_secs(4);
/// Part of the backend server's idle timeout after which a connection is no longer used.
const IDLE_SHARE: f64 = 0.7;
/// Largest read buffer of a connection, in bytes; the head of an answer has to fit.
const MAX_BUFFER_BYTES: usize = 64 * 1024;

/// Why no connection is there; nothing was sent.
#[derive(Clone, Copy, Debug, displaydoc::Display, Eq, PartialEq, thiserror::Error)]
pub enum ConnectError {
    /// the share of connections is in use
    ShareInUse,
    /// the backend server did not accept the connection
    Failed,
    /// a kept connection turned out to be closed
    Closed,
}

/// A connection; dropping it closes the socket.
pub struct Connection {
    pub sender: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
    idle_limit: Duration,
    idle_since: Instant,
    _slot: Slot,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Counts one connection as open while it is alive.
pub struct Slot(Arc<OpenCount>);

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::Relaxed);
        self.0.line.offer_next();
    }
}

/// Open connections, and who waits for one.
struct OpenCount {
    line: Arc<ConnectionQueue>,
    open: AtomicUsize,
}

/// What a request was promised.
pub enum Reservation {
    /// A kept connection.
    Kept(Connection),
    /// Room for a new one.
    New(Slot),
}

/// Idle connections to one backend server and the count of open ones.
pub struct Pool {
    address: SocketAddr,
    idle: Mutex<Vec<Connection>>,
    max_open: AtomicUsize,
    count: Arc<OpenCount>,
}

impl Pool {
    /// Creates an empty pool; whenever a connection is free, the next request in the line is called.
    pub fn new(address: SocketAddr, max_open: usize, line: Arc<ConnectionQueue>) -> Self {
        Self {
            address,
            idle: Mutex::default(),
            max_open: AtomicUsize::new(max_open.max(1)),
            count: Arc::new(OpenCount { line, open: AtomicUsize::new(0) }),
        }
    }

    /// Changes the number of connections that may be open.
    pub fn set_max_open(&self, max_open: usize) {
        self.max_open.store(max_open.max(1), Ordering::Relaxed);
    }

    /// Returns the number of connections that may be open.
    pub fn max_open(&self) -> usize {
        self.max_open.load(Ordering::Relaxed)
    }

    /// Returns whether a connection is idle or may be opened.
    pub fn has_room(&self) -> bool {
        self.open_connections() < self.max_open() || !lock(&self.idle).is_empty()
    }

    /// Returns the number of open connections.
    pub fn open_connections(&self) -> usize {
        self.count.open.load(Ordering::Relaxed)
    }

    /// Returns the number of idle connections after closing those that are too old.
    pub fn idle_connections(&self, now: Instant) -> usize {
        let mut idle = lock(&self.idle);
        idle.retain(|connection| connection.is_usable(now));
        idle.len()
    }

    /// Takes the connection that was used last.
    pub fn take_idle(&self, now: Instant) -> Option<Connection> {
        let mut idle = lock(&self.idle);
        while let Some(connection) = idle.pop() {
            if connection.is_usable(now) && connection.sender.is_ready() {
                return Some(connection);
            }
        }
        None
    }

    /// Promises a request a connection; a fresh one has carried nothing before.
    pub fn reserve(&self, fresh: bool, now: Instant) -> Option<Reservation> {
        if !fresh && let Some(connection) = self.take_idle(now) {
            return Some(Reservation::Kept(connection));
        }
        self.slot().map(Reservation::New)
    }

    /// Takes back what was promised and is not needed.
    pub fn cancel(&self, reservation: Reservation) {
        let Reservation::Kept(connection) = reservation else { return };
        lock(&self.idle).push(connection);
        self.count.line.offer_next();
    }

    /// Counts one more connection as open, if the share allows it.
    pub fn slot(&self) -> Option<Slot> {
        if self.open_connections() >= self.max_open() {
            // A connection nobody uses makes room for one that is needed now.
            let unused = lock(&self.idle).pop();
            drop(unused);
        }
        let max_open = self.max_open();
        let more = |open| (open < max_open).then_some(open + 1);
        self.count.open.fetch_update(Ordering::Relaxed, Ordering::Relaxed, more).ok()?;
        Some(Slot(Arc::clone(&self.count)))
    }

    /// Opens a connection.
    pub async fn connect(&self) -> Result<Connection, ConnectError> {
        let slot = self.slot().ok_or(ConnectError::ShareInUse)?;
        self.open_in(slot).await
    }

    /// Opens a connection for which there is room.
    pub async fn open_in(&self, slot: Slot) -> Result<Connection, ConnectError> {
        let opened = tokio::time::timeout(CONNECT_TIMEOUT, open(self.address)).await;
        let (sender, driver) = match opened {
            Ok(Ok(opened)) => opened,
            Ok(Err(error)) => {
                log::debug!("no connection to {}: {error}", self.address);
                return Err(ConnectError::Failed);
            }
            Err(_) => return Err(ConnectError::Failed),
        };
        Ok(Connection {
            sender,
            driver,
            idle_limit: DEFAULT_IDLE,
            idle_since: Instant::now(),
            _slot: slot,
        })
    }

    /// Takes back a connection whose last answer is complete.
    ///
    /// `keep_alive` is the idle timeout that the backend server stated.
    pub fn give_back(&self, mut connection: Connection, keep_alive: Option<Duration>) {
        if let Some(keep_alive) = keep_alive {
            connection.idle_limit = keep_alive.mul_f64(IDLE_SHARE);
        }
        connection.idle_since = Instant::now();
        lock(&self.idle).push(connection);
        self.count.line.offer_next();
    }

    /// Closes every idle connection.
    pub fn close_idle(&self) {
        lock(&self.idle).clear();
    }
}

impl Connection {
    /// Returns whether the connection may carry another request.
    fn is_usable(&self, now: Instant) -> bool {
        !self.sender.is_closed() && now.saturating_duration_since(self.idle_since) < self.idle_limit
    }
}

/// Connects and starts the task of the connection.
async fn open(
    address: SocketAddr,
) -> Result<(SendRequest<Full<Bytes>>, AbortHandle), Box<dyn std::error::Error + Send + Sync>> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(MAX_BUFFER_BYTES)
        .handshake(TokioIo::new(stream))
        .await?;
    let driver = tokio::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!("connection to {address} ended: {error}");
        }
    });
    Ok((sender, driver.abort_handle()))
}
