//! Client for calls to backend servers.

use std::future::Future;
use std::pin::Pin;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use serde::de::DeserializeOwned;

use crate::backends::connection_pool::{ConnectError, RequestSender};
use crate::backends::leaf::Leaf;
use crate::ids::UnixMs;
use crate::messages::{LeafAnswer, LeafBooking, LeafHealth, LeafRefusal, LeafSearch};

/// Name of the header with the absolute deadline.
pub const DEADLINE_HEADER: &str = "deadline-unix-ms";
/// Name of the header with the request id.
pub const REQUEST_ID_HEADER: &str = "request-id";
/// Name of the header with the W3C trace context.
pub const TRACEPARENT_HEADER: &str = "traceparent";

/// Largest accepted result of a booking, in bytes; the result is stored for as long as its ticket may be sent again.
const MAX_RESULT_BYTES: usize = 64 << 10;
/// Largest accepted response of a backend server, in bytes.
const MAX_RESPONSE_BYTES: usize = 8 << 20;

/// Boxed future, as returned by object-safe traits.
pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// Errors of a call to a backend server.
#[derive(Clone, Debug, displaydoc::Display, PartialEq, thiserror::Error)]
pub enum CallError {
    /// the connection was lost after the request was sent
    Lost,
    /// the response is malformed: {0}
    Malformed(String),
    /// the request was not sent: {0}
    NotSent(ConnectError),
    /// the backend server refused the request without running it: {0:?}
    Refused(LeafRefusal),
    /// the deadline passed
    Timeout,
}

/// Deadline, request id and trace context of one call.
#[derive(Clone, Debug)]
pub struct CallContext<'a> {
    pub deadline_unix_ms: UnixMs,
    /// Time after which the call fails with [`CallError::Timeout`].
    pub remaining: Duration,
    pub request_id: &'a str,
    pub traceparent: &'a str,
}

/// Sends calls to backend servers; replaced by a fake in tests.
pub trait BackendClient: Send + Sync {
    /// Runs a search; dropping the future cancels it without closing the connection.
    fn search<'a>(
        &'a self,
        leaf: &'a Leaf,
        search: &'a LeafSearch,
        context: CallContext<'a>,
    ) -> BoxFuture<'a, Result<LeafAnswer, CallError>>;

    /// Runs a booking and returns its result; the request is sent at most once.
    fn book<'a>(
        &'a self,
        leaf: &'a Leaf,
        booking: &'a LeafBooking,
        context: CallContext<'a>,
    ) -> BoxFuture<'a, Result<String, CallError>>;

    /// Requests the health report.
    fn health<'a>(
        &'a self,
        leaf: &'a Leaf,
        timeout: Duration,
    ) -> BoxFuture<'a, Result<LeafHealth, CallError>>;
}

/// HTTP/2 client for backend servers.
pub struct HttpBackendClient;

impl BackendClient for HttpBackendClient {
    fn search<'a>(
        &'a self,
        leaf: &'a Leaf,
        search: &'a LeafSearch,
        context: CallContext<'a>,
    ) -> BoxFuture<'a, Result<LeafAnswer, CallError>> {
        Box::pin(async move {
            let body =
                serde_json::to_vec(search).map_err(|e| CallError::Malformed(e.to_string()))?;
            let bytes = with_timeout(
                context.remaining,
                call(leaf, Method::POST, "/search", body, &context),
            )
            .await?;
            parse_json(&bytes)
        })
    }

    fn book<'a>(
        &'a self,
        leaf: &'a Leaf,
        booking: &'a LeafBooking,
        context: CallContext<'a>,
    ) -> BoxFuture<'a, Result<String, CallError>> {
        Box::pin(async move {
            let body =
                serde_json::to_vec(booking).map_err(|e| CallError::Malformed(e.to_string()))?;
            let bytes =
                with_timeout(context.remaining, call(leaf, Method::POST, "/book", body, &context))
                    .await?;
            if bytes.len() > MAX_RESULT_BYTES {
                return Err(CallError::Malformed(format!("a result of {} bytes", bytes.len())));
            }
            String::from_utf8(bytes.to_vec()).map_err(|e| CallError::Malformed(e.to_string()))
        })
    }

    fn health<'a>(
        &'a self,
        leaf: &'a Leaf,
        timeout: Duration,
    ) -> BoxFuture<'a, Result<LeafHealth, CallError>> {
        Box::pin(async move {
            let context = CallContext {
                deadline_unix_ms: 0,
                remaining: timeout,
                request_id: "health",
                traceparent: "",
            };
            let bytes =
                with_timeout(timeout, call(leaf, Method::GET, "/health", Vec::new(), &context))
                    .await?;
            parse_json(&bytes)
        })
    }
}

