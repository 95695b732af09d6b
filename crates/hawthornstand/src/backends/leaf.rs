//! What this VM knows of one backend server.

use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use tokio::time::Instant;

use crate::backends::connections::Connections;
use crate::configuration::published::{Phase, PlacedLeaf};
use crate::derives::value_types;
use crate::ids::{BlockId, BootId, IndexVersion, LeafId};
use crate::locks::lock;
use crate::messages::{LeafHealth, LeafHealthState};
use crate::policy::min_latency_window::MinLatencyWindow;
use crate::searches::slices::SliceSet;

/// Weight of a new sample in the moving average of latency, as a divisor.
const LATENCY_WEIGHT_DIVISOR: u64 = 8;

/// Health intervals between two probes of a backend server that answers requests.
const PROBE_INTERVALS_WHEN_BUSY: u32 = 4;

value_types! {
    /// What a backend server holds, as far as it has said.
    #[derive(Default, Eq)]
    pub struct Holdings {
        pub slices: SliceSet,
        /// Sorted.
        pub versions: Vec<IndexVersion>,
    }

    /// State that changes rarely.
    pub struct LeafState {
        pub boot_id: BootId,
        pub cold: bool,
        pub down_since: Option<Instant>,
        pub eased_since: Option<Instant>,
        pub holdings: Holdings,
        pub last_heard: Option<Instant>,
        pub last_probed: Option<Instant>,
        pub listed_leaving: bool,
        pub phase: Phase,
        pub said_leaving: bool,
    }
}

/// Ejection of a slow backend server.
#[derive(Default)]
pub struct Ejection {
    pub fast_probes: u64,
    pub last_probe: Option<Instant>,
}

/// One backend server.
pub struct Leaf {
    pub address: String,
    pub block: BlockId,
    pub connections: Connections,
    pub failure_domain: String,
    pub id: LeafId,
    /// Held by a suspect request that runs there alone.
    pub lone_run: tokio::sync::Mutex<()>,
    pub region: String,
    pub slots: u64,
    pub ejection: Mutex<Ejection>,
    floor: Mutex<MinLatencyWindow>,
    ejected: AtomicBool,
    in_flight: AtomicU32,
    latency_us: AtomicU64,
    leaving: AtomicBool,
    probing: AtomicBool,
    samples: AtomicU64,
    state: Mutex<LeafState>,
}

