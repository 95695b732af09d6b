//! Limits: division of connections, retry budget, admission, quarantine, connection rate, tickets.

mod support;

use std::sync::Arc;
use std::time::Duration;

use hawthornstand::backends::connection_groups::{group_members, split_connections};
use hawthornstand::bookings::ticket_store::{Redemption, TicketStore};
use hawthornstand::configuration::published::{Fleet, ServicePriority};
use hawthornstand::fleet::overlay::neighbours;
use hawthornstand::messages::{Outcome, PeerVm};
use hawthornstand::policy::admission::ConcurrencyLimiter;
use hawthornstand::policy::budget::RetryBudget;
use hawthornstand::policy::quarantine::{Quarantine, QuarantineStatus};
use hawthornstand::settings::{AdmissionSettings, BookingSettings, BudgetSettings};
use rstest::rstest;
use support::FakeClock;
use tokio::time::Instant;

fn fleet(planned_vms: u64, replaced_at_once: u64) -> Fleet {
    Fleet { block_shards: 150, name: "test".to_string(), planned_vms, replaced_at_once }
}

#[rstest]
#[case::kadeh_desk(9, 3, 25)]
#[case::kadeh_portal(9, 3, 110)]
#[case::krtacka_desk(8, 3, 30)]
#[case::krtacka_owners(8, 3, 45)]
#[case::limit_equals_fleet(9, 3, 12)]
#[case::limit_below_fleet(9, 3, 11)]
#[case::tiny_limit(9, 3, 2)]
#[case::design_size(1300, 4, 25)]
#[case::design_size_large_leaf(1300, 4, 110)]
fn connections_of_all_vms_stay_below_the_limit(
    #[case] vms: u64,
    #[case] replaced: u64,
    #[case] limit: u64,
) {
    let division = split_connections(&fleet(vms, replaced), limit);
    assert!(division.group_size > 0 && division.connections_per_vm > 0);
    // Replaced VMs may still hold connections while their replacements open theirs.
    let most = (division.group_size + replaced.min(limit - 1)) * division.connections_per_vm;
    assert!(most <= limit, "{most} connections at a limit of {limit}");
    insta::assert_snapshot!(
        format!("division_{vms}_{limit}"),
        format!(
            "{} VMs with {} connections each",
            division.group_size, division.connections_per_vm
        )
    );
}

fn vms(count: usize) -> Vec<PeerVm> {
    let vm = |number: usize| PeerVm {
        address: String::new(),
        entry: true,
        failure_domain: String::new(),
        id: format!("vm-{number:04}"),
        leaving: false,
        region: String::new(),
    };
    (0..count).map(vm).collect()
}

#[test]
fn connection_groups_are_computed_once_for_a_configuration_and_a_list() {
    let (context, _) = support::context(
        4,
        2,
        &[1],
        "",
        Box::new(|_, search| (Duration::ZERO, Ok(support::answer(search)))),
    );
    let accepted = context.config.accepted().expect("accepted");
    let first = context.connection_groups(&accepted);
    assert!(first.blocks.iter().all(|block| block.includes_own_vm));
    assert!(Arc::ptr_eq(&first, &context.connection_groups(&accepted)));
    context.config.apply_list(hawthornstand::messages::PeerVmList { revision: 1, vms: vms(3) });
    let second = context.connection_groups(&accepted);
    assert_eq!(second.blocks[0].vm_ids.len(), 3);
    assert!(Arc::ptr_eq(&second, &context.connection_groups(&accepted)));
}

#[test]
fn a_lost_vm_changes_each_group_by_one_member_at_most() {
    let all = vms(200);
    let full: Vec<&PeerVm> = all.iter().collect();
    let without: Vec<&PeerVm> = all.iter().filter(|vm| vm.id != "vm-0042").collect();
    for block in 0..100 {
        let (before, after) = (group_members(21, block, &full), group_members(21, block, &without));
        let stayed = before.iter().filter(|id| after.contains(id)).count();
        assert!(stayed >= 20, "block {block}: only {stayed} members stayed");
    }
}

#[test]
fn gossip_reaches_every_vm_in_few_hops() {
    let mut hops = Vec::new();
    for count in [3, 9, 81, 1300] {
        let all = vms(count);
        let list: Vec<&PeerVm> = all.iter().collect();
        let mut distance = vec![usize::MAX; count];
        distance[0] = 0;
        let mut queue = std::collections::VecDeque::from([0]);
        while let Some(at) = queue.pop_front() {
            for id in neighbours(&list, &all[at].id) {
                let next: usize = id[3..].parse().expect("a number");
                if distance[next] == usize::MAX {
                    distance[next] = distance[at] + 1;
                    queue.push_back(next);
                }
            }
        }
        let links = neighbours(&list, &all[0].id).len();
        hops.push(format!(
            "{count} VMs: {} hops, {links} links dialed",
            distance.iter().max().expect("some")
        ));
    }
    insta::assert_snapshot!(hops.join("\n"));
}

