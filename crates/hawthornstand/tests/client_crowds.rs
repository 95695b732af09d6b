//! Crowds of clients at the product's own interface, whose requests are within the limits one by one and too much
//! together.

use std::net::SocketAddr;
use std::path::Path;

use bytes::Bytes;
use hawthornstand_standins::client_crowd::{Crowd, CrowdRequest, Framing, request_with_body};
use hawthornstand_standins::fleet::{Fleet, FleetSpec};
use hawthornstand_standins::http;
use hawthornstand_standins::process_usage::UsageMonitor;

/// The VM of the fleet.
const VM: &str = "entry-1";
/// `admission.max_body_bytes` of the settings.
const MAX_BODY_BYTES: usize = 1 << 20;
/// Memory that the VM may take.
const MEMORY_BYTES: u64 = 128_000_000;

/// Returns a search with a body, which is complete or stops just short of its end.
fn search(body_bytes: usize, is_complete: bool) -> CrowdRequest {
    let head = "POST /services/roster/search HTTP/1.1\r\nHost: vm\r\ntimeout-ms: 60000\r\n";
    let mut body = br#"{"query": "waiter", "limit": 3}"#.to_vec();
    body.resize(body_bytes, b' ');
    request_with_body(head, Framing::Whole, &Bytes::from(body), is_complete)
}

/// Sends a complete search; returns the status of the response, if there is one.
async fn send_search(address: SocketAddr, body_bytes: usize) -> Option<u16> {
    let responses = Crowd::start(address, vec![search(body_bytes, true)]).take_responses().await;
    responses[0].as_ref().map(|response| response.status)
}

// Guards against: the bodies of many callers together take more memory than the machine has.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn bodies_of_a_crowd_fit_into_memory() {
    let daemon = Path::new(env!("CARGO_BIN_EXE_hawthornstandd"));
    let mut spec = FleetSpec::with_equal_shards(daemon, 1, 1, 1, 1);
    spec.settings =
        format!("admission:\n  max_bodies_bytes: 16777216\n  max_body_bytes: {MAX_BODY_BYTES}\n");
    let mut fleet = Fleet::start(spec).await.expect("failed to start the fleet");
    fleet.start_vms().await.expect("failed to start the VM");
    let address = fleet.vm(VM).expect("a VM").caller_address.parse().expect("an address");
    let process = fleet.pid(VM).expect("a running VM");

    let monitor = UsageMonitor::start(process, address);
    let crowd = (0..250).map(|index| search(MAX_BODY_BYTES, index % 8 == 0)).collect();
    let mut crowd = Crowd::start(address, crowd);
    crowd.settle().await;
    for body_bytes in [32, MAX_BODY_BYTES] {
        assert_eq!(send_search(address, body_bytes).await, Some(200), "{body_bytes} bytes");
    }
    monitor.wait_for_samples().await;
    for response in crowd.release().await.into_iter().flatten() {
        let may_come_back = response.status != 503 || response.header("retry-after").is_some();
        assert!(may_come_back, "{response:?}");
    }
    assert_eq!(send_search(address, MAX_BODY_BYTES).await, Some(200));
    let peak = monitor.finish();
    println!("{peak:?}");
    let ready = http::get(&address.to_string(), "/ready").await;
    assert_eq!(ready.expect("an answer of the VM").status, 200);
    assert!(peak.memory_bytes <= MEMORY_BYTES, "{peak:?}, limit {MEMORY_BYTES} bytes");
}
