//! Limits the memory that the answers of backend servers hold together.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Bytes of each answer that do not count: usual answers are shorter, and are read whatever others hold.
const UNCOUNTED_BYTES: usize = 64 * 1024;
/// Limit on the counted bytes of all answers of this process together: a small part of the smallest VM's memory.
pub const MAX_COUNTED_BYTES: usize = 12 << 20;

/// Memory held by the answers that are being read or have not been forwarded yet.
#[derive(Debug, Default)]
pub struct AnswerMemory(AtomicUsize);

/// The memory of one answer, which is released when this is dropped.
#[derive(Debug)]
pub struct AnswerPermit {
    counted: usize,
    held: usize,
    memory: Arc<AnswerMemory>,
}

impl AnswerPermit {
    /// Creates a permit for an answer of which nothing has been read.
    pub fn new(memory: Arc<AnswerMemory>) -> Self {
        Self { counted: 0, held: 0, memory }
    }

    /// Adds bytes to the answer; returns whether the process may hold them.
    pub fn grow(&mut self, bytes: usize) -> bool {
        let held = self.held.saturating_add(bytes);
        let counted = held.saturating_sub(UNCOUNTED_BYTES);
        let added = counted - self.counted;
        let total = &self.memory.0;
        if added > 0 {
            let add = |all: usize| all.checked_add(added).filter(|all| *all <= MAX_COUNTED_BYTES);
            if total.fetch_update(Ordering::Relaxed, Ordering::Relaxed, add).is_err() {
                return false;
            }
        }
        (self.counted, self.held) = (counted, held);
        true
    }
}

impl Drop for AnswerPermit {
    fn drop(&mut self) {
        self.memory.0.fetch_sub(self.counted, Ordering::Relaxed);
    }
}
