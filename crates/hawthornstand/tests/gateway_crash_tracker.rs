//! Which requests are refused because backend servers were lost while they ran.

use std::time::Duration;

use hawthornstand::gateway::crash_tracker::{CrashReport, CrashTracker};
use rstest::rstest;
use tokio::time::Instant;

const POISON: u64 = 7;

fn crashes(processes: &[u64]) -> CrashReport {
    CrashReport { fingerprint: POISON, processes: processes.to_vec() }
}

#[rstest]
#[case::two_processes(vec![vec![1], vec![2]], false)]
#[case::three_processes(vec![vec![1], vec![2], vec![3]], true)]
#[case::three_at_once(vec![vec![1, 2, 3]], true)]
#[case::one_process_told_three_times(vec![vec![1], vec![1], vec![1]], false)]
fn third_process_lost_decides(#[case] told: Vec<Vec<u64>>, #[case] refused: bool) {
    let (crash_tracker, now) = (CrashTracker::default(), Instant::now());
    for processes in told {
        crash_tracker.record(&crashes(&processes), now);
    }
    assert_eq!(crash_tracker.remaining_refusal(POISON, now).is_some(), refused);
    assert_eq!(crash_tracker.remaining_refusal(POISON + 1, now), None);
}

#[test]
fn request_that_was_answered_is_innocent() {
    let (crash_tracker, now) = (CrashTracker::default(), Instant::now());
    crash_tracker.record(&crashes(&[1, 2]), now);
    crash_tracker.record_answered(POISON);
    assert!(!crash_tracker.record(&crashes(&[3, 4, 5]), now));
    assert_eq!(crash_tracker.remaining_refusal(POISON, now), None);
}

#[test]
fn refusal_ends_and_lasts_twice_as_long_after_another_crash() {
    let (crash_tracker, start) = (CrashTracker::default(), Instant::now());
    crash_tracker.record(&crashes(&[1, 2, 3]), start);
    let first = crash_tracker.remaining_refusal(POISON, start).expect("refused");
    let ended = start + first;
    assert_eq!(crash_tracker.remaining_refusal(POISON, ended), None);
    crash_tracker.record(&crashes(&[4]), ended);
    assert_eq!(crash_tracker.remaining_refusal(POISON, ended), Some(2 * first));
}

#[test]
fn crashes_are_told_once_and_to_newcomers() {
    let (crash_tracker, now) = (CrashTracker::default(), Instant::now());
    let mut news = crash_tracker.subscribe();
    assert!(crash_tracker.record(&crashes(&[1, 2]), now));
    assert!(!crash_tracker.record(&crashes(&[2, 1]), now));
    assert_eq!(news.try_recv().ok(), Some(crashes(&[1, 2])));
    assert!(news.try_recv().is_err());
    assert_eq!(crash_tracker.reports(), [crashes(&[1, 2])]);
}

#[test]
fn table_is_bounded_and_forgets_the_oldest() {
    let (crash_tracker, start) = (CrashTracker::default(), Instant::now());
    for fingerprint in 1..=1000 {
        let crashes = CrashReport { fingerprint, processes: vec![1, 2, 3] };
        crash_tracker.record(&crashes, start + Duration::from_millis(fingerprint));
    }
    let end = start + Duration::from_secs(2);
    assert!(crash_tracker.reports().len() < 1000);
    assert_eq!(crash_tracker.remaining_refusal(1, end), None);
    assert!(crash_tracker.remaining_refusal(1000, end).is_some());
}
