//! State of one backend server as seen by this VM.

use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use tokio::time::Instant;

use crate::backends::connection_pool::ConnectionPool;
use crate::configuration::published::{ConfiguredLeaf, Phase};
use crate::derives::value_types;
use crate::ids::{BlockId, BootId, IndexVersion, LeafId};
use crate::locks::lock;
use crate::messages::{LeafHealth, LeafHealthState};
use crate::policy::min_latency_window::MinLatencyWindow;
use crate::searches::slices::SliceSet;

/// Divisor for the weight of a new sample in the moving average of latency.
const LATENCY_WEIGHT_DIVISOR: u64 = 8;

/// Health intervals between two probes of a backend server that answers requests in the meantime.
const PROBE_INTERVALS_WHEN_BUSY: u32 = 4;

value_types! {
    /// Slices and index versions of a backend server, as it last reported them.
    #[derive(Default, Eq)]
    pub struct IndexContents {
        pub slices: SliceSet,
        /// Sorted.
        pub versions: Vec<IndexVersion>,
    }

    /// State that changes rarely, guarded by one lock.
    pub struct LeafState {
        /// Identifies the process of the backend server; 0 until it is known.
        pub boot_id: BootId,
        pub cold: bool,
        pub down_since: Option<Instant>,
        pub index_contents: IndexContents,
        pub last_health_report_at: Option<Instant>,
        pub last_response_at: Option<Instant>,
        /// Whether the VM list marks it as leaving.
        pub listed_leaving: bool,
        pub phase: Phase,
        /// Whether it reported itself that it is leaving.
        pub reported_leaving: bool,
        pub slow_start_since: Option<Instant>,
    }
}

/// Progress of the probes that end the ejection of a slow backend server.
#[derive(Default)]
pub struct EjectionProbes {
    /// Fast probes since the last slow or failed one.
    pub consecutive_fast: u64,
    pub last_probe_at: Option<Instant>,
}

/// One backend server: its address, its connections and the state on which routing depends.
pub struct Leaf {
    pub address: String,
    pub block: BlockId,
    pub connections: ConnectionPool,
    pub failure_domain: String,
    pub id: LeafId,
    /// Held while a suspect request runs there alone.
    pub lone_run: tokio::sync::Mutex<()>,
    pub region: String,
    pub slots: u64,
    pub ejection_probes: Mutex<EjectionProbes>,
    min_latency: Mutex<MinLatencyWindow>,
    ejected: AtomicBool,
    in_flight: AtomicU32,
    latency_us: AtomicU64,
    leaving: AtomicBool,
    probe_running: AtomicBool,
    samples: AtomicU64,
    state: Mutex<LeafState>,
}

