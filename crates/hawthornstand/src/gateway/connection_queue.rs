//! Requests that wait for a connection to a backend server of their service: the most urgent first, then the
//! one that has waited longest.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::sync::Notify;

use crate::ids::Priority;
use crate::locks::lock;

/// One request in the line.
struct Waiting {
    /// Whether a free connection was offered to it.
    called: bool,
    number: u64,
    priority: Priority,
    wake: Arc<Notify>,
}

#[derive(Default)]
struct Line {
    next_number: u64,
    /// Sorted by priority and number.
    waiting: Vec<Waiting>,
}

impl Line {
    /// Returns the place behind every request of a priority.
    fn end_of(&self, priority: Priority) -> usize {
        self.waiting.partition_point(|waiting| waiting.priority <= priority)
    }

    /// Returns the place of a request.
    fn find(&self, number: u64) -> Option<usize> {
        self.waiting.iter().position(|waiting| waiting.number == number)
    }

    /// Offers a free connection to the first request from a place on that has none on offer.
    fn offer_from(&mut self, place: usize) {
        let Some(next) = self.waiting[place..].iter_mut().find(|waiting| !waiting.called) else {
            return;
        };
        next.called = true;
        next.wake.notify_one();
    }
}

/// The requests that wait at one service.
#[derive(Default)]
pub struct ConnectionQueue(Mutex<Line>);

impl ConnectionQueue {
    /// Returns how many requests go before one of this priority.
    pub fn ahead_of(&self, priority: Priority) -> usize {
        lock(&self.0).end_of(priority)
    }

    /// Returns whether nobody waits.
    pub fn is_empty(&self) -> bool {
        lock(&self.0).waiting.is_empty()
    }

    /// Takes a place in the line.
    pub fn enqueue(&self, priority: Priority) -> QueueEntry<'_> {
        let mut line = lock(&self.0);
        let number = line.next_number;
        line.next_number += 1;
        let wake = Arc::new(Notify::new());
        let index = line.end_of(priority);
        let waiting = Waiting { called: false, number, priority, wake: Arc::clone(&wake) };
        line.waiting.insert(index, waiting);
        QueueEntry { line: self, number, wake }
    }

    /// Offers a free connection to the first request that has none on offer.
    pub fn offer_next(&self) {
        lock(&self.0).offer_from(0);
    }
}

/// A place in the line, given up when dropped.
pub struct QueueEntry<'a> {
    line: &'a ConnectionQueue,
    number: u64,
    wake: Arc<Notify>,
}

impl QueueEntry<'_> {
    /// Waits until a connection is on offer.
    pub async fn offered(&self) {
        self.wake.notified().await;
    }

    /// Returns an offer that this request cannot use to the next one, and waits again.
    pub fn decline_offer(&self) {
        let mut line = lock(&self.line.0);
        let Some(own) = line.find(self.number) else { return };
        if std::mem::take(&mut line.waiting[own].called) {
            line.offer_from(own + 1);
        }
    }

    /// Leaves the line with the connection that was on offer.
    pub fn accept_offer(self) {
        let mut line = lock(&self.line.0);
        if let Some(own) = line.find(self.number) {
            line.waiting[own].called = false;
        }
    }
}

impl Drop for QueueEntry<'_> {
    fn drop(&mut self) {
        let mut line = lock(&self.line.0);
        let Some(own) = line.find(self.number) else { return };
        if line.waiting.remove(own).called {
            line.offer_from(0);
        }
    }
}

/// Returns the time after which a request is expected to get a connection.
pub fn expected_wait(ahead: usize, connections: usize, service_time: Duration) -> Duration {
    service_time.mul_f64((ahead + 1) as f64 / connections.max(1) as f64)
}