/// Counts a call against a backend server while it is alive.
pub struct InFlight<'a>(&'a Leaf);

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Leaf {
    /// Creates the entry of a backend server; until it answers, its published slices are assumed.
    pub fn new(placed: &PlacedLeaf, connections: Connections) -> Self {
        let server = &placed.server;
        Self {
            address: server.address.clone(),
            block: placed.block,
            connections,
            failure_domain: server.failure_domain.clone(),
            id: server.id.clone(),
            lone_run: tokio::sync::Mutex::default(),
            region: server.region.clone(),
            slots: server.slots,
            ejection: Mutex::default(),
            floor: Mutex::default(),
            ejected: AtomicBool::new(false),
            in_flight: AtomicU32::new(0),
            latency_us: AtomicU64::new(0),
            leaving: AtomicBool::new(placed.phase == Phase::Leaving),
            probing: AtomicBool::new(false),
            samples: AtomicU64::new(0),
            state: Mutex::new(LeafState {
                boot_id: 0,
                cold: false,
                down_since: None,
                eased_since: None,
                holdings: Holdings {
                    slices: SliceSet::from_range(server.slice_start, server.slice_end),
                    versions: Vec::new(),
                },
                last_heard: None,
                last_probed: None,
                listed_leaving: false,
                phase: placed.phase,
                said_leaving: false,
            }),
        }
    }

    /// Starts counting a call.
    pub fn begin_call(&self) -> InFlight<'_> {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        InFlight(self)
    }

    /// Begins a health probe; returns whether none was running.
    pub fn begin_probe(&self) -> bool {
        !self.probing.swap(true, Ordering::AcqRel)
    }

    /// Ends a health probe.
    pub fn end_probe(&self) {
        self.probing.store(false, Ordering::Release);
    }

    /// Returns the calls this VM has running there.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Returns the moving average of latency, in microseconds; 0 before the first answer.
    pub fn latency_us(&self) -> u64 {
        self.latency_us.load(Ordering::Relaxed)
    }

    /// Returns the number of answers since the start or the last return from ejection.
    pub fn samples(&self) -> u64 {
        self.samples.load(Ordering::Relaxed)
    }

    /// Adds a latency sample; returns it in percent of the unloaded latency.
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
        let floor = lock(&self.floor).observe(latency, Instant::now());
        100 * sample_us / (floor.as_micros() as u64).max(1)
    }

    /// Takes the time of a health answer for latency until a request has been answered.
    pub fn seed_latency(&self, latency: Duration) {
        if self.samples() == 0 {
            self.latency_us.store((latency.as_micros() as u64).max(1), Ordering::Relaxed);
        }
    }

    /// Adds the time a withdrawn call had been running, if it is above the average of answered ones.
    ///
    /// It says only that the latency is not lower, so it never stands in for a first answer.
    pub fn record_abandoned(&self, running: Duration) {
        if self.samples() > 0 && running.as_micros() as u64 > self.latency_us() {
            self.record_latency(running);
        }
    }

    /// Forgets latency, so that a returned backend server is judged afresh.
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

    /// Returns whether the backend server was lost since it last answered.
    pub fn is_down(&self) -> bool {
        lock(&self.state).down_since.is_some()
    }

    /// Returns whether the backend server may receive no new work because it is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Reads the rarely changing state.
    pub fn with_state<T>(&self, read: impl FnOnce(&LeafState) -> T) -> T {
        read(&lock(&self.state))
    }

    /// Changes the rarely changing state; returns whether routing must be planned anew.
    pub fn update(&self, change: impl FnOnce(&mut LeafState)) -> bool {
        let mut state = lock(&self.state);
        let before = (routing_key(&state), state.holdings.clone());
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
        before != (after_key, state.holdings.clone())
    }

    /// Takes over what a health answer says; returns whether routing must be planned anew.
    pub fn apply_health(&self, health: &LeafHealth, now: Instant) -> bool {
        self.update(|state| {
            if state.boot_id != health.boot_id {
                if state.boot_id != 0 || health.state == LeafHealthState::Cold {
                    state.eased_since = Some(now);
                }
                state.boot_id = health.boot_id;
                state.said_leaving = false;
            }
            if state.cold && health.state == LeafHealthState::Serving {
                state.eased_since = Some(now);
            }
            state.cold = health.state == LeafHealthState::Cold;
            state.said_leaving |= health.state == LeafHealthState::Draining;
            state.down_since = None;
            state.last_heard = Some(now);
            state.last_probed = Some(now);
            state.holdings.slices = SliceSet::from_ranges(&health.slices);
            state.holdings.versions = sorted_versions(&health.versions);
        })
    }

    /// Takes over the index versions named in an answer; returns whether routing must be planned anew.
    pub fn apply_versions(&self, versions: &[IndexVersion], now: Instant) -> bool {
        self.update(|state| {
            state.down_since = None;
            state.last_heard = Some(now);
            if !versions.is_empty() && state.holdings.versions != versions {
                state.holdings.versions = sorted_versions(versions);
            }
        })
    }

    /// Forgets slices that an answer lacked, and asks for a probe; routing must be planned anew.
    pub fn forget_slices(&self, lacked: &SliceSet) {
        let mut state = lock(&self.state);
        state.holdings.slices = state.holdings.slices.difference(lacked);
        state.last_probed = None;
    }

    /// Returns whether a probe is due: nothing was heard for an interval, or the last probe is old.
    pub fn is_probe_due(&self, interval: Duration, now: Instant) -> bool {
        let state = lock(&self.state);
        let older = |at: Option<Instant>, age: Duration| {
            at.is_none_or(|at| now.saturating_duration_since(at) >= age)
        };
        older(state.last_heard, interval)
            || older(state.last_probed, interval * PROBE_INTERVALS_WHEN_BUSY)
    }

    /// Notes that the backend server cannot be reached; returns whether routing must be planned anew.
    pub fn mark_down(&self, now: Instant) -> bool {
        let changed = self.update(|state| {
            state.down_since.get_or_insert(now);
        });
        if changed {
            log::warn!("backend server {} is unreachable; it is probed until it answers", self.id);
        }
        changed
    }

    /// Describes the state in one word, with the sources that say so.
    pub fn describe(&self) -> (&'static str, String) {
        let state = lock(&self.state);
        let mut sources = Vec::new();
        if state.phase == Phase::Leaving {
            sources.push("label");
        }
        if state.listed_leaving {
            sources.push("VM list");
        }
        if state.said_leaving {
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

/// Returns the parts of the state that routing depends on: leaving, unusable, entering.
fn routing_key(state: &LeafState) -> (bool, bool, bool) {
    let leaving = state.phase == Phase::Leaving || state.listed_leaving || state.said_leaving;
    (leaving, state.cold || state.down_since.is_some(), state.phase == Phase::Entering)
}

/// Returns versions in ascending order without duplicates.
fn sorted_versions(versions: &[IndexVersion]) -> Vec<IndexVersion> {
    let mut sorted = versions.to_vec();
    sorted.sort_unstable();
    sorted.dedup();
    sorted
}
