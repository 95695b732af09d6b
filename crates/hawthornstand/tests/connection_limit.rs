//! The limit on open connections: which one is closed to make room for another.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hawthornstand::process::body_memory::BodyMemory;
use hawthornstand::process::connection_activity::ConnectionActivity;
use hawthornstand::process::connection_table::ConnectionTable;
use hawthornstand::process::http_body;
use hawthornstand::process::http_limits::HttpLimits;
use hawthornstand::process::http_server;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response, Version};
use prometheus_client::metrics::counter::Counter;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{advance, timeout};

/// Time limit for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);
const MAX_CONNECTIONS: usize = 3;
const GET: &str = "GET / HTTP/1.1\r\nHost: vm\r\n\r\n";
/// A request that stops just short of its end.
const PARTIAL_POST: &str = "POST / HTTP/1.1\r\nHost: vm\r\nContent-Length: 6\r\n\r\nDery";

/// Adds connections one after the other.
async fn open(
    table: &Arc<ConnectionTable>,
    count: usize,
) -> Vec<(ConnectionActivity, impl Drop, futures_util::future::AbortRegistration)> {
    let mut connections = Vec::new();
    for _ in 0..count {
        let activity = ConnectionActivity::default();
        let (guard, closing) = table.open(activity.clone());
        connections.push((activity, guard, closing));
        advance(Duration::from_millis(10)).await;
    }
    connections
}

/// Returns whether there is room for a connection without waiting for the end of another.
async fn has_room(table: &ConnectionTable) -> bool {
    timeout(Duration::from_millis(1), table.make_room(MAX_CONNECTIONS)).await.is_ok()
}

#[tokio::test(start_paused = true)]
async fn connection_that_waits_for_the_longest_time_is_closed() {
    let evicted = Counter::default();
    let table = Arc::new(ConnectionTable::new(evicted.clone()));
    let connections = open(&table, MAX_CONNECTIONS).await;
    let [running, idle, silent] = [0, 1, 2].map(|index| &connections[index].0);
    running.record_head(Version::HTTP_11, false);
    // The request of this one was answered after the last connection was opened.
    idle.record_head(Version::HTTP_11, false);
    idle.record_response();
    assert!(has_room(&table).await);
    let is_closed = |index: usize| connections[index].2.handle().is_aborted();
    assert_eq!([0, 1, 2].map(is_closed), [false, false, true]);
    assert!(silent.waiting_since().is_some());
    assert_eq!((evicted.get(), table.open_connections()), (1, MAX_CONNECTIONS - 1));
}

#[tokio::test(start_paused = true)]
async fn connection_waits_for_its_client_while_a_body_is_not_complete() {
    let table = Arc::new(ConnectionTable::default());
    let connections = open(&table, MAX_CONNECTIONS).await;
    for (activity, _, _) in &connections {
        activity.record_head(Version::HTTP_11, false);
        activity.record_partial_body();
        advance(Duration::from_millis(10)).await;
    }
    let [complete, moving, stalled] = [0, 1, 2].map(|index| &connections[index].0);
    complete.record_complete_request();
    moving.record_partial_body();
    assert!(has_room(&table).await);
    let is_closed = |index: usize| connections[index].2.handle().is_aborted();
    assert_eq!([0, 1, 2].map(is_closed), [false, false, true]);
    assert!(stalled.waiting_since() < moving.waiting_since());
}

#[tokio::test(start_paused = true)]
async fn no_connection_is_closed_while_its_request_runs() {
    let table = Arc::new(ConnectionTable::default());
    let mut connections = open(&table, MAX_CONNECTIONS).await;
    for (activity, _, _) in &connections {
        activity.record_head(Version::HTTP_11, false);
    }
    assert!(!has_room(&table).await);
    drop(connections.pop());
    assert!(has_room(&table).await);
}

/// Reads the body and answers with its length.
async fn answer_length(
    memory: Arc<BodyMemory>,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let (mut parts, body) = request.into_parts();
    let activity = parts.extensions.remove().unwrap_or_default();
    let body = http_body::read(body, 1000, &memory, &activity).await;
    let text = body.map_or_else(|failure| failure.to_string(), |body| body.len().to_string());
    Response::new(Full::from(text))
}

/// Starts a server with [`MAX_CONNECTIONS`].
async fn start_server() -> (SocketAddr, watch::Sender<bool>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    let (stop, stopped) = watch::channel(false);
    let limits = HttpLimits { max_connections: MAX_CONNECTIONS, ..HttpLimits::default() };
    let memory = Arc::new(BodyMemory::new(usize::MAX, Counter::default()));
    let handle = move |request| answer_length(Arc::clone(&memory), request);
    tokio::spawn(http_server::serve(listener, stopped, limits.fixed(), Arc::default(), handle));
    (address, stop)
}

/// Sends a request on a new connection; returns the connection.
async fn connect_and_send(address: SocketAddr, text: &str) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    stream.write_all(text.as_bytes()).await.expect("an open connection");
    stream
}

/// Reads until a text arrives.
async fn read_until(stream: &mut TcpStream, end: &str) {
    let mut received = Vec::new();
    while !received.ends_with(end.as_bytes()) {
        let read = timeout(ANSWER_TIMEOUT, stream.read_buf(&mut received)).await;
        let read = read.expect("an answer in time").expect("an open connection");
        assert!(read > 0, "{}", String::from_utf8_lossy(&received));
    }
}

// Guards against: callers that send nothing, or stop within a request, keep all others out.
#[tokio::test]
async fn callers_are_answered_beside_more_waiting_connections_than_the_limit_allows() {
    let (address, _stop) = start_server().await;
    let mut waiting = Vec::new();
    for text in ["", "GET / HT", PARTIAL_POST, "", "GET / HT", PARTIAL_POST, PARTIAL_POST] {
        waiting.push(connect_and_send(address, text).await);
        let mut ordinary = connect_and_send(address, GET).await;
        read_until(&mut ordinary, "\r\n\r\n0").await;
        let post = PARTIAL_POST.to_string() + "a!";
        let mut ordinary = connect_and_send(address, &post).await;
        read_until(&mut ordinary, "\r\n\r\n6").await;
    }
    // The caller that came last has not lost its connection to those that stalled before.
    let mut last = waiting.pop().expect("a connection");
    last.write_all(b"a!").await.expect("an open connection");
    read_until(&mut last, "\r\n\r\n6").await;
}
