//! Requests that crash the backend servers that run them.

use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::sync::broadcast;
use tokio::time::Instant;

use crate::derives::value_types;
use crate::ids::Fingerprint;
use crate::locks::lock;

/// CrashReport of different processes after which a request is refused: two may be chance.
const MAX_CRASHES: usize = 3;
/// Time for which such a request is refused after a crash, as the table of errors says of a quarantine.
const REFUSAL: Duration = Duration::from_secs(60);
/// Most times that the refusal is doubled for a request that crashed another process after it ended: 64 min.
const MAX_DOUBLINGS: u32 = 6;
/// Most requests remembered, those with the oldest crash go first.
const MAX_ENTRIES: usize = 256;
/// Answered requests remembered, a power of two; 8 bytes each.
const ANSWERED: usize = 4096;
/// News kept for a link that is slow to send it.
const NEWS: usize = 64;

/// Hash of the identity and the birth of a process.
pub type ProcessHash = u64;

value_types! {
    /// Backend servers that were lost while they ran a request.
    #[derive(Eq, Serialize, Deserialize)]
    pub struct CrashReport {
        pub fingerprint: Fingerprint,
        pub processes: Vec<ProcessHash>,
    }
}

struct Entry {
    doublings: u32,
    fingerprint: Fingerprint,
    last: Instant,
    processes: Vec<ProcessHash>,
}

impl Entry {
    /// Returns for how long the request is still refused.
    fn remaining_refusal(&self, now: Instant) -> Option<Duration> {
        if self.processes.len() < MAX_CRASHES {
            return None;
        }
        let until = self.last + REFUSAL * 2_u32.pow(self.doublings);
        (until > now).then(|| until - now)
    }
}

/// What the fleet knows of requests that were running when a backend server was lost.
///
/// A request that any backend server has answered is innocent: one that crashes each process is never answered.
pub struct CrashTracker {
    /// Answered requests, each at the place of its hash.
    answered: Vec<AtomicU64>,
    entries: Mutex<Vec<Entry>>,
    news: broadcast::Sender<CrashReport>,
}

impl Default for CrashTracker {
    fn default() -> Self {
        Self {
            answered: (0..ANSWERED).map(|_| AtomicU64::default()).collect(),
            entries: Mutex::default(),
            news: broadcast::Sender::new(NEWS),
        }
    }
}

impl CrashTracker {
    /// Returns for how long a request is refused, if it is.
    pub fn remaining_refusal(&self, fingerprint: Fingerprint, now: Instant) -> Option<Duration> {
        let entries = lock(&self.entries);
        entries.iter().find(|entry| entry.fingerprint == fingerprint)?.remaining_refusal(now)
    }

    /// Notes that a backend server answered a request.
    pub fn record_answered(&self, fingerprint: Fingerprint) {
        self.place(fingerprint).store(fingerprint, Ordering::Relaxed);
        let mut entries = lock(&self.entries);
        if !entries.is_empty() {
            entries.retain(|entry| entry.fingerprint != fingerprint);
        }
    }

    /// Takes over crashes seen here or told by another VM; returns whether they were news.
    pub fn record(&self, crashes: &CrashReport, now: Instant) -> bool {
        let fingerprint = crashes.fingerprint;
        if self.place(fingerprint).load(Ordering::Relaxed) == fingerprint {
            return false;
        }
        let mut entries = lock(&self.entries);
        let index = match entries.iter().position(|entry| entry.fingerprint == fingerprint) {
            Some(index) => index,
            None => {
                drop_oldest(&mut entries);
                entries.push(Entry { doublings: 0, fingerprint, last: now, processes: Vec::new() });
                entries.len() - 1
            }
        };
        let entry = &mut entries[index];
        let known = entry.processes.len();
        let refusal_ended = known >= MAX_CRASHES && entry.remaining_refusal(now).is_none();
        for process in &crashes.processes {
            if let Err(place) = entry.processes.binary_search(process) {
                entry.processes.insert(place, *process);
            }
        }
        if entry.processes.len() == known {
            return false;
        }
        entry.last = now;
        if refusal_ended {
            entry.doublings = (entry.doublings + 1).min(MAX_DOUBLINGS);
        }
        let crashed = entry.processes.len();
        log::warn!(fingerprint = fingerprint, crashed = crashed, refused = crashed >= MAX_CRASHES;
            "request suspected of crashing backend servers");
        // Nobody listens where this VM has no links.
        let _ = self.news.send(crashes.clone());
        true
    }

    /// Subscribes to crashes that are news.
    pub fn subscribe(&self) -> broadcast::Receiver<CrashReport> {
        self.news.subscribe()
    }

    /// Returns everything known, for a VM that was not there.
    pub fn reports(&self) -> Vec<CrashReport> {
        let mut known = Vec::new();
        for entry in lock(&self.entries).iter() {
            let (fingerprint, processes) = (entry.fingerprint, entry.processes.clone());
            known.push(CrashReport { fingerprint, processes });
        }
        known
    }

    /// Returns the place of an answered request.
    fn place(&self, fingerprint: Fingerprint) -> &AtomicU64 {
        &self.answered[fingerprint as usize % ANSWERED]
    }
}

/// Makes room for an entry.
fn drop_oldest(entries: &mut Vec<Entry>) {
    if entries.len() < MAX_ENTRIES {
        return;
    }
    let oldest = entries.iter().enumerate().min_by_key(|(_, entry)| entry.last);
    if let Some((index, _)) = oldest {
        entries.swap_remove(index);
    }
}
