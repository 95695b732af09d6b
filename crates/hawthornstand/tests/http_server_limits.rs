//! The limits on request heads, with the whole HTTP server.

use std::time::Duration;

use bytes::Bytes;
use hawthornstand::process::http_limits::HttpLimits;
use hawthornstand::process::http_server;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioExecutor, TokioIo};
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// Limit on the head of a request.
const MAX_HEADER_BYTES: usize = 12_000;
/// Time limit for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// A server that answers 404 to a `POST`, whose body it does not read, and 200 to other requests.
struct Server {
    limits: watch::Sender<HttpLimits>,
    _stop: watch::Sender<bool>,
    stream: TcpStream,
}

impl Server {
    /// Starts a server and connects to it.
    async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let (stop, stopped) = watch::channel(false);
        let limits = HttpLimits { max_header_bytes: MAX_HEADER_BYTES, ..HttpLimits::default() };
        let limits = watch::Sender::new(limits);
        let handle = async |request: Request<Incoming>| {
            let mut response = Response::new(Full::<Bytes>::default());
            if request.method() == Method::POST {
                *response.status_mut() = StatusCode::NOT_FOUND;
            }
            response
        };
        let serving =
            http_server::serve(listener, stopped, limits.subscribe(), Default::default(), handle);
        tokio::spawn(serving);
        let stream = TcpStream::connect(address).await.expect("failed to connect");
        Self { limits, _stop: stop, stream }
    }

    async fn send(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).await.expect("an open connection");
    }

    /// Reads a response without a body; returns its status.
    async fn receive(&mut self) -> u16 {
        let mut head = Vec::new();
        let reading = async {
            while !head.ends_with(b"\r\n\r\n") {
                head.push(self.stream.read_u8().await.expect("a response"));
            }
        };
        timeout(ANSWER_TIMEOUT, reading).await.expect("no response in time");
        String::from_utf8_lossy(&head)[9..12].parse().expect("a status")
    }
}

/// Returns a request whose head has this many bytes.
fn get(head_bytes: usize) -> Vec<u8> {
    let empty = "GET / HTTP/1.1\r\nHost: vm\r\nX-Note: \r\n\r\n";
    let note = "n".repeat(head_bytes - empty.len());
    empty.replace("X-Note: ", &format!("X-Note: {note}")).into_bytes()
}

#[tokio::test]
async fn heads_up_to_the_limit_are_served_on_one_connection() {
    let mut server = Server::start().await;
    for head_bytes in [40, MAX_HEADER_BYTES, 9000, MAX_HEADER_BYTES] {
        server.send(&get(head_bytes)).await;
        assert_eq!(server.receive().await, 200, "{head_bytes} bytes");
    }
    server.send(&get(MAX_HEADER_BYTES + 1)).await;
    assert_eq!(server.receive().await, 431);
    assert_eq!(server.stream.read(&mut [0]).await.expect("no reset"), 0);
}

// Guards against: the body of a request that was answered before it was read counts as the next head.
#[rstest]
#[case::with_the_head(Duration::ZERO)]
#[case::after_the_answer(Duration::from_millis(50))]
#[tokio::test]
async fn unread_body_does_not_count_as_the_next_head(#[case] body_delay: Duration) {
    let mut server = Server::start().await;
    let body = [b'b'; 8000];
    let head = format!("POST / HTTP/1.1\r\nHost: vm\r\nContent-Length: {}\r\n\r\n", body.len());
    if body_delay.is_zero() {
        server.send(&[head.as_bytes(), &body].concat()).await;
        assert_eq!(server.receive().await, 404);
        server.send(&get(MAX_HEADER_BYTES)).await;
        assert_eq!(server.receive().await, 200);
        return;
    }
    server.send(head.as_bytes()).await;
    assert_eq!(server.receive().await, 404);
    // The server does not wait for a body that it does not want.
    sleep(body_delay).await;
    assert_eq!(server.stream.read(&mut [0]).await.expect("no reset"), 0);
}

// Guards against: heads that arrive while the request before them runs are rejected, or wait for ever.
#[tokio::test]
async fn pipelined_heads_are_served() {
    let mut server = Server::start().await;
    let heads = [get(MAX_HEADER_BYTES), get(9000), get(40), get(MAX_HEADER_BYTES)].concat();
    server.send(&heads).await;
    for _ in 0..4 {
        assert_eq!(server.receive().await, 200);
    }
}

// Guards against: a client that still sends a head that is too large loses the response, as its connection is reset.
#[tokio::test]
async fn client_that_still_sends_gets_the_rejection() {
    let mut server = Server::start().await;
    let (mut reader, mut writer) = server.stream.split();
    let sending = async {
        for _ in 0..100 {
            writer.write_all(&[b'x'; 10_000]).await.expect("no reset");
        }
        writer.shutdown().await.expect("no reset");
    };
    let mut received = String::new();
    let (_, read) = tokio::join!(sending, reader.read_to_string(&mut received));
    read.expect("no reset");
    assert!(received.starts_with("HTTP/1.1 431 "), "{received}");
}

// Guards against: a changed limit applies to new connections only.
#[tokio::test]
async fn changed_limit_applies_to_an_open_connection() {
    let mut server = Server::start().await;
    for (limit, head_bytes, status) in [(20_000, 16_000, 200), (5000, 4000, 200), (5000, 6000, 431)]
    {
        server.limits.send_modify(|limits| limits.max_header_bytes = limit);
        server.send(&get(head_bytes)).await;
        assert_eq!(server.receive().await, status, "{head_bytes} bytes under {limit}");
    }
}

// Guards against: the frames that an HTTP/2 client sends before its first request are held like the head of a request.
#[tokio::test]
async fn http_2_request_is_served_after_a_pause() {
    let server = Server::start().await;
    server.limits.send_modify(|limits| limits.accepts_http2 = true);
    let address = server.stream.peer_addr().expect("an address");
    let stream = TcpStream::connect(address).await.expect("failed to connect");
    let handshake =
        hyper::client::conn::http2::handshake(TokioExecutor::new(), TokioIo::new(stream));
    let (mut sender, connection) = handshake.await.expect("a handshake");
    tokio::spawn(connection);
    sleep(Duration::from_millis(50)).await;
    let request = Request::get("http://vm/").body(Full::<Bytes>::default()).expect("a request");
    let response = timeout(ANSWER_TIMEOUT / 2, sender.send_request(request)).await;
    assert_eq!(response.expect("no response in time").expect("a response").status(), 200);
}
