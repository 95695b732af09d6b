//! The timeout of answers that a client does not take.

use std::io::ErrorKind;
use std::time::Duration;

use hawthornstand::process::http_limits::HttpLimits;
use hawthornstand::process::write_timeout::WriteTimeout;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream, duplex};
use tokio::sync::watch;
use tokio::time::{Instant, sleep};

const TIMEOUT: Duration = Duration::from_secs(15);

/// Returns both ends of a connection that holds 1,000 bytes.
fn connection() -> (WriteTimeout<DuplexStream>, DuplexStream) {
    let (near, far) = duplex(1000);
    let limits = HttpLimits { idle_timeout: TIMEOUT, ..HttpLimits::default() };
    (WriteTimeout::new(near, limits.fixed()), far)
}

// Guards against: a client that takes no answer keeps its connection and the answer's memory for ever.
#[tokio::test(start_paused = true)]
async fn answer_that_nobody_takes_times_out() {
    let (mut near, _far) = connection();
    let started = Instant::now();
    let error = near.write_all(&[b'x'; 2000]).await.expect_err("nobody reads");
    assert_eq!((error.kind(), started.elapsed()), (ErrorKind::TimedOut, TIMEOUT));
}

#[tokio::test(start_paused = true)]
async fn answer_that_is_taken_slowly_does_not_time_out() {
    let (mut near, mut far) = connection();
    let writing = tokio::spawn(async move { near.write_all(&[b'x'; 20_000]).await });
    let mut taken = [0; 500];
    for _ in 0..40 {
        sleep(TIMEOUT / 2).await;
        far.read_exact(&mut taken).await.expect("an answer");
    }
    writing.await.expect("a writer").expect("a whole answer");
}

#[tokio::test(start_paused = true)]
async fn time_between_two_answers_does_not_count() {
    let (mut near, mut far) = connection();
    for _ in 0..3 {
        near.write_all(&[b'x'; 1000]).await.expect("an answer");
        sleep(TIMEOUT * 2).await;
        far.read_exact(&mut [0; 1000]).await.expect("an answer");
    }
}

// Guards against: an answer that nobody takes is held for the time of an older configuration.
#[rstest]
#[case::raised(Duration::from_secs(5), TIMEOUT)]
#[case::lowered(Duration::from_secs(60), TIMEOUT)]
#[tokio::test(start_paused = true)]
async fn changed_limit_applies_to_an_answer_that_nobody_takes(
    #[case] first: Duration,
    #[case] second: Duration,
) {
    let (near, _far) = duplex(1000);
    let limits = |idle_timeout| HttpLimits { idle_timeout, ..HttpLimits::default() };
    let (sender, receiver) = watch::channel(limits(first));
    let mut near = WriteTimeout::new(near, receiver);
    let started = Instant::now();
    sender.send_replace(limits(second));
    let error = near.write_all(&[b'x'; 2000]).await.expect_err("nobody reads");
    assert_eq!((error.kind(), started.elapsed()), (ErrorKind::TimedOut, TIMEOUT));
}