/// Guard that counts a call as in flight until it is dropped.
pub struct InFlightGuard<'a>(&'a Leaf);

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Leaf {
    /// Creates the entry of a backend server; until it reports its slices, the published ones are assumed.
    pub fn new(configured: &ConfiguredLeaf, connections: ConnectionPool) -> Self {
        let server = &configured.server;
        Self {
            address: server.address.clone(),
            block: configured.block,
            connections,
            failure_domain: server.failure_domain.clone(),
            id: server.id.clone(),
            lone_run: tokio::sync::Mutex::default(),
            region: server.region.clone(),
            slots: server.slots,
            ejection_probes: Mutex::default(),
            min_latency: Mutex::default(),
            ejected: AtomicBool::new(false),
            in_flight: AtomicU32::new(0),
            latency_us: AtomicU64::new(0),
            leaving: AtomicBool::new(configured.phase == Phase::Leaving),
            probe_running: AtomicBool::new(false),
            samples: AtomicU64::new(0),
            state: Mutex::new(LeafState {
                boot_id: 0,
                cold: false,
                down_since: None,
                index_contents: IndexContents {
                    slices: SliceSet::from_range(server.slice_start, server.slice_end),
                    versions: Vec::new(),
                },
                last_health_report_at: None,
                last_response_at: None,
                listed_leaving: false,
                phase: configured.phase,
                reported_leaving: false,
                slow_start_since: None,
            }),
        }
    }

    /// Counts a call as in flight until the returned guard is dropped.
    pub fn begin_call(&self) -> InFlightGuard<'_> {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        InFlightGuard(self)
    }

    /// Marks a health probe as running; returns false if one was running already.
    pub fn begin_probe(&self) -> bool {
        !self.probe_running.swap(true, Ordering::AcqRel)
    }

    /// Marks the health probe as ended.
    pub fn end_probe(&self) {
        self.probe_running.store(false, Ordering::Release);
    }

    /// Returns the number of calls of this VM in flight to the backend server.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Returns the moving average of latency, in microseconds; 0 before the first answer.
    pub fn latency_us(&self) -> u64 {
        self.latency_us.load(Ordering::Relaxed)
    }

    /// Returns the number of latency samples since the start or the end of the last ejection.
    pub fn samples(&self) -> u64 {
        self.samples.load(Ordering::Relaxed)
    }

    /// Adds a latency sample; returns it in percent of the lowest recent latency, which stands for the unloaded one.
    pub fn record_latency(&self, latency: Duration) -> u64 {
        let sample_us = latency.as_micros() as u64;
        let old_us = self.latency_us();
        let new_us = if self.samples() == 0 {
            sample_us
        } else {
            old_us - old_us / LATENCY_WEIGHT_DIVISOR + sample_us / LATENCY_WEIGHT_DIVISOR
        };
        self.latency_us.store(new_us.max(1), Ordering::Relaxed);
        self.samples.fetch_add(1, Ordering::Relaxed);
        let min_latency = lock(&self.min_latency).observe(latency, Instant::now());
        100 * sample_us / (min_latency.as_micros() as u64).max(1)
    }

    /// Uses the response time of a health probe as latency until a request has been answered.
    pub fn seed_latency(&self, latency: Duration) {
        if self.samples() == 0 {
            self.latency_us.store((latency.as_micros() as u64).max(1), Ordering::Relaxed);
        }
    }

    /// Adds the running time of a cancelled call as a latency sample if it is above the moving average.
    ///
    /// The running time is only a lower bound of the latency, so it is never used as the first sample.
    pub fn record_cancelled_call(&self, running: Duration) {
        if self.samples() > 0 && running.as_micros() as u64 > self.latency_us() {
            self.record_latency(running);
        }
    }

    /// Resets the latency samples, so that a backend server starts afresh after its ejection.
    pub fn reset_latency(&self) {
        self.latency_us.store(0, Ordering::Relaxed);
        self.samples.store(0, Ordering::Relaxed);
    }

    /// Returns whether the backend server is ejected for being slow.
    pub fn is_ejected(&self) -> bool {
        self.ejected.load(Ordering::Relaxed)
    }

    /// Sets whether the backend server is ejected.
    pub fn set_ejected(&self, ejected: bool) {
        self.ejected.store(ejected, Ordering::Relaxed);
    }

    /// Returns whether the backend server became unreachable since it last answered.
    pub fn is_down(&self) -> bool {
        lock(&self.state).down_since.is_some()
    }

    /// Returns whether the backend server is leaving and must not receive new work.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Reads the rarely changing state under its lock.
    pub fn with_state<T>(&self, read: impl FnOnce(&LeafState) -> T) -> T {
        read(&lock(&self.state))
    }

    /// Changes the rarely changing state under its lock; returns whether routing plans have to be rebuilt.
    pub fn update(&self, change: impl FnOnce(&mut LeafState)) -> bool {
        let mut state = lock(&self.state);
        let before = (routing_key(&state), state.index_contents.clone());
        change(&mut state);
        let after_key = routing_key(&state);
        let was_leaving = self.leaving.swap(after_key.0, Ordering::Relaxed);
        if after_key.0 != was_leaving {
            log::info!(
                "backend server {} is {}",
                self.id,
                if after_key.0 { "leaving" } else { "serving again" }
            );
        }
        before != (after_key, state.index_contents.clone())
    }

    /// Applies a health report; returns whether routing plans have to be rebuilt.
    ///
    /// Slow start begins for a backend server that has restarted or is cold when first seen, and when a cold one
    /// starts serving.
    pub fn apply_health(&self, health: &LeafHealth, now: Instant) -> bool {
        self.update(|state| {
            if state.boot_id != health.boot_id {
                if state.boot_id != 0 || health.state == LeafHealthState::Cold {
                    state.slow_start_since = Some(now);
                }
                state.boot_id = health.boot_id;
                state.reported_leaving = false;
            }
            if state.cold && health.state == LeafHealthState::Serving {
                state.slow_start_since = Some(now);
            }
            state.cold = health.state == LeafHealthState::Cold;
            state.reported_leaving |= health.state == LeafHealthState::Draining;
            state.down_since = None;
            state.last_response_at = Some(now);
            state.last_health_report_at = Some(now);
            state.index_contents.slices = SliceSet::from_ranges(&health.slices);
            state.index_contents.versions = sorted_versions(&health.versions);
        })
    }

    /// Applies the index versions listed in a response; returns whether routing plans have to be rebuilt.
    pub fn apply_versions(&self, versions: &[IndexVersion], now: Instant) -> bool {
        self.update(|state| {
            state.down_since = None;
            state.last_response_at = Some(now);
            if !versions.is_empty() && state.index_contents.versions != versions {
                state.index_contents.versions = sorted_versions(versions);
            }
        })
    }

    /// Removes slices that were missing in a response, and makes a probe due.
    ///
    /// The caller has to have routing plans rebuilt.
    pub fn remove_slices(&self, missing: &SliceSet) {
        let mut state = lock(&self.state);
        state.index_contents.slices = state.index_contents.slices.difference(missing);
        state.last_health_report_at = None;
    }

    /// Returns whether a probe is due: no response for an interval, or no health report for several intervals.
    pub fn is_probe_due(&self, interval: Duration, now: Instant) -> bool {
        let state = lock(&self.state);
        let is_older = |at: Option<Instant>, age: Duration| {
            at.is_none_or(|at| now.saturating_duration_since(at) >= age)
        };
        is_older(state.last_response_at, interval)
            || is_older(state.last_health_report_at, interval * PROBE_INTERVALS_WHEN_BUSY)
    }

    /// Marks the backend server as unreachable; returns whether routing plans have to be rebuilt.
    pub fn mark_down(&self, now: Instant) -> bool {
        let changed = self.update(|state| {
            state.down_since.get_or_insert(now);
        });
        if changed {
            log::warn!("backend server {} is unreachable; probing it until it answers", self.id);
        }
        changed
    }

    /// Returns the state in one word, and its reason or the sources that report it.
    pub fn describe(&self) -> (&'static str, String) {
        let state = lock(&self.state);
        let mut sources = Vec::new();
        if state.phase == Phase::Leaving {
            sources.push("label");
        }
        if state.listed_leaving {
            sources.push("VM list");
        }
        if state.reported_leaving {
            sources.push("own answer");
        }
        if !sources.is_empty() {
            return ("leaving", sources.join(", "));
        }
        if state.down_since.is_some() {
            return ("unreachable", "connection lost".to_string());
        }
        if self.is_ejected() {
            return ("ejected", format!("average latency {} us", self.latency_us()));
        }
        if state.cold {
            return ("cold", "own answer".to_string());
        }
        match state.phase {
            Phase::Entering => ("entering", "label".to_string()),
            _ => ("serving", String::new()),
        }
    }
}

/// Returns the flags that routing depends on: whether it is leaving, unusable, and entering.
fn routing_key(state: &LeafState) -> (bool, bool, bool) {
    let leaving = state.phase == Phase::Leaving || state.listed_leaving || state.reported_leaving;
    (leaving, state.cold || state.down_since.is_some(), state.phase == Phase::Entering)
}

/// Returns versions in ascending order without duplicates.
fn sorted_versions(versions: &[IndexVersion]) -> Vec<IndexVersion> {
    let mut sorted = versions.to_vec();
    sorted.sort_unstable();
    sorted.dedup();
    sorted
}
