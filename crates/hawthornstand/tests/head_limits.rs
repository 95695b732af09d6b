//! The timeout of request heads: it starts with the first byte of a head, and applies neither to idle connections nor
//! to bodies.

use std::io::ErrorKind;
use std::time::Duration;

use hawthornstand::process::connection_activity::ConnectionActivity;
use hawthornstand::process::head_limits::HeadLimits;
use hawthornstand::process::http_limits::HttpLimits;
use hyper::Version;
use proptest::prelude::*;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream, duplex};
use tokio::sync::watch;
use tokio::time::{Instant, sleep};

const TIMEOUT: Duration = Duration::from_secs(3);
/// Time limit of idle connections, longer than any of these tests waits.
const IDLE_TIMEOUT: Duration = Duration::from_secs(3600);
/// Interval at which a slow caller sends bytes.
const BYTE_INTERVAL: Duration = Duration::from_secs(1);

/// Returns both ends of a connection, the near one with the timeout.
fn connection(activity: &ConnectionActivity) -> (HeadLimits<DuplexStream>, DuplexStream) {
    let (near, far) = duplex(1024);
    let limits =
        HttpLimits { header_timeout: TIMEOUT, idle_timeout: IDLE_TIMEOUT, ..HttpLimits::default() };
    (HeadLimits::new(near, activity.clone(), limits.fixed()), far)
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
async fn read_until_error(near: &mut HeadLimits<DuplexStream>) -> (ErrorKind, Duration) {
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

/// Returns both ends of a connection whose limits can be changed.
fn adjustable_connection(
    limits: HttpLimits,
) -> (HeadLimits<DuplexStream>, DuplexStream, watch::Sender<HttpLimits>) {
    let (near, far) = duplex(64 * 1024);
    let (sender, receiver) = watch::channel(limits);
    (HeadLimits::new(near, ConnectionActivity::default(), receiver), far, sender)
}

/// Reads until an error, and again whenever the limits change, as the server does.
async fn read_with_changing_limits(
    mut near: HeadLimits<DuplexStream>,
    mut limits: watch::Receiver<HttpLimits>,
) -> (ErrorKind, Duration) {
    let reading = read_until_error(&mut near);
    let mut reading = std::pin::pin!(reading);
    loop {
        tokio::select! {
            error = &mut reading => return error,
            Ok(()) = limits.changed() => {}
        }
    }
}

// Guards against: a connection that waits while the limits change is closed by neither the old nor the new time.
#[rstest]
#[case::raised(3, 2, 9, 9)]
#[case::lowered(9, 2, 3, 5)]
#[case::lowered_late(9, 8, 3, 9)]
#[case::lowered_in_time(9, 1, 8, 9)]
#[tokio::test(start_paused = true)]
async fn change_of_a_time_limit_applies_to_a_wait(
    #[values(false, true)] is_head: bool,
    #[case] first_s: u64,
    #[case] changed_after_s: u64,
    #[case] second_s: u64,
    #[case] closed_after_s: u64,
) {
    let with_limit = |limit_s| {
        let limit = Duration::from_secs(limit_s);
        if is_head {
            HttpLimits { header_timeout: limit, ..HttpLimits::default() }
        } else {
            HttpLimits { idle_timeout: limit, ..HttpLimits::default() }
        }
    };
    let (near, mut far, limits) = adjustable_connection(with_limit(first_s));
    if is_head {
        far.write_all(b"GET").await.expect("an open connection");
    }
    let reading = tokio::spawn(read_with_changing_limits(near, limits.subscribe()));
    sleep(Duration::from_secs(changed_after_s)).await;
    limits.send_replace(with_limit(second_s));
    let closed = reading.await.expect("an error");
    assert_eq!(closed, (ErrorKind::TimedOut, Duration::from_secs(closed_after_s)));
}

/// Returns the end of a request head.
fn head(bytes: usize) -> Vec<u8> {
    [&vec![b'x'; bytes - 4][..], b"\r\n\r\n"].concat()
}

// Guards against: a connection is closed as idle while its client takes a long answer.
#[rstest]
#[case::unchanged(TIMEOUT)]
#[case::lowered(TIMEOUT * 20)]
#[tokio::test(start_paused = true)]
async fn connection_is_not_idle_while_its_answer_is_taken(#[case] first: Duration) {
    let (near, mut far) = duplex(1000);
    let limits = |idle_timeout| HttpLimits { idle_timeout, ..HttpLimits::default() };
    let sender = watch::Sender::new(limits(first));
    let near = HeadLimits::new(near, ConnectionActivity::default(), sender.subscribe());
    let (mut reader, mut writer) = tokio::io::split(near);
    let reading = tokio::spawn(async move {
        let closed = reader.read_u8().await.expect_err("nothing is sent").kind();
        (closed, Instant::now())
    });
    let writing = tokio::spawn(async move {
        writer.write_all(&[b'a'; 5000]).await.expect("an answer");
        writer.flush().await.expect("an answer");
        writer
    });
    sender.send_replace(limits(TIMEOUT));
    for _ in 0..10 {
        sleep(TIMEOUT / 2).await;
        far.read_exact(&mut [0; 500]).await.expect("an answer");
    }
    let taken = Instant::now();
    let _writer = writing.await.expect("a whole answer");
    let (closed, at) = reading.await.expect("an error");
    assert_eq!(closed, ErrorKind::TimedOut);
    assert!(at + TIMEOUT / 2 >= taken, "closed {:?} before the end", taken - at);
}

/// Returns the limits with one on the size of heads.
fn size_limit(max_header_bytes: usize) -> HttpLimits {
    HttpLimits { max_header_bytes, ..HttpLimits::default() }
}

/// Reads until an error, then returns what the other end got.
async fn read_and_receive(
    near: &mut HeadLimits<DuplexStream>,
    mut far: DuplexStream,
) -> (ErrorKind, String) {
    let (error, _) = read_until_error(near).await;
    let mut received = String::new();
    far.read_to_string(&mut received).await.expect("a response");
    (error, received)
}

// Guards against: a head that does not end fills the memory, or its client is not told.
#[tokio::test(start_paused = true)]
async fn head_that_is_too_large_is_rejected() {
    let (mut near, mut far, _limits) = adjustable_connection(size_limit(10_000));
    far.write_all(&[b'x'; 10_000]).await.expect("an open connection");
    let (error, received) = read_and_receive(&mut near, far).await;
    assert_eq!(error, ErrorKind::InvalidData);
    assert!(received.starts_with("HTTP/1.1 431 "), "{received}");
    assert!(received.contains("connection: close"), "{received}");
}

// Guards against: a head is held to a limit that was lower than those in force while it arrived.
#[rstest]
#[case::raised(10_000, 20_000)]
#[case::lowered(20_000, 10_000)]
#[tokio::test(start_paused = true)]
async fn larger_limit_applies_to_a_head_that_arrives_during_a_change(
    #[case] first: usize,
    #[case] second: usize,
) {
    let (mut near, mut far, limits) = adjustable_connection(size_limit(first));
    far.write_all(&[b'x'; 5000]).await.expect("an open connection");
    near.read_exact(&mut [0; 5000]).await.expect("a part of a head");
    limits.send_replace(size_limit(second));
    far.write_all(&head(15_000)).await.expect("an open connection");
    near.read_exact(&mut [0; 15_000]).await.expect("the rest of the head");
    far.write_all(b"x").await.expect("an open connection");
    assert_eq!(read_and_receive(&mut near, far).await.0, ErrorKind::InvalidData);
}

// Guards against: the bytes of a body count as those of a head.
#[tokio::test(start_paused = true)]
async fn body_does_not_count_as_a_head() {
    let activity = ConnectionActivity::default();
    let (near, mut far) = duplex(1 << 20);
    let mut near = HeadLimits::new(near, activity.clone(), size_limit(10_000).fixed());
    far.write_all(&head(9000)).await.expect("an open connection");
    near.read_exact(&mut [0; 9000]).await.expect("a head");
    activity.record_head(Version::HTTP_11, true);
    far.write_all(&[b'x'; 200_000]).await.expect("an open connection");
    near.read_exact(&mut [0; 200_000]).await.expect("a body");
    activity.record_complete_request();
    activity.record_response();
    // The next head has the whole limit again.
    far.write_all(&head(10_000)).await.expect("an open connection");
    near.read_exact(&mut [0; 10_000]).await.expect("a head");
}

// Guards against: the rest of a body whose request was answered early counts as the next head.
#[tokio::test(start_paused = true)]
async fn rest_of_an_unread_body_does_not_count_as_a_head() {
    let activity = ConnectionActivity::default();
    let (near, mut far) = duplex(1 << 20);
    let limits = HttpLimits { header_timeout: TIMEOUT, ..size_limit(10_000) };
    let limits = HttpLimits { idle_timeout: IDLE_TIMEOUT, ..limits };
    let mut near = HeadLimits::new(near, activity.clone(), limits.fixed());
    activity.record_head(Version::HTTP_11, true);
    activity.record_response();
    far.write_all(&[b'x'; 8000]).await.expect("an open connection");
    near.read_exact(&mut [0; 8000]).await.expect("a body");
    let idle = tokio::time::timeout(TIMEOUT * 2, near.read_u8()).await;
    assert!(idle.is_err(), "the connection is idle");
    far.write_all(&head(10_000)).await.expect("an open connection");
    near.read_exact(&mut [0; 10_000]).await.expect("a head");
}

// Guards against: the response to a head that is too large is mixed with an answer that is not sent yet.
#[tokio::test(start_paused = true)]
async fn rejection_waits_for_the_answer_before_it() {
    let activity = ConnectionActivity::default();
    let (near, mut far) = duplex(1000);
    let mut near = HeadLimits::new(near, activity.clone(), size_limit(100).fixed());
    let writing = async {
        near.write_all(&[b'a'; 900]).await.expect("an answer");
        far.write_all(&[b'x'; 200]).await.expect("an open connection");
        near.read_exact(&mut [0; 100]).await.expect("a part of a head");
        let early = tokio::time::timeout(TIMEOUT, near.read_u8()).await;
        assert!(early.is_err(), "the answer is not flushed");
        near.flush().await.expect("an answer");
        near.read_u8().await.expect_err("the head is too large").kind()
    };
    assert_eq!(writing.await, ErrorKind::InvalidData);
    drop(near);
    let mut received = String::new();
    far.read_to_string(&mut received).await.expect("an answer and a response");
    assert!(received[..900].bytes().all(|byte| byte == b'a'), "{received}");
    assert!(received[900..].starts_with("HTTP/1.1 431 "), "{received}");
}

// Guards against: the end of a head that arrives in pieces is not seen, and its request waits for ever.
#[rstest]
#[tokio::test(start_paused = true)]
async fn head_in_pieces_is_passed_on(
    #[values("\r\n\r\n", "\n\n", "\n\r\n", "\r\n\n")] end: &str,
    #[values(1, 2, 3, 7)] piece_bytes: usize,
) {
    let (mut near, mut far, _limits) = adjustable_connection(size_limit(10_000));
    let head = format!("GET / HTTP/1.1\r\nHost: vm{end}");
    let sent = head.clone();
    tokio::spawn(async move {
        for piece in sent.as_bytes().chunks(piece_bytes) {
            far.write_all(piece).await.expect("an open connection");
            sleep(Duration::from_millis(1)).await;
        }
        sleep(TIMEOUT).await;
    });
    let mut received = vec![0; head.len()];
    tokio::time::timeout(TIMEOUT, near.read_exact(&mut received))
        .await
        .expect("no head in time")
        .expect("an open connection");
    assert_eq!(received, head.as_bytes());
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, ..ProptestConfig::default() })]

    /// Guards against: bytes of a connection are lost, or change their order.
    #[test]
    fn every_byte_is_passed_on_in_order(
        pieces in proptest::collection::vec("[ab\r\n]{1,9}", 0..30),
        read_bytes in 1..20_usize,
    ) {
        let mut builder = tokio::runtime::Builder::new_current_thread();
        let runtime = builder.enable_all().start_paused(true).build().expect("a runtime");
        // The end of the connection passes on nothing that belongs to a head without an end.
        let sent = format!("{}\r\n\r\n", pieces.concat());
        let received = runtime.block_on(async {
            let (mut near, mut far, _limits) = adjustable_connection(size_limit(10_000));
            tokio::spawn(async move {
                for piece in pieces {
                    far.write_all(piece.as_bytes()).await.expect("an open connection");
                    sleep(Duration::from_millis(1)).await;
                }
                far.write_all(b"\r\n\r\n").await.expect("an open connection");
            });
            let mut received = Vec::new();
            let mut buffer = vec![0; read_bytes];
            loop {
                let read = near.read(&mut buffer).await.expect("an open connection");
                if read == 0 {
                    return received;
                }
                received.extend_from_slice(&buffer[..read]);
            }
        });
        assert_eq!(received, sent.as_bytes());
    }
}
