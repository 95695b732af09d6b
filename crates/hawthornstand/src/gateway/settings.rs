//! Settings of the gateway, whatever format they come in.

use std::net::SocketAddr;
use std::time::Duration;

use crate::derives::value_types;
use crate::settings::BudgetSettings;

/// Part of the published share of extra attempts that is used: requests that reach no VM count in the
/// published share only.
const EXTRA_MARGIN: f64 = 0.85;
/// Part of the published floor of extra attempts that the whole fleet uses.
const FLOOR_MARGIN: f64 = 0.5;

value_types! {
    /// Where this VM stands.
    pub struct Place {
        pub failure_domain: String,
        pub region: String,
        /// Failure domains with their regions, sorted.
        pub regions: Vec<(String, String)>,
    }

    /// Published bounds on retries and hedges together, for each service over the whole fleet.
    #[derive(Copy)]
    pub struct ExtraBounds {
        /// Extra attempts as a share of requests.
        pub ratio: f64,
        /// Extra attempts allowed whatever the rate.
        pub floor: f64,
        pub window: Duration,
    }

    /// What the gateway is told at its start.
    pub struct GatewaySettings {
        /// Number of VMs assumed until others are heard of.
        pub assumed_fleet: usize,
        pub caller_address: SocketAddr,
        /// Time after which a backend server that leaves may get no more requests.
        pub drain: Duration,
        pub extra: ExtraBounds,
        /// Time between SIGTERM and SIGKILL.
        pub grace: Duration,
        pub metrics_address: Option<SocketAddr>,
        /// Address for other VMs; none where this VM does not serve them.
        pub peer_address: Option<SocketAddr>,
        pub place: Place,
        pub readiness_address: SocketAddr,
        pub seeds: Vec<SocketAddr>,
        pub vm_id: String,
    }
}

impl GatewaySettings {
    /// Returns the settings that differ and are used at the start only; time limits and seeds are used as they change.
    pub fn changed_for_the_next_start(&self, new: &Self) -> Vec<&'static str> {
        let changed = [
            ("addresses", self.addresses() != new.addresses()),
            ("extra", self.extra != new.extra),
            ("place", self.place != new.place),
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

    /// Returns the budget of one service on this VM.
    pub fn budget(&self) -> BudgetSettings {
        BudgetSettings {
            extra_percent: (self.extra.ratio * EXTRA_MARGIN * 100.0) as u64,
            min_extra_per_window: self.extra_floor(self.assumed_fleet),
            window_ms: self.extra.window.as_millis() as u64,
        }
    }

    /// Returns this VM's part of the extra attempts that are allowed whatever the rate.
    pub fn extra_floor(&self, fleet: usize) -> u64 {
        ((self.extra.floor * FLOOR_MARGIN / fleet.max(1) as f64) as u64).max(1)
    }
}
