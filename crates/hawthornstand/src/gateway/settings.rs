//! Settings of the gateway, independent of their file format.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::Instant;

use crate::derives::value_types;
use crate::policy::budget::RetryBudget;

/// Part of the memory of the process that the bodies of requests may hold.
const BODY_MEMORY_DIVISOR: usize = 4;
/// Part of the descriptors that the connections of callers may take; the others are for backend servers, other VMs and the
/// store.
const CALLER_DESCRIPTORS_DIVISOR: usize = 2;
/// Part of the memory of the process that the connections of callers may hold.
const CONNECTION_MEMORY_DIVISOR: usize = 4;
/// Memory of a connection: the head of a request as it is received, a short body, and bytes that were not read.
const CONNECTION_BYTES: usize = 32 * 1024;
/// Part of the published ratio of extra attempts that is used, as a safety margin: requests that reach no VM count in
/// the published ratio only.
const RATIO_MARGIN: f64 = 0.85;
/// Part of the published slack that the whole fleet uses: a VM that is replaced within the window uses its share twice.
const SLACK_MARGIN: f64 = 0.5;
/// Part of that slack that relays share for the shards they search; the rest is for VMs that reach no relay.
const RELAY_SLACK_FRACTION: f64 = 0.75;

value_types! {
    /// Failure domain and region of this VM, and the regions of all failure domains.
    pub struct Location {
        pub failure_domain: String,
        pub region: String,
        /// Failure domains with their regions, sorted by failure domain.
        pub regions: Vec<(String, String)>,
    }

    /// Published limits on extra attempts, that is retries and hedges together, per service over the whole fleet.
    #[derive(Copy)]
    pub struct ExtraAttemptBounds {
        /// Allowed ratio of extra attempts to requests.
        pub ratio: f64,
        /// Extra attempts allowed per window in addition to the ratio.
        pub slack: f64,
        /// Length of the sliding window.
        pub window: Duration,
    }

    /// Settings of one VM.
    pub struct GatewaySettings {
        /// Number of VMs assumed until links report the others.
        pub assumed_fleet_size: usize,
        pub caller_address: SocketAddr,
        /// Time within which an acknowledged change of the published state has to be in force.
        pub config_apply: Duration,
        /// Processor time that the VM may use, in thousandths of a core.
        pub cpu_millicores: u32,
        /// Time after which a leaving backend server must not get new requests.
        pub drain: Duration,
        pub extra_attempts: ExtraAttemptBounds,
        /// Time between SIGTERM and SIGKILL.
        pub grace: Duration,
        /// Time between two heartbeats of a backend server.
        pub heartbeat: Duration,
        pub location: Location,
        /// Descriptors that the process may open.
        pub max_descriptors: usize,
        /// Memory that the process may use.
        pub memory_bytes: usize,
        pub metrics_address: Option<SocketAddr>,
        /// Address for links from other VMs; none disables links.
        pub peer_address: Option<SocketAddr>,
        pub readiness_address: SocketAddr,
        /// Addresses of VMs to link with first.
        pub seeds: Vec<SocketAddr>,
        pub vm_id: String,
    }
}

impl Location {
    /// Returns the region of a failure domain; none if it is unknown.
    pub fn region_of(&self, failure_domain: &str) -> Option<&str> {
        let found =
            self.regions.binary_search_by(|(domain, _)| domain.as_str().cmp(failure_domain));
        found.ok().map(|index| self.regions[index].1.as_str())
    }

    /// Returns the names of all regions.
    pub fn region_names(&self) -> Vec<&str> {
        let mut regions: Vec<&str> =
            self.regions.iter().map(|(_, region)| region.as_str()).collect();
        regions.sort_unstable();
        regions.dedup();
        regions
    }

    /// Returns the number of regions.
    pub fn region_count(&self) -> usize {
        self.region_names().len()
    }
}

impl GatewaySettings {
    /// Returns the names of the settings that differ and take effect only after a restart; time limits and seeds take
    /// effect immediately.
    pub fn changes_requiring_restart(&self, new: &Self) -> Vec<&'static str> {
        let changed = [
            ("addresses", self.addresses() != new.addresses()),
            ("config_apply", self.config_apply != new.config_apply),
            ("heartbeat", self.heartbeat != new.heartbeat),
            ("extra", self.extra_attempts != new.extra_attempts),
            ("descriptors", self.max_descriptors != new.max_descriptors),
            ("memory", self.memory_bytes != new.memory_bytes),
            ("place", self.location != new.location),
            ("vm_id", self.vm_id != new.vm_id),
        ];
        changed.into_iter().filter(|(_, differs)| *differs).map(|(name, _)| name).collect()
    }

    /// Returns the memory that the bodies of requests may hold together.
    pub fn body_memory_bytes(&self) -> usize {
        self.memory_bytes / BODY_MEMORY_DIVISOR
    }

    /// Returns the number of connections that callers may open together; `open_file_limit` is that of the process.
    pub fn max_caller_connections(&self, open_file_limit: usize) -> usize {
        let descriptors = self.max_descriptors.min(open_file_limit);
        let by_descriptors = descriptors / CALLER_DESCRIPTORS_DIVISOR;
        let by_memory = self.memory_bytes / CONNECTION_MEMORY_DIVISOR / CONNECTION_BYTES;
        by_descriptors.min(by_memory).max(1)
    }

    /// Returns all listen addresses of this VM.
    fn addresses(&self) -> [Option<SocketAddr>; 4] {
        [
            Some(self.caller_address),
            self.metrics_address,
            self.peer_address,
            Some(self.readiness_address),
        ]
    }

    /// Returns the budget for the extra attempts of one service on each VM of a fleet; `rounding_offset` is drawn from
    /// 0 to 1.
    pub fn budget(&self, fleet_size: usize, rounding_offset: f64, now: Instant) -> RetryBudget {
        let extra_percent = self.extra_attempts.ratio * RATIO_MARGIN * 100.0;
        let budget = RetryBudget::with_rounding_offset(
            extra_percent,
            self.extra_attempts.window,
            rounding_offset,
            now,
        );
        budget.set_slack(self.extra_slack(fleet_size));
        budget
    }

    /// Returns this VM's share of the extra attempts that are allowed in addition to the ratio.
    pub fn extra_slack(&self, fleet_size: usize) -> f64 {
        self.extra_attempts.slack * SLACK_MARGIN / fleet_size.max(1) as f64
    }

    /// Returns this VM's share of the same for the shards that `relays` VMs search for the others.
    pub fn relayed_slack(&self, fleet_size: usize, relays: usize, is_relay: bool) -> f64 {
        let all = self.extra_slack(1);
        let of_every_vm = all * (1.0 - RELAY_SLACK_FRACTION) / fleet_size.max(1) as f64;
        if !is_relay {
            return of_every_vm;
        }
        of_every_vm + all * RELAY_SLACK_FRACTION / relays.max(1) as f64
    }
}
