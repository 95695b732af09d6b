//! Settings and a published backend server for tests of the gateway without a network.

// Each test file uses a part of this.
#![allow(dead_code)]

use std::time::Duration;

use hawthornstand::gateway::model::PublishedServer;
use hawthornstand::gateway::settings::{ExtraAttemptBounds, GatewaySettings, Location};

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
        location: Location { failure_domain: "a".to_string(), region: "east".to_string(), regions },
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