#[tokio::test(start_paused = true)]
async fn extra_attempts_stay_within_their_share_of_any_window() {
    let settings = BudgetSettings { extra_percent: 5, min_extra_per_window: 0, window_ms: 10_000 };
    let budget = RetryBudget::new(settings, Instant::now());
    let mut taken: Vec<Instant> = Vec::new();
    let mut first: Vec<Instant> = Vec::new();
    for step in 0..30_000u64 {
        let now = Instant::now();
        // The request rate falls by 90% halfway; attempts earned at the old rate must not exceed the share of a
        // later window.
        if step < 15_000 || step % 10 == 0 {
            budget.record_first_attempts(now, 1);
            first.push(now);
        }
        if budget.try_take(now) {
            taken.push(now);
            let since = |list: &[Instant]| {
                list.iter().filter(|at| now - **at < Duration::from_secs(10)).count()
            };
            assert!(since(&taken) * 100 <= since(&first) * 5 + 100, "step {step}");
        }
        tokio::time::advance(Duration::from_millis(1)).await;
    }
    assert!(taken.len() >= 700, "the budget is usable: {}", taken.len());
}

#[tokio::test(start_paused = true)]
async fn bulk_queries_leave_room_for_interactive_ones() {
    let settings = AdmissionSettings {
        initial_limit: 10,
        bulk_share_percent: 50,
        ..AdmissionSettings::default()
    };
    let admission = ConcurrencyLimiter::new(settings);
    let mut bulk = Vec::new();
    while let Ok(permit) = admission.try_acquire(ServicePriority::Bulk, Instant::now()) {
        bulk.push(permit);
    }
    assert_eq!(bulk.len(), 5);
    let mut interactive = Vec::new();
    while let Ok(permit) = admission.try_acquire(ServicePriority::Interactive, Instant::now()) {
        interactive.push(permit);
    }
    assert_eq!(interactive.len(), 5);
    let refused = admission
        .try_acquire(ServicePriority::Interactive, Instant::now())
        .err()
        .expect("a refusal");
    insta::assert_json_snapshot!(refused.to_refusal());
}

#[tokio::test(start_paused = true)]
async fn the_concurrency_limit_shrinks_when_calls_slow_down_and_recovers() {
    let admission = ConcurrencyLimiter::new(AdmissionSettings::default());
    let run = async |slowdown_percent: u64, rounds: usize| {
        for _ in 0..rounds {
            let mut permits = Vec::new();
            while let Ok(permit) =
                admission.try_acquire(ServicePriority::Interactive, Instant::now())
            {
                permits.push(permit);
            }
            tokio::time::advance(Duration::from_millis(100)).await;
            for permit in permits {
                permit.finish(Instant::now(), false, slowdown_percent);
            }
        }
        admission.usage().0
    };
    let unloaded = run(120, 20).await;
    let loaded = run(300, 20).await;
    let recovered = run(120, 200).await;
    assert!(unloaded > 32.0, "{unloaded}");
    assert!(loaded < unloaded / 2.0, "{loaded} after {unloaded}");
    assert!(recovered > loaded, "{recovered} after {loaded}");
}

#[tokio::test(start_paused = true)]
async fn a_quarantined_request_is_not_cleared_and_expires() {
    let quarantine = Quarantine::default();
    let (now, ttl) = (Instant::now(), Duration::from_secs(10));
    assert!(quarantine.mark_suspect(1, &"b".to_string(), ttl, now));
    assert!(quarantine.mark_suspect(1, &"a".to_string(), ttl, now), "the smaller owner wins");
    assert!(!quarantine.mark_suspect(1, &"c".to_string(), ttl, now));
    assert_eq!(quarantine.status(1, now), QuarantineStatus::Suspect { owner: "a".to_string() });
    assert!(quarantine.mark_quarantined(1, ttl, now));
    assert!(!quarantine.clear_suspect(1));
    assert!(!quarantine.mark_suspect(1, &"a".to_string(), ttl, now));
    assert_eq!(quarantine.status(1, now), QuarantineStatus::Quarantined { retry_after: ttl });
    assert_eq!(quarantine.status(1, now + ttl), QuarantineStatus::Clear);
}

