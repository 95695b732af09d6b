//! What happens on a caller's connection: whether a request runs, or how long the connection has waited for its client.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use hyper::Version;
use tokio::time::Instant;

use crate::locks::lock;

/// Activity of one connection, shared by all that take part in serving it.
#[derive(Clone)]
pub struct ConnectionActivity(Arc<Activity>);

struct Activity {
    answered: AtomicU64,
    heads_received: AtomicU64,
    /// Whether received bytes may belong to no request, as HTTP/2 control frames do.
    multiplexed: AtomicBool,
    receipt: Mutex<Receipt>,
}

/// What was received of the last request.
struct Receipt {
    received: Received,
    waiting_since: Option<Instant>,
}

#[derive(Clone, Copy, Eq, PartialEq)]
enum Received {
    Nothing,
    PartOfHead,
    /// The body was not read so far.
    Head,
    PartOfBody,
    Everything,
}

impl Default for ConnectionActivity {
    fn default() -> Self {
        let receipt = Receipt { received: Received::Nothing, waiting_since: Some(Instant::now()) };
        Self(Arc::new(Activity {
            answered: AtomicU64::new(0),
            heads_received: AtomicU64::new(0),
            multiplexed: AtomicBool::new(false),
            receipt: Mutex::new(receipt),
        }))
    }
}

impl ConnectionActivity {
    /// Records that the head of a request has begun to arrive.
    pub fn record_partial_head(&self) {
        lock(&self.0.receipt).received = Received::PartOfHead;
    }

    /// Records that the head of a request is complete, and whether it has a body.
    pub fn record_head(&self, version: Version, has_body: bool) {
        self.0.heads_received.fetch_add(1, Ordering::Relaxed);
        self.0.multiplexed.store(version >= Version::HTTP_2, Ordering::Relaxed);
        if has_body && !self.is_multiplexed() {
            self.record_progress(Received::Head);
        } else {
            self.record_complete_request();
        }
    }

    /// Records that the body of a request is being read, or that more of it has arrived.
    pub fn record_partial_body(&self) {
        if !self.is_multiplexed() {
            self.record_progress(Received::PartOfBody);
        }
    }

    /// Records that nothing of a request is missing.
    pub fn record_complete_request(&self) {
        *lock(&self.0.receipt) = Receipt { received: Received::Everything, waiting_since: None };
    }

    /// Records that a request was answered; the next bytes belong to another head.
    pub fn record_response(&self) {
        self.0.answered.fetch_add(1, Ordering::Relaxed);
        if self.is_between_requests().is_some() {
            lock(&self.0.receipt).waiting_since = Some(Instant::now());
        }
    }

    /// Returns the index of the request head that comes next, or `None` while a request is running.
    pub fn next_head(&self) -> Option<u64> {
        if self.is_multiplexed() {
            return None;
        }
        self.is_between_requests()
    }

    /// Returns since when the connection has waited for its client: for a head, or for more of a body. None while a
    /// request runs.
    pub fn waiting_since(&self) -> Option<Instant> {
        lock(&self.0.receipt).waiting_since
    }

    /// Returns whether a body was read in part only.
    pub fn is_body_partial(&self) -> bool {
        lock(&self.0.receipt).received == Received::PartOfBody
    }

    /// Returns whether the client may still be sending a request.
    pub fn is_request_partial(&self) -> bool {
        let received = lock(&self.0.receipt).received;
        matches!(received, Received::PartOfHead | Received::Head | Received::PartOfBody)
    }

    fn record_progress(&self, received: Received) {
        *lock(&self.0.receipt) = Receipt { received, waiting_since: Some(Instant::now()) };
    }

    /// Returns the number of received heads if as many requests were answered.
    fn is_between_requests(&self) -> Option<u64> {
        let received = self.0.heads_received.load(Ordering::Relaxed);
        (received == self.0.answered.load(Ordering::Relaxed)).then_some(received)
    }

    fn is_multiplexed(&self) -> bool {
        self.0.multiplexed.load(Ordering::Relaxed)
    }
}
