//! Tracks requests that crash the backend servers that run them, and refuses them.

use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::sync::broadcast;
use tokio::time::Instant;

use crate::derives::value_types;
use crate::error::{ErrorKind, Failure};
use crate::ids::Fingerprint;
use crate::locks::lock;

/// Crashed processes after which a request is refused: two may be coincidence.
pub const CRASH_THRESHOLD: usize = 3;
/// Time for which such a request is refused after a crash, the same as for a quarantine in the table of errors.
const REFUSAL_TIME: Duration = Duration::from_secs(60);
/// Time for which other requests wait for the outcome of the first one after a refusal.
const TRIAL_TIME: Duration = Duration::from_secs(5);
/// Time between the ends of a refusal at two VMs on average, in which a report of a new crash reaches every VM.
const REFUSAL_END_SPACING: Duration = Duration::from_secs(1);
/// Limit on doublings of the refusal, one for each crash after a refusal has ended: at most 64 min.
const MAX_DOUBLINGS: u32 = 6;
/// Time after a refusal, or after a crash without one, for which crashes are remembered.
const CRASH_MEMORY: Duration = Duration::from_secs(3600);
/// Limit on tracked requests.
const MAX_SUSPECTS: usize = 256;
/// Slots for answered requests; 16 bytes each.
const ANSWERED_SLOTS: usize = 4096;
/// Time for which an answer shows that a request crashes no backend server: many requests run when several processes end
/// at once for another reason, and a release may change what a request does.
const ANSWER_VALIDITY: Duration = Duration::from_secs(2);
/// Time within which crashes that may have a common cause count as one.
const COMMON_CAUSE_TIME: Duration = Duration::from_secs(2);
/// Crash reports buffered for a link that sends slowly.
const REPORT_BUFFER: usize = 64;

/// Hash of the id and the start time of a process.
pub type ProcessHash = u64;

value_types! {
    /// Processes of backend servers that crashed while they ran a request.
    #[derive(Default, Eq, Serialize, Deserialize)]
    pub struct CrashReport {
        /// Time since the last of the crashes; 0 in a build that does not report it.
        #[serde(default)]
        pub age_ms: u64,
        /// How often the refusal of the request was doubled; 0 in a build that does not report it.
        #[serde(default)]
        pub doublings: u32,
        pub fingerprint: Fingerprint,
        /// Whether the processes may have ended together with others that had not got the request.
        #[serde(default)]
        pub has_common_cause: bool,
        pub processes: Vec<ProcessHash>,
    }
}

/// The last answered request of a slot.
#[derive(Default)]
struct AnsweredSlot {
    /// Time since the tracker was created, in milliseconds.
    answered_ms: AtomicU64,
    fingerprint: AtomicU64,
}

/// Whether a request may be sent to backend servers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    Admitted,
    Refused {
        remaining: Duration,
    },
    /// It was refused before: it is sent to one backend server first.
    Trial,
}

struct SuspectRequest {
    doublings: u32,
    fingerprint: Fingerprint,
    last_crash: Instant,
    /// Sorted.
    processes: Vec<ProcessHash>,
    /// Until when other requests wait for the outcome of the first one after the refusal.
    trial_until: Option<Instant>,
}

impl SuspectRequest {
    /// Returns how long the request is refused after its last crash.
    fn refusal_time(&self) -> Duration {
        REFUSAL_TIME * 2_u32.pow(self.doublings)
    }

    /// Returns whether the crashes are too long ago to count together with new ones.
    fn is_outdated(&self, now: Instant) -> bool {
        now > self.last_crash + self.refusal_time() + CRASH_MEMORY
    }

    /// Returns whether the last crash is so close to an instant that both may have the same cause.
    fn has_crash_near(&self, instant: Instant) -> bool {
        let distance = instant
            .saturating_duration_since(self.last_crash)
            .max(self.last_crash.saturating_duration_since(instant));
        !self.processes.is_empty() && distance < COMMON_CAUSE_TIME
    }

    /// Returns when the refusal ends at the first VMs; none if the request is not refused.
    fn refusal_end(&self) -> Option<Instant> {
        let is_refused = self.processes.len() >= CRASH_THRESHOLD;
        is_refused.then(|| self.last_crash + self.refusal_time())
    }
}

/// Requests that ran when backend servers crashed, at any VM of the fleet.
///
/// A request that a backend server has just answered is not suspected: one that crashes every process is never answered.
pub struct CrashTracker {
    /// Answered requests, each in the slot of its hash; a later one replaces it.
    answered: Vec<AnsweredSlot>,
    created: Instant,
    fleet_size: AtomicUsize,
    /// Seed of the times after the others at which refusals end at this VM.
    jitter_seed: u64,
    new_reports: broadcast::Sender<CrashReport>,
    suspects: Mutex<Vec<SuspectRequest>>,
}

