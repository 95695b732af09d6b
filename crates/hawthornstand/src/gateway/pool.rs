//! Pool of connections to one backend server; each carries one request at a time.

use std::io::ErrorKind;
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
use crate::gateway::wire_limit::{WireAllowance, WireLimit};
use crate::locks::lock;

/// Time limit for opening a connection, the same that callers set.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Idle time after which a connection is not reused if the backend server states no idle timeout.
const DEFAULT_IDLE_LIMIT: Duration = Duration::from_secs(4);
/// Fraction of the backend server's idle timeout after which a connection is not reused.
const IDLE_TIMEOUT_FRACTION: f64 = 0.7;
/// Largest read buffer of a connection, in bytes; the head of an answer has to fit.
const MAX_BUFFER_BYTES: usize = 64 * 1024;

/// Why no connection is available; nothing was sent.
#[derive(Clone, Copy, Debug, displaydoc::Display, Eq, PartialEq, thiserror::Error)]
pub enum ConnectError {
    /// this VM's connections to the backend server are all in use
    LimitReached,
    /// the backend server did not accept the connection
    Failed,
    /// nothing listens at the address of the backend server
    Refused,
    /// the idle connection was closed
    Closed,
}

/// A connection; dropping it closes the socket.
pub struct Connection {
    pub wire_allowance: WireAllowance,
    pub sender: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
    idle_limit: Duration,
    idle_since: Instant,
    _permit: ConnectionPermit,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Permit for one open connection, which counts as open until it is dropped.
pub struct ConnectionPermit(Arc<OpenConnections>);

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.0.count.fetch_sub(1, Ordering::Relaxed);
        self.0.queue.offer_next();
    }
}

/// Number of open connections and the queue for a free one.
struct OpenConnections {
    count: AtomicUsize,
    queue: Arc<ConnectionQueue>,
}

/// A connection reserved for a request.
pub enum Reservation {
    /// An idle connection.
    Idle(Connection),
    /// The permit to open one.
    New(ConnectionPermit),
}

/// Idle connections to one backend server and the number of open ones.
pub struct Pool {
    address: SocketAddr,
    idle: Mutex<Vec<Connection>>,
    max_open: AtomicUsize,
    open: Arc<OpenConnections>,
}

impl Pool {
    /// Creates an empty pool, which offers free connections to the requests in `queue`.
    pub fn new(address: SocketAddr, max_open: usize, queue: Arc<ConnectionQueue>) -> Self {
        Self {
            address,
            idle: Mutex::default(),
            max_open: AtomicUsize::new(max_open.max(1)),
            open: Arc::new(OpenConnections { count: AtomicUsize::new(0), queue }),
        }
    }

    /// Sets the limit on open connections, at least 1.
    pub fn set_max_open(&self, max_open: usize) {
        self.max_open.store(max_open.max(1), Ordering::Relaxed);
    }

    /// Returns the limit on open connections.
    pub fn max_open(&self) -> usize {
        self.max_open.load(Ordering::Relaxed)
    }

    /// Returns whether a connection is idle or may be opened.
    pub fn has_free_connection(&self) -> bool {
        self.open_connections() < self.max_open() || !lock(&self.idle).is_empty()
    }

    /// Returns the number of open connections.
    pub fn open_connections(&self) -> usize {
        self.open.count.load(Ordering::Relaxed)
    }

    /// Returns the number of idle connections after closing those that are too old.
    pub fn idle_connections(&self, now: Instant) -> usize {
        let mut idle = lock(&self.idle);
        idle.retain(|connection| connection.is_usable(now));
        idle.len()
    }

    /// Takes the idle connection that was used last.
    pub fn take_idle(&self, now: Instant) -> Option<Connection> {
        let mut idle = lock(&self.idle);
        while let Some(connection) = idle.pop() {
            if connection.is_usable(now) && connection.sender.is_ready() {
                return Some(connection);
            }
        }
        None
    }

