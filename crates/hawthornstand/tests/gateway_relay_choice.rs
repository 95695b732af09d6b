//! Which VMs search the shards for others, and which of them a VM uses.

use std::net::SocketAddr;

use hawthornstand::gateway::relays::choice::{self, VmProfile, relays_per_region};
use hawthornstand::gateway::settings::Location;
use rstest::rstest;

/// Returns the location of a VM in failure domain a of region east, which also has b; c and d are in region west.
fn location() -> Location {
    let regions = [("a", "east"), ("b", "east"), ("c", "west"), ("d", "west")];
    Location {
        failure_domain: "a".to_string(),
        region: "east".to_string(),
        regions: regions.map(|(domain, region)| (domain.to_string(), region.to_string())).to_vec(),
    }
}

fn address(number: u8) -> SocketAddr {
    ([10, 0, 0, number], 8224).into()
}

fn profile(number: u8, cpu_millicores: u32, failure_domain: &str) -> VmProfile {
    VmProfile { address: address(number), cpu_millicores, failure_domain: failure_domain.into() }
}

#[rstest]
#[case::hundreds_of_vms(195, 3, 62, 7)]
#[case::dozens_of_vms(59, 3, 31, 4)]
#[case::few_connections_allowed(1300, 3, 12, 4)]
#[case::no_connections_to_share(59, 3, 0, 0)]
fn a_tenth_of_the_vms_are_relays(
    #[case] fleet_size: usize,
    #[case] regions: usize,
    #[case] max_relays: usize,
    #[case] expected: usize,
) {
    assert_eq!(relays_per_region(fleet_size, regions, max_relays), expected);
}

#[test]
fn vms_with_the_most_processor_time_are_the_first_relays_of_their_region() {
    let profiles =
        [profile(1, 120, "a"), profile(2, 500, "b"), profile(3, 120, "b"), profile(4, 500, "c")];
    let ranked = choice::rank(&profiles, &location(), "east");
    assert_eq!(ranked[0].address, address(2));
    assert_eq!(ranked.len(), 3, "a VM of another region is not ranked");
}

#[test]
fn every_vm_ranks_the_relays_of_a_region_alike() {
    let mut profiles: Vec<VmProfile> = (1..=40).map(|number| profile(number, 120, "a")).collect();
    let first: Vec<SocketAddr> =
        choice::rank(&profiles, &location(), "east").iter().map(|relay| relay.address).collect();
    profiles.reverse();
    let second: Vec<SocketAddr> =
        choice::rank(&profiles, &location(), "east").iter().map(|relay| relay.address).collect();
    assert_eq!(first, second);
}

/// Pattern: the VMs of a region send every search to its relays.
#[test]
fn relays_of_a_failure_domain_share_its_searches() {
    let relays: Vec<VmProfile> =
        (1..=6).map(|number| profile(number, 500, if number < 4 { "a" } else { "b" })).collect();
    let relays: Vec<&VmProfile> = relays.iter().collect();
    let mut firsts = [0; 7];
    for number in 100..200 {
        let order = choice::order(address(number), &location(), &relays);
        assert_eq!(order.len(), 6);
        let SocketAddr::V4(first) = order[0] else { panic!("an IPv4 address") };
        firsts[usize::from(first.ip().octets()[3])] += 1;
    }
    assert_eq!(firsts[4..], [0, 0, 0], "relays of another failure domain come later");
    assert!(firsts[1..4].iter().all(|count| *count > 15), "{firsts:?}");
}

#[test]
fn relay_does_not_use_itself() {
    let relays = [profile(1, 500, "a"), profile(2, 500, "a")];
    let relays: Vec<&VmProfile> = relays.iter().collect();
    assert_eq!(choice::order(address(1), &location(), &relays), [address(2)]);
}

#[test]
fn vm_reports_the_best_relays_of_each_region_and_itself() {
    let mut profiles: Vec<VmProfile> = Vec::new();
    for number in 1..=60 {
        profiles.push(profile(
            number,
            100 + u32::from(number),
            if number % 2 == 0 { "a" } else { "c" },
        ));
    }
    let reported = choice::reported(&profiles, &location(), address(1));
    assert_eq!(reported.len(), 33);
    assert!(reported.contains(&profiles[0]), "its own profile");
    assert!(reported.contains(&profiles[59]) && reported.contains(&profiles[58]));
    assert!(!reported.contains(&profiles[2]));
}

#[test]
fn later_profile_of_a_vm_replaces_the_earlier_one() {
    let mut known = vec![profile(1, 120, "a")];
    assert!(!choice::merge(&mut known, vec![profile(1, 120, "a")]));
    assert!(choice::merge(&mut known, vec![profile(1, 500, "a"), profile(2, 120, "b")]));
    assert_eq!(known, [profile(1, 500, "a"), profile(2, 120, "b")]);
}
