//! Who waits for a connection, in which order, and who is refused; without a network, named after the pattern.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use hawthornstand::gateway::connection_queue::{ConnectionQueue, expected_wait};
use rstest::rstest;
use tokio::task::JoinSet;
use tokio::time::Instant;

/// Time of a request at a backend server.
const WORK: Duration = Duration::from_millis(20);
const URGENT: u32 = 0;
const USUAL: u32 = 2;

/// Connections of one service, and the order in which requests got them.
#[derive(Clone, Default)]
struct Service {
    free: Arc<AtomicUsize>,
    line: Arc<ConnectionQueue>,
    served: Arc<Mutex<Vec<String>>>,
}

impl Service {
    fn new(connections: usize) -> Self {
        let service = Self::default();
        service.free.store(connections, Ordering::Relaxed);
        service
    }

    fn take(&self) -> bool {
        let less = |free: usize| free.checked_sub(1);
        self.free.fetch_update(Ordering::Relaxed, Ordering::Relaxed, less).is_ok()
    }

    /// Serves one request.
    async fn serve(self, name: String, priority: u32) {
        if self.line.ahead_of(priority) > 0 || !self.take() {
            let place = self.line.enqueue(priority);
            loop {
                place.offered().await;
                if self.take() {
                    break place.accept_offer();
                }
                place.decline_offer();
            }
        }
        self.served.lock().expect("no panic").push(name);
        tokio::time::sleep(WORK).await;
        self.free.fetch_add(1, Ordering::Relaxed);
        self.line.offer_next();
    }

    /// Serves requests that come at once, named after their priority and number; returns the order.
    async fn burst(&self, priorities: &[u32]) -> Vec<String> {
        let mut requests = JoinSet::new();
        for (number, priority) in priorities.iter().enumerate() {
            requests.spawn(self.clone().serve(format!("{priority}-{number}"), *priority));
        }
        while requests.join_next().await.is_some() {}
        std::mem::take(&mut self.served.lock().expect("no panic"))
    }
}

/// Forty searches at once meet the two connections that a VM may hold to the only replica left: all are served,
/// in the order in which they came, and no connection stands idle meanwhile.
#[tokio::test(start_paused = true)]
async fn burst_at_the_last_replica_of_a_shard() {
    let started = Instant::now();
    let order = Service::new(2).burst(&[USUAL; 40]).await;
    let expected: Vec<String> = (0..40).map(|number| format!("{USUAL}-{number}")).collect();
    assert_eq!(order, expected);
    assert_eq!(started.elapsed().as_millis(), (WORK * 20).as_millis());
}

/// Urgent requests that come after a burst of others go before those that still wait.
#[tokio::test(start_paused = true)]
async fn urgent_requests_within_a_burst() {
    let order = Service::new(1).burst(&[USUAL, USUAL, USUAL, URGENT, USUAL, URGENT]).await;
    assert_eq!(order, ["2-0", "0-3", "0-5", "2-1", "2-2", "2-4"]);
}

/// A caller that leaves while a connection is on offer to it hands the offer on.
#[tokio::test]
async fn offer_to_a_caller_that_leaves_goes_to_the_next() {
    let line = ConnectionQueue::default();
    let leaving = line.enqueue(USUAL);
    let next = line.enqueue(USUAL);
    line.offer_next();
    drop(leaving);
    next.offered().await;
    next.accept_offer();
    assert!(line.is_empty());
}

/// A retry that has been at the only replica with a free connection does not block those behind it.
#[tokio::test]
async fn offer_that_a_retry_cannot_use_goes_to_the_next() {
    let line = ConnectionQueue::default();
    let retry = line.enqueue(USUAL);
    let next = line.enqueue(USUAL);
    line.offer_next();
    retry.offered().await;
    retry.decline_offer();
    next.offered().await;
    next.accept_offer();
    // The retry kept its place and gets the next offer.
    line.offer_next();
    retry.offered().await;
}

/// Requests that would get their connection after their time is up are known at once.
#[rstest]
#[case::nobody_waits(0, 2, 10)]
#[case::short_line(19, 2, 200)]
#[case::one_connection(19, 1, 400)]
#[case::no_server_left(4, 0, 100)]
fn wait_grows_with_the_line(#[case] ahead: usize, #[case] connections: usize, #[case] ms: u128) {
    assert_eq!(expected_wait(ahead, connections, WORK).as_millis(), ms);
}
