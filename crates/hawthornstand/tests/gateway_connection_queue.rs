//! The queue for connections: order of service, offers that are passed on, and the expected wait; without a network.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use hawthornstand::gateway::connection_queue::{ConnectionQueue, expected_wait};
use rstest::rstest;
use tokio::task::JoinSet;
use tokio::time::Instant;

/// Service time of a request.
const SERVICE_TIME: Duration = Duration::from_millis(20);
const HIGH_PRIORITY: u32 = 0;
const LOW_PRIORITY: u32 = 2;

/// Connections of one service, and the order in which requests got them.
#[derive(Clone, Default)]
struct Service {
    free: Arc<AtomicUsize>,
    queue: Arc<ConnectionQueue>,
    served: Arc<Mutex<Vec<String>>>,
}

impl Service {
    fn new(connections: usize) -> Self {
        let service = Self::default();
        service.free.store(connections, Ordering::Relaxed);
        service
    }

    fn try_take(&self) -> bool {
        let decrement = |free: usize| free.checked_sub(1);
        self.free.fetch_update(Ordering::Relaxed, Ordering::Relaxed, decrement).is_ok()
    }

    /// Serves one request.
    async fn serve(self, name: String, priority: u32) {
        if self.queue.ahead_of(priority) > 0 || !self.try_take() {
            let entry = self.queue.enqueue(priority);
            loop {
                entry.offered().await;
                if self.try_take() {
                    break entry.accept_offer();
                }
                entry.decline_offer();
            }
        }
        self.served.lock().expect("no panic").push(name);
        tokio::time::sleep(SERVICE_TIME).await;
        self.free.fetch_add(1, Ordering::Relaxed);
        self.queue.offer_next();
    }

    /// Serves requests that arrive at once, named by priority and number; returns the order of service.
    async fn burst(&self, priorities: &[u32]) -> Vec<String> {
        let mut requests = JoinSet::new();
        for (number, priority) in priorities.iter().enumerate() {
            requests.spawn(self.clone().serve(format!("{priority}-{number}"), *priority));
        }
        while requests.join_next().await.is_some() {}
        std::mem::take(&mut self.served.lock().expect("no panic"))
    }
}

/// With one replica of a shard left, a VM may hold two connections to it: forty searches that arrive at once are all
/// served, in order of arrival, and neither connection is idle meanwhile.
#[tokio::test(start_paused = true)]
async fn burst_at_the_last_replica_of_a_shard() {
    let started = Instant::now();
    let order = Service::new(2).burst(&[LOW_PRIORITY; 40]).await;
    let expected: Vec<String> = (0..40).map(|number| format!("{LOW_PRIORITY}-{number}")).collect();
    assert_eq!(order, expected);
    assert_eq!(started.elapsed().as_millis(), (SERVICE_TIME * 20).as_millis());
}

/// Requests of a higher priority that arrive during a burst go before those that still wait.
#[tokio::test(start_paused = true)]
async fn high_priority_requests_within_a_burst() {
    let order = Service::new(1)
        .burst(&[
            LOW_PRIORITY,
            LOW_PRIORITY,
            LOW_PRIORITY,
            HIGH_PRIORITY,
            LOW_PRIORITY,
            HIGH_PRIORITY,
        ])
        .await;
    assert_eq!(order, ["2-0", "0-3", "0-5", "2-1", "2-2", "2-4"]);
}

/// The offer to a caller that disconnects is not lost: it goes to the next request.
#[tokio::test]
async fn offer_to_a_caller_that_disconnects_goes_to_the_next() {
    let queue = ConnectionQueue::default();
    let disconnected = queue.enqueue(LOW_PRIORITY);
    let next = queue.enqueue(LOW_PRIORITY);
    queue.offer_next();
    drop(disconnected);
    next.offered().await;
    next.accept_offer();
    assert!(queue.is_empty());
}

/// A retry that has already tried the only replica with a free connection does not block those behind it.
#[tokio::test]
async fn offer_that_a_retry_cannot_use_goes_to_the_next() {
    let queue = ConnectionQueue::default();
    let retry = queue.enqueue(LOW_PRIORITY);
    let next = queue.enqueue(LOW_PRIORITY);
    queue.offer_next();
    retry.offered().await;
    retry.decline_offer();
    next.offered().await;
    next.accept_offer();
    // The retry stays in the queue and gets the next offer.
    queue.offer_next();
    retry.offered().await;
}

/// The expected wait shows at once which requests would get a connection too late.
#[rstest]
#[case::empty_queue(0, 2, 10)]
#[case::short_queue(19, 2, 200)]
#[case::one_connection(19, 1, 400)]
#[case::no_server_left(4, 0, 100)]
fn wait_grows_with_the_queue(#[case] ahead: usize, #[case] connections: usize, #[case] ms: u128) {
    assert_eq!(expected_wait(ahead, connections, SERVICE_TIME).as_millis(), ms);
}
