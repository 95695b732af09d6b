//! Minimal HTTP/1.1 client for tests and experiments.

use std::io;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::net::TcpStream;

/// Time limit of one request, connecting included.
const TIMEOUT: Duration = Duration::from_secs(60);

/// Response of a VM; a body that is not JSON becomes a JSON string.
#[derive(Clone, Debug, PartialEq)]
pub struct Reply {
    pub body: Value,
    pub retry_after_ms: Option<u64>,
    pub status: u16,
}

/// Sends a request over a new connection.
///
/// Returns an error if there is no response within 60 s.
pub async fn send(
    address: &str,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &str,
) -> io::Result<Reply> {
    tokio::time::timeout(TIMEOUT, exchange(address, method, path, headers, body))
        .await
        .unwrap_or_else(|_| Err(io::Error::from(io::ErrorKind::TimedOut)))
}

/// Sends a GET request without a body.
pub async fn get(address: &str, path: &str) -> io::Result<Reply> {
    send(address, "GET", path, &[], "").await
}

/// Connects, sends the request and reads the response.
async fn exchange(
    address: &str,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &str,
) -> io::Result<Reply> {
    let stream = TcpStream::connect(address).await?;
    let (mut sender, connection) =
        http1::handshake(TokioIo::new(stream)).await.map_err(io::Error::other)?;
    let connection = tokio::spawn(connection);
    let mut builder = Request::builder().method(method).uri(path).header("host", address);
    for (name, value) in headers {
        builder = builder.header(*name, value);
    }
    let request =
        builder.body(Full::new(Bytes::from(body.to_string()))).map_err(io::Error::other)?;
    let response = sender.send_request(request).await.map_err(io::Error::other)?;
    let status = response.status().as_u16();
    let retry_after =
        response.headers().get("retry-after-ms").and_then(|value| value.to_str().ok());
    let retry_after_ms = retry_after.and_then(|text| text.parse().ok());
    let bytes = response.into_body().collect().await.map_err(io::Error::other)?.to_bytes();
    connection.abort();
    let body = serde_json::from_slice(&bytes)
        .unwrap_or_else(|_| Value::String(String::from_utf8_lossy(&bytes).to_string()));
    Ok(Reply { body, retry_after_ms, status })
}
