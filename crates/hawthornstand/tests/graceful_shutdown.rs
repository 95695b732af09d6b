//! A graceful shutdown answers every request that was sent before it.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hawthornstand::process::http_limits::HttpLimits;
use hawthornstand::process::http_server;
use http_body_util::Full;
use hyper::Response;
use rstest::rstest;
use tokio::net::TcpListener;
use tokio::sync::watch;

const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nHost: vm\r\n\r\n";
/// Time limit for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// Sends a request with blocking calls, so that the server's runtime cannot read it before the stop.
fn send(address: std::net::SocketAddr) -> TcpStream {
    let mut stream = TcpStream::connect(address).expect("a connection");
    stream.set_read_timeout(Some(ANSWER_TIMEOUT)).expect("a limit");
    stream.write_all(REQUEST).expect("an open connection");
    stream
}

/// Reads a connection to its end.
async fn read_to_end(mut stream: TcpStream) -> String {
    let read = tokio::task::spawn_blocking(move || {
        let mut text = Vec::new();
        // A reset ends the answer like a close does.
        let _ = stream.read_to_end(&mut text);
        String::from_utf8_lossy(&text).into_owned()
    });
    read.await.expect("a reader")
}

#[rstest]
#[tokio::test]
async fn request_on_a_connection_not_yet_accepted_is_answered(
    #[values(1, 2, 3, 4, 5, 6, 7, 8)] _attempt: u32,
) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let (stop, stopped) = watch::channel(false);
    let unaccepted: Vec<_> =
        (0..4).map(|_| send(listener.local_addr().expect("an address"))).collect();
    stop.send_replace(true);
    let serving = tokio::spawn(http_server::serve(
        listener,
        stopped,
        HttpLimits::default().fixed(),
        Arc::default(),
        |_| async { Response::new(Full::new(Bytes::from_static(b"answered"))) },
    ));
    for stream in unaccepted {
        assert!(read_to_end(stream).await.ends_with("answered"));
    }
    serving.await.expect("the end of the stop");
}
