//! Experiments, one module each.

pub mod bookings;
pub mod connections;
pub mod deployments;
pub mod kill;
pub mod leaf_calls;
pub mod overload;
pub mod platform_calls;
pub mod poison;
pub mod recovery;
pub mod relayed;
pub mod repartition;
pub mod slopes;
pub mod stragglers;

use std::io;

use hawthornstand_standins::fleet::{Fleet, FleetSpec};

/// Names and settings of the variants that experiments compare: the default settings, then the baselines.
pub const VARIANTS: &[(&str, &str)] = &[
    ("candidate", ""),
    ("no hedging", "hedge:\n  policy: none\n"),
    ("fixed delay of 20 ms", "hedge:\n  policy: fixed\n"),
    ("random replica", "routing:\n  policy: random\n"),
    ("random replica, no hedging", "hedge:\n  policy: none\nrouting:\n  policy: random\n"),
];

/// Starts a fleet with the given settings and all its VMs.
pub async fn start(mut spec: FleetSpec, settings: &str) -> io::Result<Fleet> {
    spec.settings.push_str(settings);
    let mut fleet = Fleet::start(spec).await?;
    fleet.start_vms().await?;
    Ok(fleet)
}

/// Returns the caller addresses of all VMs.
pub fn caller_addresses(fleet: &Fleet) -> Vec<String> {
    fleet.vms.values().map(|vm| vm.caller_address.clone()).collect()
}
