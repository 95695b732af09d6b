//! Pool of connections to one backend server, limited to the connections that this VM may hold.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http2::{self, SendRequest};
use hyper_util::rt::{TokioExecutor, TokioIo};
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::{Mutex, Semaphore};
use tokio::time::Instant;

use crate::backends::connect_rate_limiter::ConnectRateLimiter;

/// Sends requests over one connection.
pub type RequestSender = SendRequest<Full<Bytes>>;

/// Errors of getting a connection; in each case nothing was sent.
#[derive(Clone, Copy, Debug, displaydoc::Display, Eq, PartialEq, thiserror::Error)]
pub enum ConnectError {
    /// the backoff after a failed connection attempt has not elapsed
    BackingOff,
    /// the connection to the backend server failed
    Failed,
    /// this VM holds as many connections to the backend server as it may
    LimitReached,
}

/// Pool of HTTP/2 connections to one backend server.
pub struct ConnectionPool {
    address: String,
    connect_timeout: Duration,
    next_index: AtomicUsize,
    open: Mutex<Vec<RequestSender>>,
    /// One permit for each connection of any state that this VM may hold.
    permits: Arc<Semaphore>,
    rate_limiter: Arc<ConnectRateLimiter>,
    reconnect_backoff: Duration,
    retry_at: std::sync::Mutex<Option<Instant>>,
    source_ip: IpAddr,
    target_connections: usize,
}

/// Options of a connection pool.
pub struct ConnectionOptions {
    pub connect_timeout: Duration,
    /// Limit of connections in any state, including closing ones.
    pub max_connections: usize,
    pub rate_limiter: Arc<ConnectRateLimiter>,
    /// Time after a failed attempt before the next one.
    pub reconnect_backoff: Duration,
    /// IP address of this VM, from which connections are opened.
    pub source_ip: IpAddr,
    /// Number of connections up to which the pool opens further ones.
    pub target_connections: usize,
}

impl ConnectionPool {
    /// Creates an empty pool.
    pub fn new(address: &str, options: ConnectionOptions) -> Self {
        Self {
            address: address.to_string(),
            connect_timeout: options.connect_timeout,
            next_index: AtomicUsize::new(0),
            open: Mutex::new(Vec::new()),
            permits: Arc::new(Semaphore::new(options.max_connections)),
            rate_limiter: options.rate_limiter,
            reconnect_backoff: options.reconnect_backoff,
            retry_at: std::sync::Mutex::new(None),
            source_ip: options.source_ip,
            target_connections: options.target_connections.min(options.max_connections),
        }
    }

    /// Returns a sender for an open connection, and opens a connection while the pool is below its target.
    pub async fn get(&self) -> Result<RequestSender, ConnectError> {
        let mut open = self.open.lock().await;
        open.retain(|sender| !sender.is_closed());
        if !open.is_empty()
            && (open.len() >= self.target_connections || self.permits.available_permits() == 0)
        {
            let index = self.next_index.fetch_add(1, Ordering::Relaxed) % open.len();
            return Ok(open[index].clone());
        }
        match self.connect().await {
            Ok(sender) => {
                open.push(sender.clone());
                Ok(sender)
            }
            Err(error) => open.first().cloned().ok_or(error),
        }
    }

    /// Opens a connection and spawns the task that drives it.
    async fn connect(&self) -> Result<RequestSender, ConnectError> {
        let retry_at = *crate::locks::lock(&self.retry_at);
        if retry_at.is_some_and(|at| Instant::now() < at) {
            return Err(ConnectError::BackingOff);
        }
        let permit =
            self.permits.clone().try_acquire_owned().map_err(|_| ConnectError::LimitReached)?;
        self.rate_limiter.wait().await;
        let attempt = async {
            let stream = connect_from(self.source_ip, &self.address).await.ok()?;
            stream.set_nodelay(true).ok()?;
            http2::Builder::new(TokioExecutor::new())
                .initial_max_send_streams(1024)
                .handshake(TokioIo::new(stream))
                .await
                .ok()
        };
        let Ok(Some((sender, connection))) =
            tokio::time::timeout(self.connect_timeout, attempt).await
        else {
            *crate::locks::lock(&self.retry_at) = Some(Instant::now() + self.reconnect_backoff);
            return Err(ConnectError::Failed);
        };
        tokio::spawn(async move {
            if let Err(e) = connection.await {
                log::debug!("connection to a backend server closed with an error: {e}");
            }
            drop(permit);
        });
        Ok(sender)
    }
}

/// Connects from the given IP address of this VM, by which other VMs and backend servers know it.
///
/// The source is bound only if it has the same IP version as the target.
pub async fn connect_from(source_ip: IpAddr, address: &str) -> std::io::Result<TcpStream> {
    let target: SocketAddr =
        address.parse().map_err(|_| std::io::Error::from(std::io::ErrorKind::InvalidInput))?;
    let socket = if target.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    if source_ip.is_ipv4() == target.is_ipv4() {
        socket.bind(SocketAddr::new(source_ip, 0))?;
    }
    socket.connect(target).await
}
