//! Crowds of clients that send much, stop just short of the end and keep their connections open.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{Semaphore, oneshot, watch};
use tokio::task::JoinHandle;

use crate::process_usage::is_everything_read;

/// Clients that connect at the same time: fewer than fit into the queue of a listener.
const MAX_CONNECTING: usize = 32;
/// Pause between two pieces of a request that is sent piece by piece.
const PIECE_PAUSE: Duration = Duration::from_millis(5);

/// How the body of a request is framed and sent.
#[derive(Clone, Copy, Debug)]
pub enum Framing {
    /// With its length, in one go.
    Whole,
    /// With its length, in pieces of so many bytes with a pause after each.
    Pieces(usize),
    /// In chunks of so many bytes, in one go.
    Chunks(usize),
}

/// Response as a client receives it.
#[derive(Debug)]
pub struct Response {
    pub body: Vec<u8>,
    pub head: String,
    pub status: u16,
}

impl Response {
    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().find_map(|line| {
            let (known, value) = line.split_once(':')?;
            known.eq_ignore_ascii_case(name).then(|| value.trim())
        })
    }
}

/// A request as a client sends it.
pub struct CrowdRequest {
    /// Whether nothing is missing at its end.
    pub is_complete: bool,
    pub pieces: Vec<Bytes>,
}

/// Returns a request with a body; without `is_complete`, it stops just short of its end.
///
/// `head` has neither the headers that frame the body nor the empty line at its end.
pub fn request_with_body(
    head: &str,
    framing: Framing,
    body: &Bytes,
    is_complete: bool,
) -> CrowdRequest {
    let body_bytes = body.len();
    let length = match framing {
        Framing::Whole | Framing::Pieces(_) => format!("Content-Length: {body_bytes}"),
        Framing::Chunks(_) => "Transfer-Encoding: chunked".to_string(),
    };
    let mut pieces = vec![Bytes::from(format!("{head}{length}\r\n\r\n"))];
    let missing = usize::from(!is_complete);
    match framing {
        Framing::Whole => pieces.push(body.slice(..body_bytes - missing)),
        Framing::Pieces(size) => {
            let body = body.slice(..body_bytes - missing);
            for start in (0..body.len()).step_by(size) {
                pieces.push(body.slice(start..body.len().min(start + size)));
            }
        }
        Framing::Chunks(size) => {
            let mut chunks = Vec::new();
            for start in (0..body_bytes).step_by(size) {
                let length = size.min(body_bytes - start);
                chunks.extend_from_slice(format!("{length:x}\r\n").as_bytes());
                chunks.extend_from_slice(&body[start..start + length]);
                chunks.extend_from_slice(b"\r\n");
            }
            if is_complete {
                chunks.extend_from_slice(b"0\r\n\r\n");
            }
            pieces.push(Bytes::from(chunks));
        }
    }
    CrowdRequest { is_complete, pieces }
}

/// Clients that stay connected until they are released.
pub struct Crowd {
    address: SocketAddr,
    clients: Vec<JoinHandle<Option<Response>>>,
    release: watch::Sender<bool>,
    settled: Vec<oneshot::Receiver<()>>,
}

impl Crowd {
    /// Connects one client for each request and lets it send.
    pub fn start(address: SocketAddr, requests: Vec<CrowdRequest>) -> Self {
        let (release, released) = watch::channel(false);
        let (mut clients, mut settled) = (Vec::new(), Vec::new());
        let connecting = Arc::new(Semaphore::new(MAX_CONNECTING));
        for request in requests {
            let (has_settled, settling) = oneshot::channel();
            let (connecting, released) = (Arc::clone(&connecting), released.clone());
            clients.push(tokio::spawn(async move {
                let permit = connecting.acquire().await.ok()?;
                let stream = TcpStream::connect(address).await.ok()?;
                tokio::time::sleep(PIECE_PAUSE).await;
                drop(permit);
                run_client(stream, request, has_settled, released).await
            }));
            settled.push(settling);
        }
        Self { address, clients, release, settled }
    }

    /// Waits until each client was answered or disconnected, or has sent an incomplete request, and the VM has read
    /// what was sent.
    pub async fn settle(&mut self) {
        for settling in self.settled.drain(..) {
            // The sender is dropped when the connection ends.
            let _ = settling.await;
        }
        while !is_everything_read(self.address) {
            tokio::time::sleep(PIECE_PAUSE).await;
        }
    }

    /// Waits until each client was answered or disconnected; returns the response of each, if it got one.
    pub async fn take_responses(mut self) -> Vec<Option<Response>> {
        for settling in self.settled.drain(..) {
            let _ = settling.await;
        }
        self.release().await
    }

    /// Disconnects the clients; returns the response of each, if it got one.
    pub async fn release(self) -> Vec<Option<Response>> {
        self.release.send_replace(true);
        let mut responses = Vec::new();
        for client in self.clients {
            responses.push(client.await.expect("a client failed"));
        }
        responses
    }
}

/// Sends a request and reads a response until the client is released.
async fn run_client(
    stream: TcpStream,
    request: CrowdRequest,
    has_settled: oneshot::Sender<()>,
    mut released: watch::Receiver<bool>,
) -> Option<Response> {
    let (mut reader, mut writer) = stream.into_split();
    let mut received = Vec::new();
    let mut has_settled = Some(has_settled);
    let mut sending = Box::pin(async move {
        for piece in request.pieces {
            if writer.write_all(&piece).await.is_err() {
                break;
            }
            tokio::time::sleep(PIECE_PAUSE).await;
        }
        // The connection stays open as long as this half exists.
        writer
    });
    let mut sent = None;
    loop {
        tokio::select! {
            writer = &mut sending, if sent.is_none() => {
                sent = Some(writer);
                has_settled.take_if(|_| !request.is_complete);
            }
            read = reader.read_buf(&mut received) => {
                if !matches!(read, Ok(1..)) {
                    break;
                }
                if let Some(response) = parse_response(&received) {
                    has_settled.take_if(|_| is_whole(&response));
                }
            }
            _ = released.wait_for(|released| *released) => break,
        }
    }
    parse_response(&received)
}

/// Returns whether a response has as many bytes as its head says.
fn is_whole(response: &Response) -> bool {
    let length = response.header("content-length").and_then(|text| text.parse().ok());
    length.is_none_or(|length: usize| response.body.len() >= length)
}

/// Returns the response that was received; none if its head is not complete.
fn parse_response(received: &[u8]) -> Option<Response> {
    let head_end = received.windows(4).position(|window| window == b"\r\n\r\n")?;
    let head = String::from_utf8_lossy(&received[..head_end]).into_owned();
    let status = head.split(' ').nth(1)?.parse().ok()?;
    Some(Response { body: received[head_end + 4..].to_vec(), head, status })
}
