//! HTTP/2 contract with backend servers: which faults count as not run, and which as may have run.

mod support;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use h2::Reason;
use hawthornstand::backends::backend_client::{
    BackendClient, CallContext, CallError, HttpBackendClient,
};
use hawthornstand::backends::connect_rate_limiter::ConnectRateLimiter;
use hawthornstand::backends::connection_pool::{ConnectionOptions, ConnectionPool};
use hawthornstand::backends::leaf::Leaf;
use hawthornstand::configuration::published::validate;
use hawthornstand::messages::LeafBooking;
use rstest::rstest;
use tokio::net::TcpListener;

/// Serves one connection whose first request has the fault.
async fn faulty_server(listener: TcpListener, fault: &'static str) {
    let (stream, _) = listener.accept().await.expect("a connection");
    if fault == "closed at once" {
        return;
    }
    let mut connection = h2::server::handshake(stream).await.expect("a handshake");
    let Some(Ok((_request, mut respond))) = connection.accept().await else { return };
    let answer =
        |status: u16| hyper::Response::builder().status(status).body(()).expect("a response");
    match fault {
        "connection lost" => return,
        "graceful end below the stream" | "refused stream" => {
            respond.send_reset(Reason::REFUSED_STREAM)
        }
        "stream reset" => respond.send_reset(Reason::INTERNAL_ERROR),
        "body cut off" => {
            let mut body = respond.send_response(answer(200), false).expect("sent");
            body.send_data(Bytes::from_static(b"half"), false).expect("sent");
            body.send_reset(Reason::INTERNAL_ERROR);
        }
        "refused by the server" => {
            let mut body = respond.send_response(answer(503), false).expect("sent");
            body.send_data(Bytes::from_static(br#"{"reason":"overloaded"}"#), true).expect("sent");
        }
        "malformed refusal" => {
            let mut body = respond.send_response(answer(503), false).expect("sent");
            body.send_data(Bytes::from_static(b"busy"), true).expect("sent");
        }
        "unknown status" => {
            respond.send_response(answer(500), true).expect("sent");
        }
        "answered at length" => {
            let mut body = respond.send_response(answer(200), false).expect("sent");
            body.send_data(Bytes::from(vec![b'x'; 65_000]), false).expect("sent");
            body.send_data(Bytes::from(vec![b'x'; 1000]), true).expect("sent");
        }
        "answered" => {
            let mut body = respond.send_response(answer(200), false).expect("sent");
            body.send_data(Bytes::from_static(b"booked"), true).expect("sent");
        }
        _ => {}
    }
    let _ = tokio::time::timeout(Duration::from_secs(2), connection.accept()).await;
}

fn leaf(address: &str) -> Leaf {
    let accepted = validate(&support::published(1, 1)).expect("accepted");
    let mut configured = accepted.leafs[0].clone();
    configured.server.address = address.to_string();
    let options = ConnectionOptions {
        connect_timeout: Duration::from_millis(500),
        max_connections: 1,
        rate_limiter: Arc::new(ConnectRateLimiter::new(100)),
        reconnect_backoff: Duration::from_millis(10),
        source_ip: std::net::IpAddr::from([127, 0, 0, 1]),
        target_connections: 1,
    };
    Leaf::new(&configured, ConnectionPool::new(address, options))
}

#[rstest]
#[case("answered", "done")]
#[case("refused by the server", "not run")]
#[case("refused stream", "not run")]
#[case("no listener", "not run")]
#[case("connection lost", "may have run")]
#[case("stream reset", "may have run")]
#[case("body cut off", "may have run")]
#[case("malformed refusal", "may have run")]
#[case("unknown status", "may have run")]
#[case("answered at length", "may have run")]
#[case("no answer", "may have run")]
#[tokio::test]
async fn booking_outcome_of_each_fault(#[case] fault: &'static str, #[case] expected: &str) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address").to_string();
    let server = if fault == "no listener" {
        drop(listener);
        None
    } else {
        Some(tokio::spawn(faulty_server(listener, fault)))
    };
    let booking = LeafBooking {
        key: "k".to_string(),
        payload: "p".to_string(),
        service: "s".to_string(),
        slice: 0,
    };
    let call = CallContext {
        deadline_unix_ms: 0,
        remaining: Duration::from_millis(700),
        request_id: "r",
        traceparent: "",
    };
    let outcome = match HttpBackendClient.book(&leaf(&address), &booking, call).await {
        Ok(_) => "done",
        Err(CallError::NotSent(_) | CallError::Refused(_)) => "not run",
        Err(CallError::Lost | CallError::Malformed(_) | CallError::Timeout) => "may have run",
    };
    assert_eq!(outcome, expected);
    if let Some(server) = server {
        server.abort();
    }
}

#[tokio::test]
async fn connections_never_exceed_the_limit() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address").to_string();
    let accepted = Arc::new(std::sync::atomic::AtomicUsize::new(0));
    let accepted_count = Arc::clone(&accepted);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            accepted_count.fetch_add(1, std::sync::atomic::Ordering::SeqCst);
            tokio::spawn(async move {
                let mut connection = h2::server::handshake(stream).await.expect("a handshake");
                while connection.accept().await.is_some() {}
            });
        }
    });
    let leaf = Arc::new(leaf(&address));
    let mut tasks = Vec::new();
    for _ in 0..50 {
        let leaf = Arc::clone(&leaf);
        tasks.push(tokio::spawn(async move { leaf.connections.get().await.is_ok() }));
    }
    for task in tasks {
        assert!(task.await.expect("no panic"));
    }
    assert_eq!(accepted.load(std::sync::atomic::Ordering::SeqCst), 1);
}
