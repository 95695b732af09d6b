//! HTTP interface for callers.

use std::sync::Arc;

use bytes::Bytes;
use fastrace::collector::SpanContext;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Method, Request, Response};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::Instant;

use crate::backends::backend_client::TRACEPARENT_HEADER;
use crate::bookings::booking;
use crate::bookings::booking_run::Booking;
use crate::callers::request_headers::{self, RequestHeaders};
use crate::error::{ErrorKind, Failure};
use crate::messages::{BookingRequest, SearchRequest};
use crate::process::connection_activity::ConnectionActivity;
use crate::process::context::Context;
use crate::process::http_body;
use crate::process::trace::{root_span, traceparent_of};
use crate::searches::search::{self, Search};

/// Header with the time after which to retry, in milliseconds.
pub const RETRY_AFTER_MS_HEADER: &str = "retry-after-ms";

/// Handles one request from a caller or a load balancer.
pub async fn handle(context: Arc<Context>, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let _running = context.track_request();
    let path = request.uri().path().to_string();
    let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
    let result = match (request.method(), parts.as_slice()) {
        (&Method::GET, ["live"]) => Ok(plain(200, "live")),
        (&Method::GET, ["ready"]) => Ok(readiness(&context)),
        (&Method::POST, ["services", service, "search"]) => {
            search(&context, service, request).await
        }
        (&Method::POST, ["services", service, "book"]) => book(&context, service, request).await,
        (method, _) => Err(Failure::new(ErrorKind::NotFound, format!("{method} {path}"))),
    };
    result.unwrap_or_else(|failure| refusal_response(&context, &failure))
}

/// Handles a search request.
async fn search(
    context: &Arc<Context>,
    service: &str,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Failure> {
    let started = Instant::now();
    let headers = headers(context, &request, context.settings.search.default_timeout_ms)?;
    let (request, _received): (SearchRequest, Bytes) = body(context, request).await?;
    let span = root_span("search", &headers.traceparent, context.settings.trace.sample_per_million);
    let traceparent = SpanContext::from_span(&span).map(traceparent_of);
    let search = Search {
        complete_only: headers.complete_only,
        deadline_unix_ms: headers.deadline_unix_ms,
        request,
        service: service.to_string(),
        span,
    };
    let result = search::run(context, &search).await;
    context
        .metrics
        .time(if result.is_ok() { "search" } else { "search.refused" }, started.elapsed());
    let answer = result?;
    Ok(json(200, &answer, traceparent.as_deref()))
}

/// Handles a booking request.
async fn book(
    context: &Arc<Context>,
    service: &str,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Failure> {
    let started = Instant::now();
    let headers = headers(context, &request, context.settings.booking.default_timeout_ms)?;
    let (request, _received): (BookingRequest, Bytes) = body(context, request).await?;
    let span = root_span("book", &headers.traceparent, context.settings.trace.sample_per_million);
    let traceparent = SpanContext::from_span(&span).map(traceparent_of);
    let booking = Booking {
        deadline_unix_ms: headers.deadline_unix_ms,
        request,
        service: service.to_string(),
        ticket: headers.ticket,
        traceparent: traceparent.clone().unwrap_or_default(),
    };
    let result = booking::run(context, booking).await;
    context.metrics.time(if result.is_ok() { "book" } else { "book.refused" }, started.elapsed());
    let answer = result?;
    Ok(json(200, &answer, traceparent.as_deref()))
}

/// Parses the request headers.
fn headers(
    context: &Context,
    request: &Request<Incoming>,
    default_timeout_ms: u64,
) -> Result<RequestHeaders, Failure> {
    request_headers::parse(request.headers(), &*context.clock, default_timeout_ms)
}

/// Reads the body and parses it as JSON; returns it with the received bytes, which count as long as they are kept.
async fn body<T: DeserializeOwned>(
    context: &Context,
    request: Request<Incoming>,
) -> Result<(T, Bytes), Failure> {
    let limit = context.settings.admission.max_body_bytes as usize;
    let (mut parts, body) = request.into_parts();
    let activity: ConnectionActivity = parts.extensions.remove().unwrap_or_default();
    let bytes = http_body::read(body, limit, &context.body_memory, &activity).await?;
    let parsed = serde_json::from_slice(&bytes)
        .map_err(|error| Failure::new(ErrorKind::BadBody, error.to_string()))?;
    Ok((parsed, bytes))
}

/// Handles the load balancer's readiness check.
fn readiness(context: &Context) -> Response<Full<Bytes>> {
    if context.is_ready() {
        return plain(200, "ready");
    }
    plain(503, if context.is_stopping() { "stopping" } else { "starting" })
}

/// Converts a failure to a response with its retry headers.
fn refusal_response(context: &Context, failure: &Failure) -> Response<Full<Bytes>> {
    context.metrics.count("caller.refused");
    let mut response = json(failure.status(), &failure.to_refusal(), None);
    if failure.retry_after_ms > 0 {
        let headers = response.headers_mut();
        headers.insert("retry-after", failure.retry_after_ms.div_ceil(1000).into());
        headers.insert(RETRY_AFTER_MS_HEADER, failure.retry_after_ms.into());
    }
    response
}

/// Creates a JSON response.
pub fn json<T: Serialize>(
    status: u16,
    value: &T,
    traceparent: Option<&str>,
) -> Response<Full<Bytes>> {
    let body = serde_json::to_vec(value).unwrap_or_default();
    let mut builder = Response::builder().status(status).header("content-type", "application/json");
    if let Some(traceparent) = traceparent {
        builder = builder.header(TRACEPARENT_HEADER, traceparent);
    }
    builder.body(Full::new(Bytes::from(body))).unwrap_or_default()
}

/// Creates a plain text response.
pub fn plain(status: u16, text: &'static str) -> Response<Full<Bytes>> {
    Response::builder()
        .status(status)
        .body(Full::new(Bytes::from_static(text.as_bytes())))
        .unwrap_or_default()
}