/// Runs a call with a time limit.
async fn with_timeout<T>(
    time_limit: Duration,
    call: impl Future<Output = Result<T, CallError>>,
) -> Result<T, CallError> {
    tokio::time::timeout(time_limit, call).await.unwrap_or(Err(CallError::Timeout))
}

/// Sends one request and reads the whole response.
async fn call(
    leaf: &Leaf,
    method: Method,
    path: &'static str,
    body: Vec<u8>,
    context: &CallContext<'_>,
) -> Result<Bytes, CallError> {
    let sender = leaf.connections.get().await.map_err(CallError::NotSent)?;
    let request = build_request(leaf, method, path, body, context)?;
    let response = send(sender, request).await?;
    let status = response.status();
    let bytes = read_body(response.into_body()).await?;
    match status {
        StatusCode::OK => Ok(bytes),
        StatusCode::CONFLICT | StatusCode::SERVICE_UNAVAILABLE => {
            Err(CallError::Refused(parse_json(&bytes)?))
        }
        other => Err(CallError::Malformed(format!("status {other}"))),
    }
}

/// Builds the request with its headers.
fn build_request(
    leaf: &Leaf,
    method: Method,
    path: &'static str,
    body: Vec<u8>,
    context: &CallContext<'_>,
) -> Result<Request<Full<Bytes>>, CallError> {
    let mut builder =
        Request::builder().method(method).uri(format!("http://{}{path}", leaf.address));
    builder = builder.header(REQUEST_ID_HEADER, context.request_id);
    if context.deadline_unix_ms > 0 {
        builder = builder.header(DEADLINE_HEADER, context.deadline_unix_ms);
    }
    if !context.traceparent.is_empty() {
        builder = builder.header(TRACEPARENT_HEADER, context.traceparent);
    }
    builder.body(Full::new(Bytes::from(body))).map_err(|e| CallError::Malformed(e.to_string()))
}

/// Sends a request and waits for the head of the response.
///
/// The error is [`CallError::NotSent`] only if the HTTP library returned the request unsent or the backend server
/// provably did not process it.
async fn send(
    mut sender: RequestSender,
    request: Request<Full<Bytes>>,
) -> Result<Response<Incoming>, CallError> {
    if sender.ready().await.is_err() {
        return Err(CallError::NotSent(ConnectError::Failed));
    }
    match sender.try_send_request(request).await {
        Ok(response) => Ok(response),
        Err(mut error) => {
            if error.take_message().is_some() {
                return Err(CallError::NotSent(ConnectError::Failed));
            }
            Err(classify_send_error(&error.into_error()))
        }
    }
}

/// Distinguishes a request that the backend server provably did not process from one that may have run.
///
/// A refused stream and a graceful GOAWAY count as not processed.
fn classify_send_error(error: &hyper::Error) -> CallError {
    let mut source: Option<&(dyn std::error::Error + 'static)> = Some(error);
    while let Some(current) = source {
        if let Some(h2_error) = current.downcast_ref::<h2::Error>() {
            let refused = h2_error.reason() == Some(h2::Reason::REFUSED_STREAM);
            let graceful = h2_error.is_go_away() && h2_error.reason() == Some(h2::Reason::NO_ERROR);
            if refused || graceful {
                return CallError::NotSent(ConnectError::Failed);
            }
        }
        source = current.source();
    }
    CallError::Lost
}

/// Reads a body of at most `MAX_RESPONSE_BYTES`.
async fn read_body(mut body: Incoming) -> Result<Bytes, CallError> {
    let mut collected = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| CallError::Lost)?;
        let Some(data) = frame.data_ref() else { continue };
        if collected.len() + data.len() > MAX_RESPONSE_BYTES {
            return Err(CallError::Malformed(format!(
                "an answer of more than {MAX_RESPONSE_BYTES} bytes"
            )));
        }
        collected.extend_from_slice(data);
    }
    Ok(collected.freeze())
}

/// Parses a JSON response.
fn parse_json<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CallError> {
    serde_json::from_slice(bytes).map_err(|e| CallError::Malformed(e.to_string()))
}
