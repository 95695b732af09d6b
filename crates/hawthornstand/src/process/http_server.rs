//! HTTP server that serves each connection in its own task.

use std::convert::Infallible;
use std::future::Future;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::{Abortable, Aborted};
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, HeaderValue};
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioExecutor, TokioIo};
use hyper_util::server::conn::auto;
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::process::connection_activity::ConnectionActivity;
use crate::process::connection_table::ConnectionTable;
use crate::process::head_limits::HeadLimits;
use crate::process::http_limits::HttpLimits;
use crate::process::lingering_close::LingeringClose;
use crate::process::receive_buffer;
use crate::process::timer::sleep_until_or_forever;
use crate::process::write_timeout::WriteTimeout;

/// Time after the stop signal in which connections and requests that arrived before it are still accepted.
const ACCEPT_GRACE: Duration = Duration::from_millis(50);

/// Serves until `stop` is true, then lets running requests finish; returns when the last connection has closed.
///
/// Changed `limits` apply to open connections as well, except for the HTTP versions that these may use.
pub async fn serve<H, F>(
    listener: TcpListener,
    mut stop: watch::Receiver<bool>,
    limits: watch::Receiver<HttpLimits>,
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
        let HttpLimits { accepts_http2, max_connections, .. } = *limits.borrow();
        connections.make_room(max_connections).await;
        let handle = handle.clone();
        let activity = ConnectionActivity::default();
        let (guard, closing) = connections.open(activity.clone());
        let stream = LingeringClose::new(stream, activity.clone(), stop.clone());
        let stream = WriteTimeout::new(stream, limits.clone());
        let stream = HeadLimits::new(stream, activity.clone(), limits.clone());
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
        // `HeadLimits` has the limits in force, which hyper cannot change on an open connection.
        builder.http1().header_read_timeout(None).max_buf_size(usize::MAX);
        if !accepts_http2 {
            builder = builder.http1_only();
        }
        let connection = builder.serve_connection(TokioIo::new(stream), service).into_owned();
        let connection = Abortable::new(graceful.watch(connection), closing);
        let mut limits = limits.clone();
        limits.mark_unchanged();
        tokio::spawn(async move {
            let _guard = guard;
            let mut connection = pin!(connection);
            let ended = loop {
                tokio::select! {
                    biased;
                    ended = &mut connection => break ended,
                    // The connection is polled again, and what it waits for is subject to the changed limits.
                    Ok(()) = limits.changed() => {}
                }
            };
            match ended {
                Ok(Ok(())) => {}
                Ok(Err(e)) => log::debug!("connection closed with an error: {e}"),
                Err(Aborted) => log::debug!("connection closed to make room for another"),
            }
        });
    }
    drop(listener);
    graceful.shutdown().await;
}
