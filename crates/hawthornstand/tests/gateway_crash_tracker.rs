//! Which requests are refused because backend servers crashed while they ran.

use std::time::Duration;

use hawthornstand::gateway::crash_tracker::{Admission, CrashReport, CrashTracker};
use rstest::rstest;
use tokio::time::Instant;

/// Fingerprint of a request that crashes backend servers.
const CRASHING: u64 = 7;

fn report(processes: &[u64]) -> CrashReport {
    CrashReport { fingerprint: CRASHING, processes: processes.to_vec(), ..CrashReport::default() }
}

#[rstest]
#[case::two_processes(vec![vec![1], vec![2]], false)]
#[case::three_processes(vec![vec![1], vec![2], vec![3]], true)]
#[case::three_at_once(vec![vec![1, 2, 3]], true)]
#[case::one_process_reported_three_times(vec![vec![1], vec![1], vec![1]], false)]
fn third_crashed_process_leads_to_refusal(#[case] reported: Vec<Vec<u64>>, #[case] refused: bool) {
    let (crash_tracker, now) = (CrashTracker::default(), Instant::now());
    for processes in reported {
        crash_tracker.record(&report(&processes), now);
    }
    assert_eq!(crash_tracker.remaining_refusal(CRASHING, now).is_some(), refused);
    assert_eq!(crash_tracker.remaining_refusal(CRASHING + 1, now), None);
}

/// Returns the report of a process that may have ended together with others.
fn with_common_cause(process: u64, age: Duration) -> CrashReport {
    let age_ms = age.as_millis() as u64;
    CrashReport { age_ms, has_common_cause: true, ..report(&[process]) }
}

/// Guards against a request that crashes servers for ever where others happen to end as well.
#[test]
fn crashes_that_may_have_a_common_cause_count_one_by_one() {
    let (crash_tracker, start) = (CrashTracker::default(), Instant::now());
    for process in 1..4 {
        let now = start + Duration::from_millis(2500) * process as u32;
        assert_eq!(crash_tracker.remaining_refusal(CRASHING, now), None);
        assert!(crash_tracker.record(&with_common_cause(process, Duration::ZERO), now));
    }
    let now = start + Duration::from_secs(8);
    assert!(crash_tracker.remaining_refusal(CRASHING, now).is_some());
}

/// Guards against refusing a request because a failure domain lost its power while callers left: whichever VMs report the
/// processes, and however late.
#[test]
fn processes_that_may_have_ended_together_count_once() {
    let (crash_tracker, cut) = (CrashTracker::default(), Instant::now());
    for process in 1..20 {
        let late = Duration::from_millis(100) * process as u32;
        let age = late.saturating_sub(Duration::from_millis(process * 37 % 500));
        crash_tracker.record(&with_common_cause(process, age), cut + late);
    }
    assert_eq!(crash_tracker.remaining_refusal(CRASHING, cut + Duration::from_secs(2)), None);
    let [known] = &crash_tracker.reports(cut)[..] else { panic!("one request is suspected") };
    assert_eq!(known.processes.len(), 1);
}

#[test]
fn answered_request_is_not_suspected() {
    let (crash_tracker, now) = (CrashTracker::default(), Instant::now());
    crash_tracker.record(&report(&[1, 2]), now);
    crash_tracker.record_answered(CRASHING, now);
    assert!(!crash_tracker.record(&report(&[3, 4, 5]), now));
    assert_eq!(crash_tracker.remaining_refusal(CRASHING, now), None);
}

/// A request that was answered once, for instance before a release, could crash servers as often as it came.
#[test]
fn answer_of_long_ago_does_not_keep_crashes_from_being_counted() {
    let (crash_tracker, start) = (CrashTracker::default(), Instant::now());
    crash_tracker.record_answered(CRASHING, start);
    let later = start + Duration::from_secs(5);
    assert!(crash_tracker.record(&report(&[1, 2, 3]), later));
    assert!(crash_tracker.remaining_refusal(CRASHING, later).is_some());
}

#[test]
fn refusal_ends_and_lasts_twice_as_long_after_another_crash() {
    let (crash_tracker, start) = (CrashTracker::default(), Instant::now());
    crash_tracker.record(&report(&[1, 2, 3]), start);
    let first = crash_tracker.remaining_refusal(CRASHING, start).expect("refused");
    let ended = start + first;
    assert_eq!(crash_tracker.remaining_refusal(CRASHING, ended), None);
    crash_tracker.record(&report(&[4]), ended);
    assert_eq!(crash_tracker.remaining_refusal(CRASHING, ended), Some(2 * first));
}

/// After a refusal, all requests that waited reached backend servers before the first one's crash was reported.
#[test]
fn one_request_at_a_time_is_tried_after_a_refusal() {
    let (crash_tracker, start) = (CrashTracker::default(), Instant::now());
    assert_eq!(crash_tracker.admit(CRASHING, start), Admission::Admitted);
    crash_tracker.record(&report(&[1, 2, 3]), start);
    let remaining = crash_tracker.remaining_refusal(CRASHING, start).expect("refused");
    assert_eq!(crash_tracker.admit(CRASHING, start), Admission::Refused { remaining });
    let ended = start + remaining;
    assert_eq!(crash_tracker.admit(CRASHING, ended), Admission::Trial);
    assert!(matches!(crash_tracker.admit(CRASHING, ended), Admission::Refused { .. }));
    crash_tracker.record_answered(CRASHING, ended);
    assert_eq!(crash_tracker.admit(CRASHING, ended), Admission::Admitted);
}

