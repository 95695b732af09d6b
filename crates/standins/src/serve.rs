//! HTTP server of a stand-in, which can close all its connections at once.

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::IpAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, PoisonError, RwLock};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use hyper_util::server::conn::auto;
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::watch;
use tokio::task::JoinSet;

/// Limits and emulated delays of accepted connections.
#[derive(Clone, Debug, Default)]
pub struct AcceptOptions {
    /// Delay before a new connection is served.
    pub connect_cost: Duration,
    /// Most connections open at the same time; further ones are closed on arrival.
    pub limit: Option<usize>,
    /// One-way latency added to each request and each response, by the IP address of the client.
    pub latencies: Latencies,
}

/// One-way latencies by IP address; other addresses have none.
pub type Latencies = Arc<RwLock<BTreeMap<IpAddr, Duration>>>;

/// Counts of connections, including those closed over the limit.
#[derive(Debug, Default)]
pub struct ConnectionCounts {
    pub open: AtomicUsize,
    pub over_limit: AtomicUsize,
    pub peak: AtomicUsize,
    pub total: AtomicUsize,
}

/// Binds an address with `SO_REUSEADDR`, so that a stand-in can restart at the same address.
///
/// Returns an error if the address is not an IPv4 socket address or cannot be bound.
pub fn bind(address: &str) -> io::Result<TcpListener> {
    let address = address.parse().map_err(|_| io::Error::from(io::ErrorKind::InvalidInput))?;
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(1024)
}

/// Serves connections until the future is dropped, which closes all of them at once.
pub async fn serve<H, F>(
    listener: TcpListener,
    options: AcceptOptions,
    counts: Arc<ConnectionCounts>,
    handle: H,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Full<Bytes>>> + Send + 'static,
{
    let mut connections = JoinSet::new();
    let (_shutdown_sender, shutdown) = watch::channel(());
    loop {
        let (stream, from) = tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok(accepted) => accepted,
                Err(_) => continue,
            },
            Some(_) = connections.join_next() => continue,
        };
        counts.total.fetch_add(1, Ordering::SeqCst);
        let open = counts.open.fetch_add(1, Ordering::SeqCst) + 1;
        counts.peak.fetch_max(open, Ordering::SeqCst);
        let guard = OpenConnectionGuard(Arc::clone(&counts));
        if options.limit.is_some_and(|limit| open > limit) {
            counts.over_limit.fetch_add(1, Ordering::SeqCst);
            continue;
        }
        let handle = handle.clone();
        let options = options.clone();
        let executor = ShutdownExecutor(shutdown.clone());
        connections.spawn(async move {
            let _guard = guard;
            let _ = stream.set_nodelay(true);
            tokio::time::sleep(options.connect_cost).await;
            let latency = one_way_latency(&options.latencies, from.ip());
            let service = service_fn(move |request| {
                let handle = handle.clone();
                async move {
                    if !latency.is_zero() {
                        tokio::time::sleep(latency).await;
                    }
                    let response = handle(request).await;
                    if !latency.is_zero() {
                        tokio::time::sleep(latency).await;
                    }
                    Ok::<_, Infallible>(response)
                }
            });
            let _ =
                auto::Builder::new(executor).serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

/// Returns the one-way latency to an IP address.
fn one_way_latency(latencies: &Latencies, ip: IpAddr) -> Duration {
    let latencies = latencies.read().unwrap_or_else(PoisonError::into_inner);
    latencies.get(&ip).copied().unwrap_or_default()
}

/// Runs the tasks of HTTP/2 connections and aborts them when the server stops, as if its process were killed.
#[derive(Clone)]
struct ShutdownExecutor(watch::Receiver<()>);

impl<F> hyper::rt::Executor<F> for ShutdownExecutor
where
    F: Future + Send + 'static,
    F::Output: Send,
{
    fn execute(&self, future: F) {
        let mut shutdown = self.0.clone();
        tokio::spawn(async move {
            tokio::select! {
                _ = future => {}
                _ = shutdown.changed() => {}
            }
        });
    }
}

/// Counts a connection as open until dropped.
struct OpenConnectionGuard(Arc<ConnectionCounts>);

impl Drop for OpenConnectionGuard {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::SeqCst);
    }
}
