//! How long a connection reads on after its end was sent.

use std::time::Duration;

use hawthornstand::process::connection_activity::ConnectionActivity;
use hawthornstand::process::lingering_close::LingeringClose;
use hyper::Version;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream, duplex};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};

/// Starts to close a connection; returns the client's end, and the time that closing takes.
fn close(activity: ConnectionActivity, is_stopping: bool) -> (DuplexStream, JoinHandle<Duration>) {
    let (near, far) = duplex(1024);
    let closing = tokio::spawn(async move {
        let (_stop, stopped) = watch::channel(is_stopping);
        let mut near = LingeringClose::new(near, activity, stopped);
        let started = Instant::now();
        near.shutdown().await.expect("the end of the connection");
        started.elapsed()
    });
    (far, closing)
}

/// Returns the activity of a connection whose request has a body that was not read to its end.
fn partial_body() -> ConnectionActivity {
    let activity = ConnectionActivity::default();
    activity.record_head(Version::HTTP_11, true);
    activity.record_partial_body();
    activity.record_response();
    activity
}

/// Sends bytes as long as they are accepted; returns whether the end of the connection was read before.
async fn send(mut far: DuplexStream) -> bool {
    let mut answer = Vec::new();
    let is_ended = far.read_to_end(&mut answer).await.is_ok();
    while far.write_all(&[b'x'; 100]).await.is_ok() {
        sleep(Duration::from_millis(100)).await;
    }
    is_ended
}

#[tokio::test(start_paused = true)]
async fn client_that_goes_on_sending_is_read_for_five_seconds() {
    let (far, closing) = close(partial_body(), false);
    assert!(send(far).await);
    assert_eq!(closing.await.expect("a closed connection").as_secs(), 5);
}

#[tokio::test(start_paused = true)]
async fn client_that_sends_nothing_more_is_given_a_second() {
    let (_far, closing) = close(partial_body(), false);
    assert_eq!(closing.await.expect("a closed connection").as_millis(), 1000);
}

#[tokio::test(start_paused = true)]
async fn close_of_the_client_ends_the_reading() {
    let (far, closing) = close(partial_body(), false);
    sleep(Duration::from_millis(10)).await;
    drop(far);
    assert_eq!(closing.await.expect("a closed connection").as_millis(), 10);
}

#[tokio::test(start_paused = true)]
async fn stop_shortens_the_reading() {
    let (far, closing) = close(partial_body(), true);
    assert!(send(far).await);
    assert_eq!(closing.await.expect("a closed connection").as_millis(), 250);
}

#[tokio::test(start_paused = true)]
async fn head_without_an_end_is_read_on() {
    let activity = ConnectionActivity::default();
    activity.record_partial_head();
    let (_far, closing) = close(activity, false);
    assert_eq!(closing.await.expect("a closed connection").as_millis(), 1000);
}

#[tokio::test(start_paused = true)]
async fn connection_between_requests_is_closed_at_once() {
    let activity = ConnectionActivity::default();
    let (_far, closing) = close(activity.clone(), false);
    assert_eq!(closing.await.expect("a closed connection"), Duration::ZERO);
    activity.record_head(Version::HTTP_11, true);
    activity.record_partial_body();
    activity.record_complete_request();
    activity.record_response();
    let (_far, closing) = close(activity, false);
    assert_eq!(closing.await.expect("a closed connection"), Duration::ZERO);
}