#[tokio::test(start_paused = true)]
async fn connections_open_at_a_bounded_rate() {
    let rate = hawthornstand::backends::connect_rate_limiter::ConnectRateLimiter::new(100);
    let started = Instant::now();
    for _ in 0..300 {
        rate.wait().await;
    }
    let took = started.elapsed();
    assert!(took >= Duration::from_millis(2800) && took <= Duration::from_millis(3100), "{took:?}");
}

fn ticket_store(max_outcomes: u64) -> (TicketStore, Arc<FakeClock>) {
    let clock = Arc::new(FakeClock::default());
    let settings = BookingSettings { default_timeout_ms: 1000, max_outcomes, ticket_ttl_ms: 1000 };
    (TicketStore::new("test", "entry-1", 7, settings, &*clock), clock)
}

#[tokio::test(start_paused = true)]
async fn a_ticket_runs_once_and_refusals_state_whether_the_request_ran() {
    let (ticket_store, clock) = ticket_store(2);
    let first = ticket_store.issue(&*clock);
    assert!(matches!(ticket_store.redeem(&first, 1, &*clock), Ok(Redemption::Run(..))));
    assert!(matches!(ticket_store.redeem(&first, 1, &*clock), Ok(Redemption::Joined(_))));
    let mut lines = Vec::new();
    let mut refused = |name: &str, result: Result<Redemption, hawthornstand::error::Failure>| {
        let failure = result.err().expect("a refusal");
        lines.push(format!("{name}: {:?}, outcome {}", failure.kind, failure.outcome));
    };
    refused("other request", ticket_store.redeem(&first, 2, &*clock));
    let second = ticket_store.issue(&*clock);
    assert!(matches!(ticket_store.redeem(&second, 1, &*clock), Ok(Redemption::Run(..))));
    let third = ticket_store.issue(&*clock);
    refused("too many outcomes", ticket_store.redeem(&third, 1, &*clock));
    let mut forged = third.clone();
    forged.expires_unix_ms += 1;
    refused("forged", ticket_store.redeem(&forged, 1, &*clock));
    clock.advance_ms(1000);
    refused("expired a moment ago", ticket_store.redeem(&third, 1, &*clock));
    clock.advance_ms(1000);
    refused("expired long ago", ticket_store.redeem(&third, 1, &*clock));
    assert!(
        matches!(ticket_store.redeem(&first, 1, &*clock), Ok(Redemption::Joined(_))),
        "its outcome is remembered"
    );
    insta::assert_snapshot!(lines.join("\n"));
}

#[tokio::test(start_paused = true)]
async fn a_ticket_expires_although_the_wall_clock_is_set_back() {
    let (ticket_store, clock) = ticket_store(10);
    let ticket = ticket_store.issue(&*clock);
    tokio::time::advance(Duration::from_millis(999)).await;
    assert!(!ticket_store.is_expired(&ticket, &*clock));
    tokio::time::advance(Duration::from_millis(1)).await;
    assert!(ticket_store.is_expired(&ticket, &*clock));
}

#[tokio::test(start_paused = true)]
async fn a_refused_run_lets_the_same_ticket_run_again() {
    let (ticket_store, clock) = ticket_store(10);
    let ticket = ticket_store.issue(&*clock);
    let Ok(Redemption::Run(sender, _)) = ticket_store.redeem(&ticket, 1, &*clock) else {
        panic!("unspent")
    };
    let refusal =
        hawthornstand::error::Failure::new(hawthornstand::error::ErrorKind::NoReplica, "none");
    assert_eq!(refusal.outcome, Outcome::NotRun);
    sender.send_replace(Some(Err(refusal)));
    assert!(matches!(ticket_store.redeem(&ticket, 1, &*clock), Ok(Redemption::Run(..))));
    assert!(matches!(ticket_store.redeem(&ticket, 1, &*clock), Ok(Redemption::Joined(_))));
}

#[test]
fn extra_attempt_that_was_not_sent_is_refunded() {
    let now = Instant::now();
    let settings = BudgetSettings { extra_percent: 20, min_extra_per_window: 2, window_ms: 10_000 };
    let budget = RetryBudget::new(settings, now);
    assert!(budget.try_take(now) && budget.try_take(now));
    let later = now + Duration::from_secs(3);
    assert!(!budget.try_take(later));
    budget.refund(later);
    assert_eq!(budget.usage(later), (0, 1));
    assert!(budget.try_take(later) && !budget.try_take(later));
    budget.refund(now + Duration::from_secs(60));
    assert_eq!(budget.usage(later), (0, 2), "what has left the window stays spent");
}
