//! HTTP server that serves each connection in its own task.

use std::convert::Infallible;
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::{Abortable, Aborted};
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, HeaderValue};
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::process::connection_activity::ConnectionActivity;
use crate::process::connection_table::ConnectionTable;
use crate::process::head_timeout::HeadTimeout;
use crate::process::lingering_close::LingeringClose;
use crate::process::receive_buffer;
use crate::process::timer::sleep_until_or_forever;
use crate::process::write_timeout::WriteTimeout;

/// Smallest buffer size that hyper accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8192;

/// Time after the stop signal in which connections and requests that arrived before it are still accepted.
const ACCEPT_GRACE: Duration = Duration::from_millis(50);

/// Limits on what a client may send and how long it may take.
#[derive(Clone, Copy, Debug)]
pub struct HttpLimits {
    /// Whether a client may use HTTP/2 besides HTTP/1.1.
    pub accepts_http2: bool,
    /// Time allowed for the head of a request after its first byte.
    pub header_timeout: Duration,
    /// Time after which a connection without a running request is closed.
    pub idle_timeout: Duration,
    /// Number of open connections beyond which others are closed.
    pub max_connections: usize,
    /// Largest request head accepted, in bytes.
    pub max_header_bytes: usize,
}

impl Default for HttpLimits {
    fn default() -> Self {
        Self {
            accepts_http2: false,
            header_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_secs(10),
            max_connections: 1024,
            max_header_bytes: 64 * 1024,
        }
    }
}

/// Serves until `stop` is true, then lets running requests finish; returns when the last connection has closed.
///
/// `limits` is called for each new connection, so that changed limits apply to later connections.
pub async fn serve<H, F>(
    listener: TcpListener,
    mut stop: watch::Receiver<bool>,
    limits: impl Fn() -> HttpLimits + Send,
    connections: Arc<ConnectionTable>,
    handle: H,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Full<Bytes>>> + Send + 'static,
{
    receive_buffer::limit(&listener);
    let graceful = GracefulShutdown::new();
    // Set once a stop is requested: the time until which connections are still accepted.
    let mut accept_until: Option<Instant> = None;
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|stop| *stop), if accept_until.is_none() => {
                accept_until = Some(Instant::now() + ACCEPT_GRACE);
                continue;
            }
            () = sleep_until_or_forever(accept_until) => break,
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(e) => {
                log::warn!("failed to accept a connection: {e}; check the limit on open files");
                tokio::time::sleep(Duration::from_millis(100)).await;
                continue;
            }
        };
        if let Err(e) = stream.set_nodelay(true) {
            log::debug!("cannot set TCP_NODELAY: {e}");
        }
        let limits = limits();
        connections.make_room(limits.max_connections).await;
        let handle = handle.clone();
        let activity = ConnectionActivity::default();
        let (guard, closing) = connections.open(activity.clone());
        let stream = LingeringClose::new(stream, activity.clone(), stop.clone());
        let stream = WriteTimeout::new(stream, limits.idle_timeout);
        let stream = HeadTimeout::new(stream, activity.clone(), limits.header_timeout);
        let service = service_fn(move |mut request: Request<Incoming>| {
            let has_body = !request.body().is_end_stream();
            activity.record_head(request.version(), has_body);
            if has_body {
                request.extensions_mut().insert(activity.clone());
            }
            let (response, activity) = (handle(request), activity.clone());
            async move {
                let mut response = response.await;
                activity.record_response();
                if activity.is_body_partial() {
                    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
                }
                Ok::<_, Infallible>(response)
            }
        });
        let mut builder = auto::Builder::new(TokioExecutor::new());
        builder
            .http1()
            .timer(TokioTimer::new())
            // hyper starts this timer when the connection becomes idle.
            .header_read_timeout(limits.idle_timeout.max(limits.header_timeout))
            .max_buf_size(limits.max_header_bytes.max(MIN_BUFFER_BYTES));
        if !limits.accepts_http2 {
            builder = builder.http1_only();
        }
        let connection = builder.serve_connection(TokioIo::new(stream), service).into_owned();
        let connection = graceful.watch(connection);
        tokio::spawn(async move {
            let _guard = guard;
            match Abortable::new(connection, closing).await {
                Ok(Ok(())) => {}
                Ok(Err(e)) => log::debug!("connection closed with an error: {e}"),
                Err(Aborted) => log::debug!("connection closed to make room for another"),
            }
        });
    }
    drop(listener);
    graceful.shutdown().await;
}
