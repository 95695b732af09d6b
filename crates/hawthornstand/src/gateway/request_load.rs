//! Number of running requests, and whether the VM is stopping.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

/// The running requests of this VM, of callers and of other VMs.
#[derive(Default)]
pub struct RequestLoad {
    running: AtomicU64,
    stopping: AtomicBool,
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

    /// Marks the VM as stopping.
    pub fn begin_stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    /// Returns whether the VM is stopping.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }
}