impl Default for CrashTracker {
    fn default() -> Self {
        Self {
            answered: (0..ANSWERED_SLOTS).map(|_| AnsweredSlot::default()).collect(),
            created: Instant::now(),
            fleet_size: AtomicUsize::new(1),
            jitter_seed: rand::random(),
            new_reports: broadcast::Sender::new(REPORT_BUFFER),
            suspects: Mutex::default(),
        }
    }
}

impl CrashTracker {
    /// Creates a tracker whose refusals end at times that follow from a seed.
    pub fn with_jitter_seed(jitter_seed: u64) -> Self {
        Self { jitter_seed, ..Self::default() }
    }

    /// Returns the time for which a request is still refused; none if it is not.
    pub fn remaining_refusal(&self, fingerprint: Fingerprint, now: Instant) -> Option<Duration> {
        let suspects = lock(&self.suspects);
        let suspect = suspects.iter().find(|suspect| suspect.fingerprint == fingerprint)?;
        self.remaining(suspect, now)
    }

    /// Decides whether a request may be sent to backend servers.
    ///
    /// After a refusal, the first request is a trial: a backend server that it crashes, or an answer, decides over the others.
    pub fn admit(&self, fingerprint: Fingerprint, now: Instant) -> Admission {
        let mut suspects = lock(&self.suspects);
        let suspect = suspects.iter_mut().find(|suspect| suspect.fingerprint == fingerprint);
        let Some(suspect) = suspect.filter(|suspect| suspect.refusal_end().is_some()) else {
            return Admission::Admitted;
        };
        if let Some(remaining) = self.remaining(suspect, now) {
            return Admission::Refused { remaining };
        }
        if let Some(until) = suspect.trial_until.filter(|until| *until > now) {
            return Admission::Refused { remaining: until - now };
        }
        suspect.trial_until = Some(now + TRIAL_TIME);
        log::info!(fingerprint = fingerprint, crashed = suspect.processes.len();
            "the refusal has ended; the request is sent to one backend server first");
        Admission::Trial
    }

    /// Sets the number of VMs among which the ends of a refusal are spread.
    pub fn set_fleet_size(&self, fleet_size: usize) {
        self.fleet_size.store(fleet_size, Ordering::Relaxed);
    }

    /// Returns the time for which a request is still refused at this VM; none if it is not.
    ///
    /// At most about one VM lets it through in the time that a report needs. Nothing is agreed on: each draws its own delay.
    fn remaining(&self, suspect: &SuspectRequest, now: Instant) -> Option<Duration> {
        let end = suspect.refusal_end()?;
        let others = self.fleet_size.load(Ordering::Relaxed).saturating_sub(1) as u32;
        let spread = (REFUSAL_END_SPACING * others).min(suspect.refusal_time());
        let key = [suspect.fingerprint, u64::from(suspect.doublings)].map(u64::to_le_bytes);
        let draw = xxhash_rust::xxh3::xxh3_64_with_seed(key.as_flattened(), self.jitter_seed);
        let until = end + spread.mul_f64(draw as f64 / u64::MAX as f64);
        (until > now).then(|| until - now)
    }

    /// Records that a backend server ran a request to its end and answered with success.
    pub fn record_answered(&self, fingerprint: Fingerprint, now: Instant) {
        let slot = self.answered_slot(fingerprint);
        slot.fingerprint.store(fingerprint, Ordering::Relaxed);
        slot.answered_ms.store(self.uptime_ms(now), Ordering::Relaxed);
        let mut suspects = lock(&self.suspects);
        if !suspects.is_empty() {
            suspects.retain(|suspect| suspect.fingerprint != fingerprint);
        }
    }