/// A server that fails or hangs on the request instead of ending let one trial after the other through.
#[test]
fn trial_without_success_refuses_the_request_again_at_every_vm() {
    let (first, second, start) = (CrashTracker::default(), CrashTracker::default(), Instant::now());
    let mut reports = first.subscribe();
    for vm in [&first, &second] {
        vm.record(&report(&[1, 2, 3]), start);
    }
    let ended = start + first.remaining_refusal(CRASHING, start).expect("refused");
    assert_eq!(first.admit(CRASHING, ended), Admission::Trial);
    first.record_failed_trial(CRASHING, ended);
    while let Ok(report) = reports.try_recv() {
        second.record(&report, ended);
    }
    for vm in [&first, &second] {
        assert_eq!(vm.remaining_refusal(CRASHING, ended), Some(Duration::from_secs(120)));
    }
}

/// A refusal ended at all VMs of a fleet at the same moment, and each let the request through.
#[test]
fn few_vms_try_a_request_before_a_report_of_its_crash_reaches_all() {
    const FLEET: u64 = 70;
    let (start, report_time) = (Instant::now(), Duration::from_millis(300));
    let fleet: Vec<CrashTracker> = (0..FLEET).map(CrashTracker::with_jitter_seed).collect();
    for crash_tracker in &fleet {
        crash_tracker.set_fleet_size(FLEET as usize);
        crash_tracker.record(&report(&[1, 2, 3]), start);
    }
    let mut trials: Vec<Instant> = Vec::new();
    let mut now = start;
    while trials.first().is_none_or(|first| now < *first + report_time) {
        let tries = fleet.iter().filter(|vm| vm.admit(CRASHING, now) == Admission::Trial);
        trials.extend(tries.map(|_| now));
        now += Duration::from_millis(25);
    }
    assert!(trials.len() <= 3, "{} VMs", trials.len());
    assert!(trials[0] < start + Duration::from_secs(65), "a sound request is soon let through");
}

#[test]
fn new_reports_are_sent_once_and_known_ones_stay_listed() {
    let (crash_tracker, now) = (CrashTracker::default(), Instant::now());
    let mut new_reports = crash_tracker.subscribe();
    assert!(crash_tracker.record(&report(&[1, 2]), now));
    assert!(!crash_tracker.record(&report(&[2, 1]), now));
    assert_eq!(new_reports.try_recv().ok(), Some(report(&[1, 2])));
    assert!(new_reports.try_recv().is_err());
    assert_eq!(crash_tracker.reports(now), [report(&[1, 2])]);
}

#[test]
fn table_is_bounded_and_drops_the_oldest() {
    let (crash_tracker, start) = (CrashTracker::default(), Instant::now());
    for fingerprint in 1..=1000 {
        let report =
            CrashReport { fingerprint, processes: vec![1, 2, 3], ..CrashReport::default() };
        crash_tracker.record(&report, start + Duration::from_millis(fingerprint));
    }
    let end = start + Duration::from_secs(2);
    assert!(crash_tracker.reports(end).len() < 1000);
    assert_eq!(crash_tracker.remaining_refusal(1, end), None);
    assert!(crash_tracker.remaining_refusal(1000, end).is_some());
}

/// A VM that started during a refusal counted it from its own start, and for the first time.
#[test]
fn vm_that_learns_of_a_refusal_ends_it_with_the_others() {
    let (first, second, start) = (CrashTracker::default(), CrashTracker::default(), Instant::now());
    first.record(&report(&[1, 2, 3]), start);
    let ended = start + Duration::from_secs(60);
    first.record(&report(&[4]), ended);
    let later = ended + Duration::from_secs(50);
    for report in first.reports(later) {
        second.record(&report, later);
    }
    assert_eq!(first.remaining_refusal(CRASHING, later), Some(Duration::from_secs(70)));
    assert_eq!(second.remaining_refusal(CRASHING, later), Some(Duration::from_secs(70)));
}

/// Many requests that crashed one server each made a VM forget the request that it refused.
#[test]
fn refused_request_is_remembered_before_others() {
    let (crash_tracker, start) = (CrashTracker::default(), Instant::now());
    crash_tracker.record(&report(&[1, 2, 3]), start);
    for fingerprint in 100..1000 {
        let other = CrashReport { fingerprint, processes: vec![9], ..CrashReport::default() };
        crash_tracker.record(&other, start + Duration::from_millis(fingerprint));
    }
    assert!(crash_tracker.remaining_refusal(CRASHING, start + Duration::from_secs(2)).is_some());
}

/// Crashes of different hours, each a coincidence, added up until the request was refused.
#[test]
fn crashes_of_long_ago_do_not_count() {
    let (crash_tracker, start) = (CrashTracker::default(), Instant::now());
    crash_tracker.record(&report(&[1, 2]), start);
    let later = start + Duration::from_secs(2 * 3600);
    crash_tracker.record(&report(&[3]), later);
    assert_eq!(crash_tracker.remaining_refusal(CRASHING, later), None);
}
