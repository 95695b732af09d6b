//! The timeout of request heads: it starts with the first byte of a head, and applies neither to idle connections nor
//! to bodies.

use std::io::ErrorKind;
use std::time::Duration;

use hawthornstand::process::connection_activity::ConnectionActivity;
use hawthornstand::process::head_timeout::HeadTimeout;
use hyper::Version;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream, duplex};
use tokio::time::{Instant, sleep};

const TIMEOUT: Duration = Duration::from_secs(3);
/// Interval at which a slow caller sends bytes.
const BYTE_INTERVAL: Duration = Duration::from_secs(1);

/// Returns both ends of a connection, the near one with the timeout.
fn connection(activity: &ConnectionActivity) -> (HeadTimeout<DuplexStream>, DuplexStream) {
    let (near, far) = duplex(1024);
    (HeadTimeout::new(near, activity.clone(), TIMEOUT), far)
}

/// Sends one byte per interval, then keeps the connection open.
fn send_slowly(mut far: DuplexStream, bytes: usize) {
    tokio::spawn(async move {
        for _ in 0..bytes {
            // The near end may have closed the connection.
            if far.write_all(b"x").await.is_err() {
                return;
            }
            sleep(BYTE_INTERVAL).await;
        }
        sleep(BYTE_INTERVAL * 100).await;
    });
}

/// Reads until an error; returns its kind and the time until it occurred.
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
async fn head_sent_byte_by_byte_times_out() {
    let (mut near, far) = connection(&ConnectionActivity::default());
    send_slowly(far, 60);
    assert_eq!(read_until_error(&mut near).await, (ErrorKind::TimedOut, TIMEOUT));
}

#[tokio::test(start_paused = true)]
async fn incomplete_head_times_out() {
    let (mut near, far) = connection(&ConnectionActivity::default());
    send_slowly(far, 1);
    assert_eq!(read_until_error(&mut near).await, (ErrorKind::TimedOut, TIMEOUT));
}

#[tokio::test(start_paused = true)]
async fn idle_connection_does_not_time_out_before_its_first_byte() {
    let (mut near, mut far) = connection(&ConnectionActivity::default());
    let read = tokio::spawn(async move { read_until_error(&mut near).await.0 });
    sleep(TIMEOUT * 10).await;
    assert!(!read.is_finished());
    far.write_all(b"GET").await.expect("an open connection");
    assert_eq!(read.await.expect("an error"), ErrorKind::TimedOut);
}

#[tokio::test(start_paused = true)]
async fn body_and_answer_may_take_longer_than_a_head() {
    let activity = ConnectionActivity::default();
    let (mut near, far) = connection(&activity);
    activity.record_head(Version::HTTP_11, false);
    send_slowly(far, 30);
    let mut body = [0; 30];
    near.read_exact(&mut body).await.expect("a body");
    // The next head has a timeout of its own.
    activity.record_response();
    let next = Instant::now();
    assert_eq!(read_until_error(&mut near).await.0, ErrorKind::UnexpectedEof);
    assert!(next.elapsed() > TIMEOUT);
}

#[tokio::test(start_paused = true)]
async fn timeout_applies_to_the_second_head_on_a_connection() {
    let activity = ConnectionActivity::default();
    let (mut near, mut far) = connection(&activity);
    far.write_all(b"x").await.expect("an open connection");
    near.read_u8().await.expect("a head");
    activity.record_head(Version::HTTP_11, false);
    sleep(TIMEOUT * 2).await;
    activity.record_response();
    send_slowly(far, 60);
    assert_eq!(read_until_error(&mut near).await, (ErrorKind::TimedOut, TIMEOUT));
}

#[tokio::test(start_paused = true)]
async fn http_2_frames_between_activity_start_no_timeout() {
    let activity = ConnectionActivity::default();
    let (mut near, far) = connection(&activity);
    activity.record_head(Version::HTTP_2, false);
    activity.record_response();
    send_slowly(far, 30);
    assert_eq!(read_until_error(&mut near).await.0, ErrorKind::UnexpectedEof);
}