    /// Reserves a connection for a request; with `new_only`, one that has carried no request before.
    pub fn reserve(&self, new_only: bool, now: Instant) -> Option<Reservation> {
        if !new_only && let Some(connection) = self.take_idle(now) {
            return Some(Reservation::Idle(connection));
        }
        self.acquire_permit().map(Reservation::New)
    }

    /// Cancels a reservation that is not used; an idle connection stays open.
    pub fn cancel(&self, reservation: Reservation) {
        let Reservation::Idle(connection) = reservation else { return };
        lock(&self.idle).push(connection);
        self.open.queue.offer_next();
    }

    /// Returns a permit to open a connection if the limit allows one more; an idle connection is closed to make room.
    pub fn acquire_permit(&self) -> Option<ConnectionPermit> {
        if self.open_connections() >= self.max_open() {
            // An idle connection makes room for the one that is needed now.
            let unused = lock(&self.idle).pop();
            drop(unused);
        }
        let max_open = self.max_open();
        let increment = |open| (open < max_open).then_some(open + 1);
        self.open.count.fetch_update(Ordering::Relaxed, Ordering::Relaxed, increment).ok()?;
        Some(ConnectionPermit(Arc::clone(&self.open)))
    }

    /// Opens a connection with a permit.
    ///
    /// # Errors
    ///
    /// Returns an error if the backend server does not accept the connection in time.
    pub async fn open_with(&self, permit: ConnectionPermit) -> Result<Connection, ConnectError> {
        let opened = tokio::time::timeout(CONNECT_TIMEOUT, open(self.address)).await;
        let (sender, driver, wire_allowance) = match opened {
            Ok(Ok(opened)) => opened,
            Ok(Err(error)) => {
                log::debug!("cannot connect to {}: {error}", self.address);
                let error = error.downcast_ref::<std::io::Error>();
                let is_refused =
                    error.is_some_and(|error| error.kind() == ErrorKind::ConnectionRefused);
                return Err(if is_refused { ConnectError::Refused } else { ConnectError::Failed });
            }
            Err(_) => return Err(ConnectError::Failed),
        };
        Ok(Connection {
            wire_allowance,
            sender,
            driver,
            idle_limit: DEFAULT_IDLE_LIMIT,
            idle_since: Instant::now(),
            _permit: permit,
        })
    }

    /// Returns a connection to the pool after a complete answer.
    ///
    /// `keep_alive` is the idle timeout that the backend server stated.
    pub fn release(&self, mut connection: Connection, keep_alive: Option<Duration>) {
        if let Some(keep_alive) = keep_alive {
            connection.idle_limit = keep_alive.mul_f64(IDLE_TIMEOUT_FRACTION);
        }
        connection.idle_since = Instant::now();
        lock(&self.idle).push(connection);
        self.open.queue.offer_next();
    }

    /// Closes every idle connection.
    pub fn close_idle(&self) {
        lock(&self.idle).clear();
    }
}

impl Connection {
    /// Returns whether the connection can carry another request.
    fn is_usable(&self, now: Instant) -> bool {
        !self.sender.is_closed() && now.saturating_duration_since(self.idle_since) < self.idle_limit
    }
}

/// A connection without a permit: its sender, its driver and the limit on bytes.
type OpenedConnection = (SendRequest<Full<Bytes>>, AbortHandle, WireAllowance);

/// Opens a connection and starts the task that drives it.
async fn open(
    address: SocketAddr,
) -> Result<OpenedConnection, Box<dyn std::error::Error + Send + Sync>> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let wire_allowance = WireAllowance::default();
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(MAX_BUFFER_BYTES)
        .handshake(TokioIo::new(WireLimit::new(stream, wire_allowance.clone())))
        .await?;
    let driver = tokio::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!("connection to {address} ended: {error}");
        }
    });
    Ok((sender, driver.abort_handle(), wire_allowance))
}
