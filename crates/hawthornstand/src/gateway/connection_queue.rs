//! Queue of the requests that wait for a connection to a backend server of their service, by priority and then by
//! arrival.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::sync::Notify;

use crate::ids::Priority;
use crate::locks::lock;

/// A queued request.
struct QueuedRequest {
    /// Whether a free connection is offered to it.
    has_offer: bool,
    notify: Arc<Notify>,
    number: u64,
    priority: Priority,
}

#[derive(Default)]
struct Queue {
    next_number: u64,
    /// Sorted by priority and number.
    requests: Vec<QueuedRequest>,
}

impl Queue {
    /// Returns the index behind every request of a priority.
    fn end_of(&self, priority: Priority) -> usize {
        self.requests.partition_point(|request| request.priority <= priority)
    }

    /// Returns the index of a request.
    fn find(&self, number: u64) -> Option<usize> {
        self.requests.iter().position(|request| request.number == number)
    }

    /// Offers a free connection to the first request from an index on that has no offer.
    fn offer_from(&mut self, start: usize) {
        let Some(next) = self.requests[start..].iter_mut().find(|request| !request.has_offer)
        else {
            return;
        };
        next.has_offer = true;
        next.notify.notify_one();
    }
}

/// The requests that wait for a connection to one service.
#[derive(Default)]
pub struct ConnectionQueue(Mutex<Queue>);

impl ConnectionQueue {
    /// Returns the number of queued requests that go before a new one of this priority.
    pub fn ahead_of(&self, priority: Priority) -> usize {
        lock(&self.0).end_of(priority)
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        lock(&self.0).requests.is_empty()
    }

    /// Adds a request behind the others of its priority.
    pub fn enqueue(&self, priority: Priority) -> QueueEntry<'_> {
        let mut queue = lock(&self.0);
        let number = queue.next_number;
        queue.next_number += 1;
        let notify = Arc::new(Notify::new());
        let index = queue.end_of(priority);
        let request =
            QueuedRequest { has_offer: false, notify: Arc::clone(&notify), number, priority };
        queue.requests.insert(index, request);
        QueueEntry { notify, number, queue: self }
    }

    /// Offers a free connection to the first request that has no offer.
    pub fn offer_next(&self) {
        lock(&self.0).offer_from(0);
    }
}

/// A queued request; dropping it leaves the queue and passes its offer on.
pub struct QueueEntry<'a> {
    notify: Arc<Notify>,
    number: u64,
    queue: &'a ConnectionQueue,
}

impl QueueEntry<'_> {
    /// Waits until a connection is offered.
    pub async fn offered(&self) {
        self.notify.notified().await;
    }

    /// Passes an offer that this request cannot use to the next one; the request stays in the queue.
    pub fn decline_offer(&self) {
        let mut queue = lock(&self.queue.0);
        let Some(index) = queue.find(self.number) else { return };
        if std::mem::take(&mut queue.requests[index].has_offer) {
            queue.offer_from(index + 1);
        }
    }

    /// Leaves the queue with the connection that was offered.
    pub fn accept_offer(self) {
        let mut queue = lock(&self.queue.0);
        if let Some(index) = queue.find(self.number) {
            queue.requests[index].has_offer = false;
        }
    }
}

impl Drop for QueueEntry<'_> {
    fn drop(&mut self) {
        let mut queue = lock(&self.queue.0);
        let Some(index) = queue.find(self.number) else { return };
        if queue.requests.remove(index).has_offer {
            queue.offer_from(0);
        }
    }
}

/// Returns the time after which a request is expected to get a connection.
pub fn expected_wait(ahead: usize, connections: usize, service_time: Duration) -> Duration {
    service_time.mul_f64((ahead + 1) as f64 / connections.max(1) as f64)
}
