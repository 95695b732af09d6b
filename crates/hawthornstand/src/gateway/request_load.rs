//! Number of running requests, and until when a VM that stops answers them.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use tokio::sync::watch;
use tokio::time::Instant;

/// The running requests of this VM, of callers and of other VMs.
#[derive(Default)]
pub struct RequestLoad {
    /// Instant by which a VM that stops answers its callers; none while it does not stop.
    answer_by: watch::Sender<Option<Instant>>,
    running: AtomicU64,
}

/// Counts a request as running until it is dropped.
pub struct RunningRequest(Arc<RequestLoad>);

impl Drop for RunningRequest {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::Relaxed);
    }
}

impl RequestLoad {
    /// Counts a request as running until the returned value is dropped.
    pub fn begin(self: &Arc<Self>) -> RunningRequest {
        self.running.fetch_add(1, Ordering::Relaxed);
        RunningRequest(Arc::clone(self))
    }

    /// Returns the number of running requests.
    pub fn running(&self) -> u64 {
        self.running.load(Ordering::Relaxed)
    }

    /// Marks the VM as stopping; its callers are answered by an instant.
    pub fn begin_stop(&self, answer_by: Instant) {
        self.answer_by.send_replace(Some(answer_by));
    }

    /// Returns whether the VM is stopping.
    pub fn is_stopping(&self) -> bool {
        self.answer_by().is_some()
    }

    /// Returns the instant by which a VM that stops answers its callers; none while it does not stop.
    pub fn answer_by(&self) -> Option<Instant> {
        *self.answer_by.borrow()
    }

    /// Waits until every caller has to be answered, because the VM stops.
    pub async fn must_answer(&self) {
        let mut answer_by = self.answer_by.subscribe();
        let stopping = answer_by.wait_for(Option::is_some).await.map(|answer_by| *answer_by);
        // The sender lives as long as this value.
        let Ok(Some(until)) = stopping else { return };
        tokio::time::sleep_until(until).await;
    }
}
