//! Load patterns of heavy days on what decides where work goes, without a network; named after the pattern.

#[path = "support/gateway.rs"]
mod gateway_support;

use std::sync::Arc;
use std::time::Duration;

use gateway_support::published_server;
use hawthornstand::gateway::model::PublishedServer;
use hawthornstand::gateway::pool::Pool;
use hawthornstand::gateway::server::{Proximity, Server};
use hawthornstand::gateway::server_selection;
use hawthornstand::gateway::service_time::ServiceTime;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use tokio::time::Instant;

/// A round trip to another region.
const DISTANCE: Duration = Duration::from_millis(24);
/// Time of a request at a backend server.
const WORK: Duration = Duration::from_millis(20);

fn replica(id: &str, proximity: Proximity, usual: Arc<ServiceTime>) -> Server {
    let published = PublishedServer { slots: 3, ..published_server(id) };
    let address = published.address;
    Server::new(published, proximity, Pool::new(address, 8, Arc::default()), usual)
}

/// A shard as one VM meets it: a replica nearby and two in other regions.
fn shard() -> [Server; 3] {
    let usual = Arc::<ServiceTime>::default();
    [
        replica("i-near", Proximity::SameFailureDomain, Arc::clone(&usual)),
        replica("i-far", Proximity::OtherRegion, Arc::clone(&usual)),
        replica("i-farther", Proximity::OtherRegion, usual),
    ]
}

/// Returns the index of the replica that the next attempt goes to, among those not asked yet.
fn next(servers: &[Server; 3], asked: &[usize], now: Instant) -> Option<usize> {
    let candidates: Vec<_> = servers
        .iter()
        .enumerate()
        .map(|(index, server)| (!asked.contains(&index)).then(|| server.candidate(now)))
        .collect();
    server_selection::select(&candidates, 0)
}

/// Attempts beyond the first that requests need until one is served, at 20 requests a second.
fn extra_attempts(shed: [f64; 3], requests: u32) -> u32 {
    let servers = shard();
    let mut random = StdRng::seed_from_u64(18);
    let start = Instant::now();
    let mut extra = 0;
    for request in 0..requests {
        let now = start + Duration::from_millis(50) * request;
        let mut asked = Vec::new();
        while let Some(index) = next(&servers, &asked, now) {
            asked.push(index);
            if random.random_bool(shed[index]) {
                servers[index].record_full(now);
                continue;
            }
            let far = servers[index].proximity == Proximity::OtherRegion;
            let time = if far { WORK + DISTANCE } else { WORK };
            servers[index].record_answer(time, false, now);
            break;
        }
        extra += asked.len() as u32 - 1;
    }
    extra
}

/// A replica that turns a part of its requests away is left while another takes all of them: the retries of
/// a service may be a fifth of its requests.
#[test]
fn shed_across_two_of_three_replicas() {
    let requests = 9 * 20;
    let extra = extra_attempts([0.6, 0.6, 0.0], requests);
    assert!(extra <= requests / 5, "{extra} extra attempts for {requests} requests");
}

/// Backend servers of long requests are replaced one after the other, or a fleet starts: one that has answered
/// nothing yet is not called silent before its service's usual time is over.
#[rstest]
#[case::start_of_a_fleet(None, 100)]
#[case::release(Some(160), 160)]
fn release_of_servers_with_long_requests(#[case] measured_ms: Option<u64>, #[case] usual_ms: u64) {
    let usual = Arc::<ServiceTime>::default();
    usual.assume_from_target(Duration::from_millis(800));
    if let Some(work_ms) = measured_ms {
        let known = replica("i-known", Proximity::SameRegion, Arc::clone(&usual));
        let time = Duration::from_millis(work_ms) + Proximity::SameRegion.round_trip();
        known.record_answer(time, false, Instant::now());
    }
    let fresh = replica("i-new", Proximity::SameFailureDomain, usual);
    assert!(
        fresh.overdue_after() > Duration::from_millis(usual_ms),
        "overdue after {:?}",
        fresh.overdue_after()
    );
    assert_eq!(fresh.candidate(Instant::now()).expected_latency, Duration::from_millis(usual_ms));
}

/// A replica nearby that is full for a moment now and then stays the first choice.
#[test]
fn full_now_and_then() {
    let servers = shard();
    let start = Instant::now();
    for request in 0..40 {
        let now = start + Duration::from_millis(50) * request;
        if request == 20 {
            servers[0].record_full(now);
            continue;
        }
        servers[0].record_answer(WORK, false, now);
    }
    let later = start + Duration::from_millis(50) * 40;
    assert_eq!(next(&servers, &[], later), Some(0));
}

/// Each of many VMs sends a shard one request a second, and the replica nearby turns nine times as slow: two of
/// its answers are enough to prefer a distant one.
#[test]
fn slow_replica_seen_once_a_second() {
    let servers = shard();
    let start = Instant::now();
    for second in 0..10 {
        servers[0].record_answer(WORK, false, start + Duration::from_secs(second));
        // Hedges while the one nearby pauses.
        servers[1].record_answer(WORK + DISTANCE, false, start + Duration::from_secs(second));
    }
    for second in 10..12 {
        servers[0].record_answer(WORK * 9, false, start + Duration::from_secs(second));
    }
    assert_ne!(next(&servers, &[], start + Duration::from_secs(12)), Some(0));
}
