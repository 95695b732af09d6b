//! Connections to one backend server, never more than this VM's share of its limit.

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

/// Handle to send requests on one connection.
pub type Sender = SendRequest<Full<Bytes>>;

/// Why no connection is there; nothing was sent.
#[derive(Clone, Copy, Debug, displaydoc::Display, Eq, PartialEq, thiserror::Error)]
pub enum ConnectError {
    /// the last attempt failed a moment ago
    BackingOff,
    /// the backend server did not accept the connection
    Failed,
    /// the share of connections is in use
    ShareInUse,
}

/// Pool of HTTP/2 connections to one backend server.
pub struct Connections {
    address: String,
    backoff: Duration,
    connect_timeout: Duration,
    next: AtomicUsize,
    open: Mutex<Vec<Sender>>,
    rate: Arc<ConnectRateLimiter>,
    retry_at: std::sync::Mutex<Option<Instant>>,
    share: Arc<Semaphore>,
    source: IpAddr,
    wanted: usize,
}

/// How a pool opens connections.
pub struct ConnectionOptions {
    pub backoff: Duration,
    pub connect_timeout: Duration,
    pub rate: Arc<ConnectRateLimiter>,
    /// Bounds connections of any state, also ones that are closing.
    pub share: usize,
    /// IP number of this VM.
    pub source: IpAddr,
    /// Connections kept.
    pub wanted: usize,
}

impl Connections {
    /// Creates an empty pool.
    pub fn new(address: &str, options: ConnectionOptions) -> Self {
        Self {
            address: address.to_string(),
            backoff: options.backoff,
            connect_timeout: options.connect_timeout,
            next: AtomicUsize::new(0),
            open: Mutex::new(Vec::new()),
            rate: options.rate,
            retry_at: std::sync::Mutex::new(None),
            share: Arc::new(Semaphore::new(options.share)),
            source: options.source,
            wanted: options.wanted.min(options.share),
        }
    }

    /// Returns a handle to an open connection, connecting if needed.
    pub async fn get(&self) -> Result<Sender, ConnectError> {
        let mut open = self.open.lock().await;
        open.retain(|sender| !sender.is_closed());
        if !open.is_empty() && (open.len() >= self.wanted || self.share.available_permits() == 0) {
            let index = self.next.fetch_add(1, Ordering::Relaxed) % open.len();
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

    /// Opens a connection and starts its task.
    async fn connect(&self) -> Result<Sender, ConnectError> {
        let retry_at = *crate::locks::lock(&self.retry_at);
        if retry_at.is_some_and(|at| Instant::now() < at) {
            return Err(ConnectError::BackingOff);
        }
        let permit =
            self.share.clone().try_acquire_owned().map_err(|_| ConnectError::ShareInUse)?;
        self.rate.wait().await;
        let attempt = async {
            let stream = connect_from(self.source, &self.address).await.ok()?;
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
            *crate::locks::lock(&self.retry_at) = Some(Instant::now() + self.backoff);
            return Err(ConnectError::Failed);
        };
        tokio::spawn(async move {
            if let Err(e) = connection.await {
                log::debug!("connection to a backend server ended: {e}");
            }
            drop(permit);
        });
        Ok(sender)
    }
}

/// Connects from this VM's own IP number, by which others know it.
pub async fn connect_from(source: IpAddr, address: &str) -> std::io::Result<TcpStream> {
    let target: SocketAddr =
        address.parse().map_err(|_| std::io::Error::from(std::io::ErrorKind::InvalidInput))?;
    let socket = if target.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    if source.is_ipv4() == target.is_ipv4() {
        socket.bind(SocketAddr::new(source, 0))?;
    }
    socket.connect(target).await
}
