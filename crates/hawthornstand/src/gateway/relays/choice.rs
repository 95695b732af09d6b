//! Decides which VMs are relays, and in which order a VM uses them.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::derives::value_types;
use crate::gateway::settings::Location;
use crate::ids::rendezvous_weight;

/// Fraction of the VMs of a region that are relays: each searches for about ten VMs.
const RELAY_FRACTION: f64 = 0.1;
/// Smallest number of relays of a region: enough if some are stopped, cut off or frozen at the same time.
const MIN_RELAYS: usize = 4;
/// Number of profiles of each region that a VM reports to others: the relays and as many in reserve, in a fleet of a few
/// hundred VMs.
const MAX_REPORTED_PER_REGION: usize = 16;

value_types! {
    /// What a VM reports of itself.
    #[derive(Eq, Serialize, Deserialize)]
    pub struct VmProfile {
        pub address: SocketAddr,
        /// Processor time that the VM may use, in thousandths of a core.
        pub cpu_millicores: u32,
        pub failure_domain: String,
    }
}

/// Returns the number of relays of each region.
///
/// `max_relays` is the number of VMs of the whole fleet that may hold a connection to every backend server.
pub fn relays_per_region(fleet_size: usize, regions: usize, max_relays: usize) -> usize {
    let regions = regions.max(1);
    let wanted = (fleet_size as f64 * RELAY_FRACTION / regions as f64).ceil() as usize;
    wanted.max(MIN_RELAYS).min(max_relays / regions)
}

/// Returns the profiles of a region, best relays first: those with the most processor time, then by rendezvous weight.
pub fn rank<'a>(
    profiles: &'a [VmProfile],
    location: &Location,
    region: &str,
) -> Vec<&'a VmProfile> {
    let mut ranked: Vec<&VmProfile> = profiles
        .iter()
        .filter(|profile| location.region_of(&profile.failure_domain) == Some(region))
        .collect();
    ranked.sort_by_key(|profile| {
        (std::cmp::Reverse((profile.cpu_millicores, weight(0, profile.address))), profile.address)
    });
    ranked
}

/// Returns the relays that a VM uses, in its order: those of its failure domain first. The orders of different VMs differ,
/// so that the relays of a failure domain share its searches.
pub fn order(own: SocketAddr, location: &Location, relays: &[&VmProfile]) -> Vec<SocketAddr> {
    let own_key = weight(0, own);
    let mut ordered: Vec<&&VmProfile> =
        relays.iter().filter(|relay| relay.address != own).collect();
    ordered.sort_by_key(|relay| {
        let is_distant = relay.failure_domain != location.failure_domain;
        (is_distant, weight(own_key, relay.address), relay.address)
    });
    ordered.into_iter().map(|relay| relay.address).collect()
}

/// Returns the VMs that take requests of a VM which reaches too few backend servers, in its order: in turn one of its
/// failure domain, all of which may be cut off, and one of another.
pub fn helpers<'a>(
    own: SocketAddr,
    location: &Location,
    candidates: impl Iterator<Item = &'a VmProfile>,
) -> Vec<SocketAddr> {
    let own_key = weight(0, own);
    let mut others: Vec<&VmProfile> = candidates.filter(|vm| vm.address != own).collect();
    others.sort_by_key(|vm| (weight(own_key, vm.address), vm.address));
    let (near, distant): (Vec<&VmProfile>, Vec<&VmProfile>) =
        others.into_iter().partition(|vm| vm.failure_domain == location.failure_domain);
    let mut ordered = Vec::with_capacity(near.len() + distant.len());
    for index in 0..near.len().max(distant.len()) {
        for vms in [&near, &distant] {
            ordered.extend(vms.get(index).map(|vm| vm.address));
        }
    }
    ordered
}

/// Returns the profiles that a VM reports to others: those of the best relays of each region, and its own.
pub fn reported(profiles: &[VmProfile], location: &Location, own: SocketAddr) -> Vec<VmProfile> {
    let mut regions: Vec<&str> =
        location.regions.iter().map(|(_, region)| region.as_str()).collect();
    regions.sort_unstable();
    regions.dedup();
    let mut reported: Vec<VmProfile> = Vec::new();
    for region in regions {
        let ranked = rank(profiles, location, region);
        reported.extend(ranked.into_iter().take(MAX_REPORTED_PER_REGION).cloned());
    }
    if !reported.iter().any(|profile| profile.address == own) {
        reported.extend(profiles.iter().find(|profile| profile.address == own).cloned());
    }
    reported
}

/// Adds profiles to a list sorted by address; a later profile of an address replaces the earlier one. Returns whether the
/// list changed.
pub fn merge(known: &mut Vec<VmProfile>, reported: Vec<VmProfile>) -> bool {
    let mut is_changed = false;
    for profile in reported {
        match known.binary_search_by_key(&profile.address, |known| known.address) {
            Ok(index) if known[index] == profile => {}
            Ok(index) => {
                known[index] = profile;
                is_changed = true;
            }
            Err(index) => {
                known.insert(index, profile);
                is_changed = true;
            }
        }
    }
    is_changed
}

/// Returns the rendezvous weight of a VM for a key.
fn weight(key: u64, address: SocketAddr) -> u64 {
    rendezvous_weight(key, &address.to_string())
}
