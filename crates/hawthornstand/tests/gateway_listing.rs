//! What a vanished entry means, and when it is believed.

use std::time::Duration;

use hawthornstand::gateway::listing::{Listing, REREGISTRATION_TIMEOUT, expire, on_removal};
use hawthornstand::gateway::readers::{
    MAX_CONFIRMATION_AGE, READER_COUNT, SMALL_FLEET, should_read,
};
use rstest::rstest;
use tokio::time::Instant;

const DRAIN: Duration = Duration::from_millis(3000);

#[test]
fn removal_is_believed_in_time_for_draining_where_the_store_was_never_lost() {
    let start = Instant::now();
    let removed = start + Duration::from_secs(60);
    let listing = on_removal(removed, false);
    assert_eq!(expire(listing, removed, Some(start), DRAIN), listing);
    let later = removed + DRAIN.mul_f64(0.7);
    assert_eq!(expire(listing, later, Some(start), DRAIN), Listing::Leaving);
}

#[test]
fn lapse_is_forgiven_while_the_store_is_away() {
    let now = Instant::now();
    let listing = on_removal(now, true);
    assert_eq!(expire(listing, now + Duration::from_secs(60), None, DRAIN), listing);
}

#[test]
fn lapse_is_believed_once_entries_had_time_to_come_back() {
    let now = Instant::now();
    let listing = on_removal(now, true);
    let back = now + Duration::from_secs(5);
    let before = back + REREGISTRATION_TIMEOUT - Duration::from_millis(1);
    assert_eq!(expire(listing, before, Some(back), DRAIN), listing);
    assert_eq!(expire(listing, back + REREGISTRATION_TIMEOUT, Some(back), DRAIN), Listing::Leaving);
}

#[test]
fn removal_learnt_from_another_vm_is_believed_by_one_that_never_lost_the_store() {
    let start = Instant::now();
    let removed = start + Duration::from_secs(60);
    let listing = on_removal(removed, true);
    let later = removed + REREGISTRATION_TIMEOUT;
    assert_eq!(expire(listing, later, Some(start), DRAIN), Listing::Leaving);
}

/// Returns a fleet's addresses.
fn fleet(size: usize) -> Vec<std::net::SocketAddr> {
    (0..size)
        .map(|index| ([10, 0, (index / 250) as u8, (index % 250) as u8], 8224).into())
        .collect()
}

/// Counts the readers of a fleet whose VMs all know each other.
fn readers_of(size: usize, age: Option<Duration>) -> usize {
    let all = fleet(size);
    let reads_store = |own: &std::net::SocketAddr| {
        let known: Vec<_> = all.iter().filter(|other| *other != own).copied().collect();
        should_read(*own, &known, age)
    };
    all.iter().filter(|own| reads_store(own)).count()
}

#[rstest]
#[case::small_fleet(SMALL_FLEET, Some(Duration::ZERO), SMALL_FLEET)]
#[case::large_fleet(70, Some(Duration::ZERO), READER_COUNT)]
#[case::design_size(1300, Some(Duration::ZERO), READER_COUNT)]
#[case::readers_gone(70, Some(MAX_CONFIRMATION_AGE + Duration::from_millis(1)), 70)]
#[case::nothing_known(70, None, 70)]
fn a_few_vms_read_the_store(
    #[case] size: usize,
    #[case] age: Option<Duration>,
    #[case] expected: usize,
) {
    assert_eq!(readers_of(size, age), expected);
}
