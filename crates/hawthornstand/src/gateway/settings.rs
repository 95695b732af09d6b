//! Settings of the gateway, whatever format they come in.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::Instant;

use crate::derives::value_types;
use crate::policy::budget::Budget;

/// Part of the published share of extra attempts that is used: requests that reach no VM count in the
/// published share only.
const EXTRA_MARGIN: f64 = 0.85;
/// Part of the published slack that the whole fleet uses: a VM that is replaced within the window uses its part twice.
const SLACK_MARGIN: f64 = 0.5;

value_types! {
    /// Where this VM stands.
    pub struct Location {
        pub failure_domain: String,
        pub region: String,
        /// Failure domains with their regions, sorted.
        pub regions: Vec<(String, String)>,
    }

    /// Published bounds on retries and hedges together, for each service over the whole fleet.
    #[derive(Copy)]
    pub struct ExtraAttemptBounds {
        /// Extra attempts as a share of requests.
        pub ratio: f64,
        /// Extra attempts allowed beyond the share.
        pub slack: f64,
        pub window: Duration,
    }

    /// What the gateway is told at its start.
    pub struct GatewaySettings {
        /// Number of VMs assumed until others are heard of.
        pub assumed_fleet_size: usize,
        pub caller_address: SocketAddr,
        /// Time after which a backend server that leaves may get no more requests.
        pub drain: Duration,
        pub extra_attempts: ExtraAttemptBounds,
        /// Time between SIGTERM and SIGKILL.
        pub grace: Duration,
        pub location: Location,
        pub metrics_address: Option<SocketAddr>,
        /// Address for other VMs; none where this VM does not serve them.
        pub peer_address: Option<SocketAddr>,
        pub readiness_address: SocketAddr,
        pub seeds: Vec<SocketAddr>,
        pub vm_id: String,
    }
}

impl GatewaySettings {
    /// Returns the settings that differ and are used at the start only; time limits and seeds are used as they change.
    pub fn changes_requiring_restart(&self, new: &Self) -> Vec<&'static str> {
        let changed = [
            ("addresses", self.addresses() != new.addresses()),
            ("extra", self.extra_attempts != new.extra_attempts),
            ("place", self.location != new.location),
            ("vm_id", self.vm_id != new.vm_id),
        ];
        changed.into_iter().filter(|(_, differs)| *differs).map(|(name, _)| name).collect()
    }

    /// Returns every address at which this VM listens.
    fn addresses(&self) -> [Option<SocketAddr>; 4] {
        [
            Some(self.caller_address),
            self.metrics_address,
            self.peer_address,
            Some(self.readiness_address),
        ]
    }

    /// Returns the budget of one service on each VM of a fleet; `phase` is drawn from 0 to 1.
    pub fn budget(&self, fleet: usize, phase: f64, now: Instant) -> Budget {
        let extra_percent = self.extra_attempts.ratio * EXTRA_MARGIN * 100.0;
        let budget = Budget::of_many(extra_percent, self.extra_attempts.window, phase, now);
        budget.set_slack(self.extra_slack(fleet));
        budget
    }

    /// Returns this VM's part of the extra attempts that are allowed beyond the share of requests.
    pub fn extra_slack(&self, fleet: usize) -> f64 {
        self.extra_attempts.slack * SLACK_MARGIN / fleet.max(1) as f64
    }
}
