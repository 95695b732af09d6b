//! A stop loses no request that was sent before it.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use bytes::Bytes;
use hawthornstand::process::http_server::{self, HttpLimits};
use http_body_util::Full;
use hyper::Response;
use rstest::rstest;
use tokio::net::TcpListener;
use tokio::sync::watch;

const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nHost: vm\r\n\r\n";
/// Time allowed for an answer.
const PATIENCE: Duration = Duration::from_secs(5);

/// Sends a request from outside the runtime, so that nothing of it is read yet.
fn send(address: std::net::SocketAddr) -> TcpStream {
    let mut stream = TcpStream::connect(address).expect("a connection");
    stream.set_read_timeout(Some(PATIENCE)).expect("a limit");
    stream.write_all(REQUEST).expect("an open connection");
    stream
}

/// Reads what a connection still brings.
async fn rest(mut stream: TcpStream) -> String {
    let read = tokio::task::spawn_blocking(move || {
        let mut text = Vec::new();
        // A reset ends it like a close.
        let _ = stream.read_to_end(&mut text);
        String::from_utf8_lossy(&text).into_owned()
    });
    read.await.expect("a reader")
}

#[rstest]
#[tokio::test]
async fn request_that_waits_in_the_queue_of_connections_is_answered(
    #[values(1, 2, 3, 4, 5, 6, 7, 8)] _attempt: u32,
) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let (stop, stopped) = watch::channel(false);
    let waiting: Vec<_> =
        (0..4).map(|_| send(listener.local_addr().expect("an address"))).collect();
    stop.send_replace(true);
    let serving =
        tokio::spawn(http_server::serve(listener, stopped, HttpLimits::default, |_| async {
            Response::new(Full::new(Bytes::from_static(b"answered")))
        }));
    for stream in waiting {
        assert!(rest(stream).await.ends_with("answered"));
    }
    serving.await.expect("the end of the stop");
}
