//! Listens for HTTP and serves each connection in a task of its own.

use std::convert::Infallible;
use std::future::Future;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::process::head_timeout::{HeadTimeout, RequestCount};
use crate::process::timer::until;

/// Smallest buffer that hyper takes, in bytes.
const MIN_BUFFER_BYTES: usize = 8192;

/// Time after the request to stop in which connections and requests that came before it are still read.
const LAST_CALL: Duration = Duration::from_millis(50);

/// Limits on what a client may send and how long it may take.
#[derive(Clone, Copy, Debug)]
pub struct HttpLimits {
    /// Time allowed for the headers of a request once they have begun.
    pub header_timeout: Duration,
    /// Time after which a connection without a request is closed.
    pub idle_timeout: Duration,
    /// Longest head of a request, in bytes.
    pub max_header_bytes: usize,
}

impl Default for HttpLimits {
    fn default() -> Self {
        Self {
            header_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_secs(10),
            max_header_bytes: 64 * 1024,
        }
    }
}

/// Serves until told to stop, then lets every request end; returns when the last connection has closed.
///
/// `limits` is asked for each new connection, so that a change holds from then on.
pub async fn serve<H, F>(
    listener: TcpListener,
    mut stop: watch::Receiver<bool>,
    limits: impl Fn() -> HttpLimits + Send,
    handle: H,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Full<Bytes>>> + Send + 'static,
{
    let graceful = GracefulShutdown::new();
    // The end of the last call, once the stop was asked for.
    let mut last_call: Option<Instant> = None;
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|stop| *stop), if last_call.is_none() => {
                last_call = Some(Instant::now() + LAST_CALL);
                continue;
            }
            () = until(last_call) => break,
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(e) => {
                log::warn!("connection not accepted: {e}; check the limit on open files");
                tokio::time::sleep(Duration::from_millis(100)).await;
                continue;
            }
        };
        if let Err(e) = stream.set_nodelay(true) {
            log::debug!("no-delay not set: {e}");
        }
        let handle = handle.clone();
        let requests = RequestCount::default();
        let counted = requests.clone();
        let service = service_fn(move |request: Request<Incoming>| {
            counted.begin(request.version());
            let (answer, counted) = (handle(request), counted.clone());
            async move {
                let answer = answer.await;
                counted.end();
                Ok::<_, Infallible>(answer)
            }
        });
        let limits = limits();
        let stream = HeadTimeout::new(stream, requests, limits.header_timeout);
        let mut builder = auto::Builder::new(TokioExecutor::new());
        builder
            .http1()
            .timer(TokioTimer::new())
            // hyper counts from the moment at which the connection falls idle.
            .header_read_timeout(limits.idle_timeout.max(limits.header_timeout))
            .max_buf_size(limits.max_header_bytes.max(MIN_BUFFER_BYTES));
        let connection = builder.serve_connection(TokioIo::new(stream), service).into_owned();
        let connection = graceful.watch(connection);
        tokio::spawn(async move {
            if let Err(e) = connection.await {
                log::debug!("a caller's connection ended: {e}");
            }
        });
    }
    drop(listener);
    graceful.shutdown().await;
}
