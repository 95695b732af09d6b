//! HTTP interface for operators.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Method, Request, Response};

use crate::callers::caller_http::json;
use crate::error::{ErrorKind, Failure};
use crate::process::context::Context;
use crate::process::status::{explain, status};

/// Handles one request from the operators' tool.
pub async fn handle(context: Arc<Context>, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let path = request.uri().path().trim_matches('/').to_string();
    let parts: Vec<&str> = path.split('/').collect();
    match (request.method(), parts.as_slice()) {
        (&Method::GET, ["status"]) => json(200, &status(&context), None),
        (&Method::GET, ["explain", service]) => match explain(&context, service) {
            Some(explanation) => json(200, &explanation, None),
            None => refusal_response(&Failure::new(ErrorKind::UnknownService, *service)),
        },
        (method, _) => {
            refusal_response(&Failure::new(ErrorKind::NotFound, format!("{method} /{path}")))
        }
    }
}

/// Converts a failure to a JSON response.
fn refusal_response(failure: &Failure) -> Response<Full<Bytes>> {
    json(failure.status(), &failure.to_refusal(), None)
}
