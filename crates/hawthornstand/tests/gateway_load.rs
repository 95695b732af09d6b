//! Selection of backend servers under patterns of heavy load, without a network; each test is named after its pattern.

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

/// Round-trip time to another region.
const ROUND_TRIP: Duration = Duration::from_millis(24);
/// Service time of a request.
const SERVICE_TIME: Duration = Duration::from_millis(20);

fn replica(id: &str, proximity: Proximity, service_time: Arc<ServiceTime>) -> Server {
    let published = PublishedServer { slots: 3, ..published_server(id) };
    let address = published.address;
    Server::new(
        published,
        proximity,
        Pool::new(address, 8, Arc::default()),
        service_time,
        Arc::default(),
    )
}

/// A shard: a replica in the same failure domain and two in other regions.
fn shard() -> [Server; 3] {
    let service_time = Arc::<ServiceTime>::default();
    [
        replica("i-near", Proximity::SameFailureDomain, Arc::clone(&service_time)),
        replica("i-far", Proximity::OtherRegion, Arc::clone(&service_time)),
        replica("i-farther", Proximity::OtherRegion, service_time),
    ]
}

/// Returns the index of the replica that the next attempt goes to, among those not tried yet.
fn next(servers: &[Server; 3], tried: &[usize], now: Instant) -> Option<usize> {
    let candidates: Vec<_> = servers
        .iter()
        .enumerate()
        .map(|(index, server)| (!tried.contains(&index)).then(|| server.candidate(now)))
        .collect();
    server_selection::select(&candidates, 0)
}

/// Counts the attempts beyond the first that requests need until they are served, at 20 requests a second.
///
/// `refusal_rates` holds the fraction of requests that each replica refuses.
fn extra_attempts(refusal_rates: [f64; 3], requests: u32) -> u32 {
    let servers = shard();
    let mut random = StdRng::seed_from_u64(18);
    let start = Instant::now();
    let mut extra = 0;
    for request in 0..requests {
        let now = start + Duration::from_millis(50) * request;
        let mut tried = Vec::new();
        while let Some(index) = next(&servers, &tried, now) {
            tried.push(index);
            if random.random_bool(refusal_rates[index]) {
                servers[index].record_refusal(now);
                continue;
            }
            let is_remote = servers[index].proximity == Proximity::OtherRegion;
            let latency = if is_remote { SERVICE_TIME + ROUND_TRIP } else { SERVICE_TIME };
            servers[index].record_answer(latency, false, now);
            break;
        }
        extra += tried.len() as u32 - 1;
    }
    extra
}

/// Two of three replicas refuse 60% of their requests: the third one is preferred, since the retries of a service may
/// be at most a fifth of its requests.
#[test]
fn load_shedding_by_two_of_three_replicas() {
    let requests = 9 * 20;
    let extra = extra_attempts([0.6, 0.6, 0.0], requests);
    assert!(extra <= requests / 5, "{extra} extra attempts for {requests} requests");
}

/// During a rolling release or the start of a fleet, a backend server of long requests that has not answered yet must
/// not be marked unresponsive before the service time of its service is over.
#[rstest]
#[case::start_of_a_fleet(None, 100)]
#[case::release(Some(160), 160)]
fn release_of_servers_with_long_requests(
    #[case] measured_ms: Option<u64>,
    #[case] service_time_ms: u64,
) {
    let service_time = Arc::<ServiceTime>::default();
    service_time.assume_from_target(Duration::from_millis(800));
    if let Some(measured_ms) = measured_ms {
        let known = replica("i-known", Proximity::SameRegion, Arc::clone(&service_time));
        let latency =
            Duration::from_millis(measured_ms) + Proximity::SameRegion.assumed_round_trip();
        known.record_answer(latency, false, Instant::now());
    }
    let unmeasured = replica("i-new", Proximity::SameFailureDomain, service_time);
    assert!(
        unmeasured.overdue_after() > Duration::from_millis(service_time_ms),
        "overdue after {:?}",
        unmeasured.overdue_after()
    );
    assert_eq!(
        unmeasured.candidate(Instant::now()).expected_latency,
        Duration::from_millis(service_time_ms)
    );
}

/// A replica in the same failure domain stays preferred when it refuses single requests.
#[test]
fn single_refusals() {
    let servers = shard();
    let start = Instant::now();
    for request in 0..40 {
        let now = start + Duration::from_millis(50) * request;
        if request == 20 {
            servers[0].record_refusal(now);
            continue;
        }
        servers[0].record_answer(SERVICE_TIME, false, now);
    }
    let later = start + Duration::from_millis(50) * 40;
    assert_eq!(next(&servers, &[], later), Some(0));
}

/// A VM sends a shard only one request a second and the local replica becomes nine times slower: two of its answers
/// have to be enough to prefer a replica in another region.
#[test]
fn slow_replica_seen_once_a_second() {
    let servers = shard();
    let start = Instant::now();
    for second in 0..10 {
        servers[0].record_answer(SERVICE_TIME, false, start + Duration::from_secs(second));
        // Answers to hedges that were sent while the local replica paused.
        servers[1].record_answer(
            SERVICE_TIME + ROUND_TRIP,
            false,
            start + Duration::from_secs(second),
        );
    }
    for second in 10..12 {
        servers[0].record_answer(SERVICE_TIME * 9, false, start + Duration::from_secs(second));
    }
    assert_ne!(next(&servers, &[], start + Duration::from_secs(12)), Some(0));
}
