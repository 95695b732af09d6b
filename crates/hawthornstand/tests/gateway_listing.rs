//! Expiry of vanished entries, and which VMs read the store.

use std::time::Duration;

use hawthornstand::gateway::listing::{Listing, REREGISTRATION_TIMEOUT, expire, on_removal};
use hawthornstand::gateway::readers::{
    MAX_CONFIRMATION_AGE, READER_COUNT, SMALL_FLEET, should_read, start_delay,
};
use rstest::rstest;
use tokio::time::Instant;

const DRAIN: Duration = Duration::from_millis(3000);

#[test]
fn vanished_entry_expires_within_the_drain_time_if_the_store_was_reachable() {
    let start = Instant::now();
    let removed = start + Duration::from_secs(60);
    let listing = on_removal(Listing::Listed, removed, false);
    assert_eq!(expire(listing, removed, Some(start), DRAIN), listing);
    let later = removed + DRAIN.mul_f64(0.7);
    assert_eq!(expire(listing, later, Some(start), DRAIN), Listing::Leaving);
}

#[test]
fn lapsed_entry_is_kept_while_the_store_is_unreachable() {
    let now = Instant::now();
    let listing = on_removal(Listing::Listed, now, true);
    assert_eq!(expire(listing, now + Duration::from_secs(60), None, DRAIN), listing);
}

#[test]
fn lapsed_entry_expires_once_entries_had_time_to_come_back() {
    let now = Instant::now();
    let listing = on_removal(Listing::Listed, now, true);
    let reachable = now + Duration::from_secs(5);
    let before = reachable + REREGISTRATION_TIMEOUT - Duration::from_millis(1);
    assert_eq!(expire(listing, before, Some(reachable), DRAIN), listing);
    assert_eq!(
        expire(listing, reachable + REREGISTRATION_TIMEOUT, Some(reachable), DRAIN),
        Listing::Leaving
    );
}

#[test]
fn lapse_reported_by_another_vm_expires_if_this_vm_always_reached_the_store() {
    let start = Instant::now();
    let removed = start + Duration::from_secs(60);
    let listing = on_removal(Listing::Listed, removed, true);
    let later = removed + REREGISTRATION_TIMEOUT;
    assert_eq!(expire(listing, later, Some(start), DRAIN), Listing::Leaving);
}

/// Returns the addresses of a fleet.
fn fleet(size: usize) -> Vec<std::net::SocketAddr> {
    (0..size)
        .map(|index| ([10, 0, (index / 250) as u8, (index % 250) as u8], 8224).into())
        .collect()
}

/// Counts the VMs that read the store in a fleet whose VMs all know each other.
fn count_readers(size: usize, confirmation_age: Option<Duration>) -> usize {
    let all = fleet(size);
    let reads_store = |own: &std::net::SocketAddr| {
        let known: Vec<_> = all.iter().filter(|other| *other != own).copied().collect();
        should_read(*own, &known, confirmation_age, MAX_CONFIRMATION_AGE, false)
    };
    all.iter().filter(|own| reads_store(own)).count()
}

#[rstest]
#[case::small_fleet(SMALL_FLEET, Some(Duration::ZERO), SMALL_FLEET)]
#[case::large_fleet(70, Some(Duration::ZERO), READER_COUNT)]
#[case::design_size(1300, Some(Duration::ZERO), READER_COUNT)]
#[case::confirmation_too_old(70, Some(MAX_CONFIRMATION_AGE + Duration::from_millis(1)), 70)]
#[case::never_confirmed(70, None, 70)]
fn few_vms_read_the_store(
    #[case] size: usize,
    #[case] confirmation_age: Option<Duration>,
    #[case] expected: usize,
) {
    assert_eq!(count_readers(size, confirmation_age), expected);
}

/// Pattern: every VM of a fleet starts at once and knows only the seeds.
#[rstest]
#[case::confirmed_by_its_first_read(Some(Duration::ZERO), false)]
#[case::not_confirmed_yet(None, true)]
#[case::cut_off_from_the_others(Some(MAX_CONFIRMATION_AGE + Duration::from_millis(1)), true)]
fn vm_that_starts_leaves_further_reads_to_the_seeds(
    #[case] confirmation_age: Option<Duration>,
    #[case] expected: bool,
) {
    let all = fleet(4);
    let reads = should_read(all[0], &all[1..], confirmation_age, MAX_CONFIRMATION_AGE, true);
    assert_eq!(reads, expected);
}

#[test]
fn seeds_and_vms_without_seeds_read_from_their_start_on() {
    let all = fleet(4);
    assert_eq!(start_delay(all[0], &all[..3]), Duration::ZERO);
    assert_eq!(start_delay(all[3], &[]), Duration::ZERO);
    assert!(start_delay(all[3], &all[..3]) > Duration::ZERO);
}
