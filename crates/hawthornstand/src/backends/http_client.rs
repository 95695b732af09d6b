//! Minimal HTTP/1.1 client for requests to the platform and for the operators' tool.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use crate::process::silent_peer;

/// Largest accepted response, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// Errors of a request.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum HttpError {
    /// cannot connect: {0}
    Connect(std::io::Error),
    /// the HTTP exchange failed: {0}
    Exchange(String),
    /// no response within the time limit
    Timeout,
}

/// Sends a request over a new connection and reads the whole response.
pub async fn send(
    address: &str,
    request: Request<Full<Bytes>>,
    timeout: Duration,
) -> Result<Response<Bytes>, HttpError> {
    tokio::time::timeout(timeout, exchange(address, request))
        .await
        .unwrap_or(Err(HttpError::Timeout))
}

/// Sends a GET request for a path.
pub async fn get(
    address: &str,
    path: &str,
    timeout: Duration,
) -> Result<Response<Bytes>, HttpError> {
    let request = Request::get(path)
        .header("host", address)
        .body(Full::default())
        .map_err(|e| HttpError::Exchange(e.to_string()))?;
    send(address, request, timeout).await
}

/// Connects, sends the request and reads the response.
async fn exchange(
    address: &str,
    request: Request<Full<Bytes>>,
) -> Result<Response<Bytes>, HttpError> {
    let stream = TcpStream::connect(address).await.map_err(HttpError::Connect)?;
    stream.set_nodelay(true).map_err(HttpError::Connect)?;
    silent_peer::close_when_silent(&stream);
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|e| HttpError::Exchange(e.to_string()))?;
    let connection = tokio::spawn(connection);
    let response =
        sender.send_request(request).await.map_err(|e| HttpError::Exchange(e.to_string()))?;
    let (parts, body) = response.into_parts();
    let body = Limited::new(body, MAX_RESPONSE_BYTES)
        .collect()
        .await
        .map_err(|e| HttpError::Exchange(e.to_string()))?;
    connection.abort();
    Ok(Response::from_parts(parts, body.to_bytes()))
}