    /// Records crashes seen by this VM or reported by another; returns whether any was new.
    pub fn record(&self, report: &CrashReport, now: Instant) -> bool {
        let fingerprint = report.fingerprint;
        if self.was_just_answered(fingerprint, now) {
            log::info!(fingerprint = fingerprint, crashed = report.processes.len();
                "crashes not counted: a backend server has just answered the request");
            return false;
        }
        let age = Duration::from_millis(report.age_ms);
        let crashed_at = now.checked_sub(age).unwrap_or(now);
        let mut suspects = lock(&self.suspects);
        let index = match suspects.iter().position(|suspect| suspect.fingerprint == fingerprint) {
            Some(index) => index,
            None => {
                drop_oldest(&mut suspects);
                suspects.push(SuspectRequest {
                    doublings: 0,
                    fingerprint,
                    last_crash: crashed_at,
                    processes: Vec::new(),
                    trial_until: None,
                });
                suspects.len() - 1
            }
        };
        let suspect = &mut suspects[index];
        if suspect.is_outdated(now) {
            *suspect = SuspectRequest { doublings: 0, processes: Vec::new(), ..*suspect };
        }
        if report.has_common_cause && suspect.has_crash_near(crashed_at) {
            log::info!(fingerprint = fingerprint, crashed = report.processes.len();
                "crashes not counted: another one at the same time, and other processes ended as well");
            return false;
        }
        let known = suspect.processes.len();
        let refusal_ended = suspect.refusal_end().is_some_and(|end| end <= crashed_at);
        for process in &report.processes {
            if let Err(index) = suspect.processes.binary_search(process) {
                suspect.processes.insert(index, *process);
            }
        }
        if suspect.processes.len() == known {
            return false;
        }
        suspect.last_crash = suspect.last_crash.max(crashed_at);
        suspect.trial_until = None;
        let doublings = suspect.doublings + u32::from(refusal_ended);
        suspect.doublings = doublings.max(report.doublings).min(MAX_DOUBLINGS);
        let crashed = suspect.processes.len();
        log::warn!(fingerprint = fingerprint, crashed = crashed, refused = crashed >= CRASH_THRESHOLD;
            "request suspected of crashing backend servers");
        // Sending fails if this VM has no links and so no subscriber.
        let _ =
            self.new_reports.send(CrashReport { doublings: suspect.doublings, ..report.clone() });
        true
    }

    /// Returns whether a process is known to have crashed while it ran a request.
    pub fn is_known_crash(&self, fingerprint: Fingerprint, process: ProcessHash) -> bool {
        let suspects = lock(&self.suspects);
        let suspect = suspects.iter().find(|suspect| suspect.fingerprint == fingerprint);
        suspect.is_some_and(|suspect| suspect.processes.binary_search(&process).is_ok())
    }

    /// Records that a trial ran and brought no success: the request is refused again, at every VM.
    pub fn record_failed_trial(&self, fingerprint: Fingerprint, now: Instant) {
        // Counted like a crashed process, so that all builds pass it on.
        let processes = vec![rand::random()];
        self.record(&CrashReport { fingerprint, processes, ..CrashReport::default() }, now);
    }

    /// Subscribes to new crash reports.
    pub fn subscribe(&self) -> broadcast::Receiver<CrashReport> {
        self.new_reports.subscribe()
    }

    /// Returns all crash reports, for a VM that has just connected or has missed some.
    pub fn reports(&self, now: Instant) -> Vec<CrashReport> {
        let mut reports = Vec::new();
        for suspect in lock(&self.suspects).iter() {
            reports.push(CrashReport {
                age_ms: now.saturating_duration_since(suspect.last_crash).as_millis() as u64,
                doublings: suspect.doublings,
                fingerprint: suspect.fingerprint,
                has_common_cause: false,
                processes: suspect.processes.clone(),
            });
        }
        reports
    }

    /// Returns whether a backend server has answered a request within [`ANSWER_VALIDITY`].
    pub fn was_just_answered(&self, fingerprint: Fingerprint, now: Instant) -> bool {
        let slot = self.answered_slot(fingerprint);
        let answered_ms = slot.answered_ms.load(Ordering::Relaxed);
        slot.fingerprint.load(Ordering::Relaxed) == fingerprint
            && self.uptime_ms(now).saturating_sub(answered_ms) < ANSWER_VALIDITY.as_millis() as u64
    }

    fn uptime_ms(&self, now: Instant) -> u64 {
        now.saturating_duration_since(self.created).as_millis() as u64
    }

    /// Returns the slot of an answered request.
    fn answered_slot(&self, fingerprint: Fingerprint) -> &AnsweredSlot {
        &self.answered[fingerprint as usize % ANSWERED_SLOTS]
    }
}

/// Returns the failure of a request that is refused as crashing.
pub fn refusal(remaining: Duration) -> Failure {
    Failure::new(ErrorKind::Suspect, "backend servers were lost each time it ran")
        .with_retry_after_ms(remaining.as_millis() as u64)
}

/// Drops a request if the table is full: one that is not refused before one that is, and the one with the oldest crash.
fn drop_oldest(suspects: &mut Vec<SuspectRequest>) {
    if suspects.len() < MAX_SUSPECTS {
        return;
    }
    let oldest = suspects.iter().enumerate().min_by_key(|(_, suspect)| {
        (suspect.processes.len() >= CRASH_THRESHOLD, suspect.last_crash)
    });
    if let Some((index, _)) = oldest {
        suspects.swap_remove(index);
    }
}
