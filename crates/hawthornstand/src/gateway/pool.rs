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
}

/// A connection; dropping it closes the socket.
pub struct Connection {
    pub sender: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
    idle_limit: Duration,
    idle_since: Instant,
    open: Arc<AtomicUsize>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
        self.open.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Idle connections to one backend server and the count of open ones.
pub struct Pool {
    address: SocketAddr,
    idle: Mutex<Vec<Connection>>,
    max_open: AtomicUsize,
    open: Arc<AtomicUsize>,
}

impl Pool {
    /// Creates an empty pool.
    pub fn new(address: SocketAddr, max_open: usize) -> Self {
        Self {
            address,
            idle: Mutex::default(),
            max_open: AtomicUsize::new(max_open.max(1)),
            open: Arc::default(),
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
        self.open.load(Ordering::Relaxed) < self.max_open() || !lock(&self.idle).is_empty()
    }

    /// Returns the number of open connections.
    pub fn open(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    /// Returns the number of idle connections after closing those that are too old.
    pub fn idle(&self, now: Instant) -> usize {
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

    /// Opens a connection.
    pub async fn connect(&self) -> Result<Connection, ConnectError> {
        if self.open.load(Ordering::Relaxed) >= self.max_open() {
            // A connection nobody uses makes room for one that is needed now.
            lock(&self.idle).pop();
        }
        if self.open.fetch_add(1, Ordering::Relaxed) >= self.max_open() {
            self.open.fetch_sub(1, Ordering::Relaxed);
            return Err(ConnectError::ShareInUse);
        }
        let counted = CountedOpen(Some(Arc::clone(&self.open)));
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
            open: counted.release(),
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

/// Takes a count back unless the connection came about.
struct CountedOpen(Option<Arc<AtomicUsize>>);

impl CountedOpen {
    /// Hands the count over to a connection.
    fn release(mut self) -> Arc<AtomicUsize> {
        self.0.take().unwrap_or_default()
    }
}

impl Drop for CountedOpen {
    fn drop(&mut self) {
        if let Some(open) = &self.0 {
            open.fetch_sub(1, Ordering::Relaxed);
        }
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
