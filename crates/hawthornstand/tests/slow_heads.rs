//! A request head has to be complete soon after its first byte; idle connections and bodies may take longer.

use std::io::ErrorKind;
use std::time::Duration;

use hawthornstand::process::head_timeout::{HeadTimeout, RequestCounter};
use hyper::Version;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream, duplex};
use tokio::time::{Instant, sleep};

const TIMEOUT: Duration = Duration::from_secs(3);
/// Time between two bytes of a slow caller.
const GAP: Duration = Duration::from_secs(1);

/// Returns both ends of a connection, the near one watched.
fn connection(requests: &RequestCounter) -> (HeadTimeout<DuplexStream>, DuplexStream) {
    let (near, far) = duplex(1024);
    (HeadTimeout::new(near, requests.clone(), TIMEOUT), far)
}

/// Sends a byte after each gap.
fn send_slowly(mut far: DuplexStream, bytes: usize) {
    tokio::spawn(async move {
        for _ in 0..bytes {
            // The other end may have given up.
            if far.write_all(b"x").await.is_err() {
                return;
            }
            sleep(GAP).await;
        }
        sleep(GAP * 100).await;
    });
}

/// Reads until an error; returns it and how long that took.
async fn read_until_error(near: &mut HeadTimeout<DuplexStream>) -> (ErrorKind, Duration) {
    let started = Instant::now();
    loop {
        let mut byte = [0];
        match near.read(&mut byte).await {
            Ok(0) => return (ErrorKind::UnexpectedEof, started.elapsed()),
            Ok(_) => {}
            Err(error) => return (error.kind(), started.elapsed()),
        }
    }
}

#[tokio::test(start_paused = true)]
async fn head_that_arrives_byte_by_byte_ends_its_connection() {
    let (mut near, far) = connection(&RequestCounter::default());
    send_slowly(far, 60);
    assert_eq!(read_until_error(&mut near).await, (ErrorKind::TimedOut, TIMEOUT));
}

#[tokio::test(start_paused = true)]
async fn head_that_stops_in_its_middle_ends_its_connection() {
    let (mut near, far) = connection(&RequestCounter::default());
    send_slowly(far, 1);
    assert_eq!(read_until_error(&mut near).await, (ErrorKind::TimedOut, TIMEOUT));
}

#[tokio::test(start_paused = true)]
async fn idle_connection_waits_for_its_first_byte() {
    let (mut near, mut far) = connection(&RequestCounter::default());
    let read = tokio::spawn(async move { read_until_error(&mut near).await.0 });
    sleep(TIMEOUT * 10).await;
    assert!(!read.is_finished());
    far.write_all(b"GET").await.expect("an open connection");
    assert_eq!(read.await.expect("an error"), ErrorKind::TimedOut);
}

#[tokio::test(start_paused = true)]
async fn body_and_answer_may_take_longer_than_a_head() {
    let requests = RequestCounter::default();
    let (mut near, far) = connection(&requests);
    requests.record_head(Version::HTTP_11);
    send_slowly(far, 30);
    let mut body = [0; 30];
    near.read_exact(&mut body).await.expect("a body");
    // The next head has its own time.
    requests.record_response();
    let next = Instant::now();
    assert_eq!(read_until_error(&mut near).await.0, ErrorKind::UnexpectedEof);
    assert!(next.elapsed() > TIMEOUT);
}

#[tokio::test(start_paused = true)]
async fn second_head_on_a_connection_is_watched_like_the_first() {
    let requests = RequestCounter::default();
    let (mut near, mut far) = connection(&requests);
    far.write_all(b"x").await.expect("an open connection");
    near.read_u8().await.expect("a head");
    requests.record_head(Version::HTTP_11);
    sleep(TIMEOUT * 2).await;
    requests.record_response();
    send_slowly(far, 60);
    assert_eq!(read_until_error(&mut near).await, (ErrorKind::TimedOut, TIMEOUT));
}

#[tokio::test(start_paused = true)]
async fn frames_between_the_requests_of_http_2_begin_no_head() {
    let requests = RequestCounter::default();
    let (mut near, far) = connection(&requests);
    requests.record_head(Version::HTTP_2);
    requests.record_response();
    send_slowly(far, 30);
    assert_eq!(read_until_error(&mut near).await.0, ErrorKind::UnexpectedEof);
}
