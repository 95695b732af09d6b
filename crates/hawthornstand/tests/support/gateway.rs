//! Settings, a published backend server and linked VMs for tests of the gateway without a network.

// Each test file uses a part of this.
#![allow(dead_code)]

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use hawthornstand::gateway::crash_tracker::CrashTracker;
use hawthornstand::gateway::model::PublishedServer;
use hawthornstand::gateway::peer_link;
use hawthornstand::gateway::peers::Peers;
use hawthornstand::gateway::protocol::PublishedStore;
use hawthornstand::gateway::settings::{ExtraAttemptBounds, GatewaySettings, Location};
use hawthornstand::gateway::state::PublishedState;
use hawthornstand::gateway::telemetry::Telemetry;
use hawthornstand::process::clock::{Clock, SystemClock};
use hawthornstand::process::log_limit::LogLosses;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::protocol::Role;

/// Returns settings of a VM without links in failure domain a, region east.
pub fn settings() -> GatewaySettings {
    let any = ([127, 0, 0, 1], 0).into();
    let regions = ["a:east", "b:east", "c:west"]
        .map(|pair| pair.split_once(':').map(|(a, b)| (a.to_string(), b.to_string())))
        .into_iter()
        .flatten()
        .collect();
    GatewaySettings {
        assumed_fleet_size: 12,
        caller_address: any,
        config_apply: Duration::from_secs(3),
        cpu_millicores: 1000,
        drain: Duration::from_secs(4),
        extra_attempts: ExtraAttemptBounds {
            ratio: 0.2,
            slack: 56.0,
            window: Duration::from_secs(10),
        },
        grace: Duration::from_secs(6),
        heartbeat: Duration::from_millis(1200),
        location: Location { failure_domain: "a".to_string(), region: "east".to_string(), regions },
        max_descriptors: 4100,
        memory_bytes: 260_000_000,
        metrics_address: None,
        peer_address: None,
        readiness_address: any,
        seeds: Vec::new(),
        vm_id: "front-1".to_string(),
    }
}

/// Returns the entry of a backend server of the service "portal" in failure domain a.
pub fn published_server(id: &str) -> PublishedServer {
    PublishedServer {
        id: id.to_string(),
        process_start_unix_ms: 1,
        service: "portal".to_string(),
        address: ([127, 0, 0, 1], 9).into(),
        failure_domain: "a".to_string(),
        slots: 2,
        leaving: false,
        warmup_left: Duration::ZERO,
    }
}

/// Clock of a machine that can be suspended: the boot clock runs on, the monotonic one does not.
#[derive(Default)]
pub struct SuspendableClock {
    since_boot_ms: AtomicU64,
}

impl SuspendableClock {
    /// Suspends the machine for a time.
    pub fn suspend(&self, time: Duration) {
        self.since_boot_ms.fetch_add(time.as_millis() as u64, Ordering::Relaxed);
    }
}

impl Clock for SuspendableClock {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn unix_ms(&self) -> u64 {
        self.since_boot_ms.load(Ordering::Relaxed)
    }
}

/// Creates a VM at the address 127.0.0.`number`.
pub fn linkable_vm(number: u8, store: Arc<dyn PublishedStore>) -> Arc<Peers> {
    linkable_vm_with(number, Arc::new(SystemClock), store)
}

/// Creates a VM at the address 127.0.0.`number` with a clock.
pub fn linkable_vm_with(
    number: u8,
    clock: Arc<dyn Clock>,
    store: Arc<dyn PublishedStore>,
) -> Arc<Peers> {
    let address = ([127, 0, 0, number], 7102).into();
    let settings = GatewaySettings {
        peer_address: Some(address),
        vm_id: format!("front-{number}"),
        ..settings()
    };
    let telemetry = Arc::new(Telemetry::new(LogLosses::new(|| 0)));
    let link_bytes = telemetry.link_bytes.clone();
    let state = Arc::new(PublishedState::new(&settings, clock, store, telemetry));
    Arc::new(Peers::new(address, &settings, Arc::new(CrashTracker::default()), state, link_bytes))
}

/// Links two VMs over an in-memory pipe; each task returns why its end of the link closed.
pub async fn link(first: &Arc<Peers>, second: &Arc<Peers>) -> [JoinHandle<String>; 2] {
    let (one_end, other_end) = tokio::io::duplex(64 * 1024);
    let client = WebSocketStream::from_raw_socket(one_end, Role::Client, None).await;
    let server = WebSocketStream::from_raw_socket(other_end, Role::Server, None).await;
    let (first, second) = (Arc::clone(first), Arc::clone(second));
    [
        tokio::spawn(async move { peer_link::run_link(&first, client).await }),
        tokio::spawn(async move { peer_link::run_link(&second, server).await }),
    ]
}
