//! What a VM believes, for the person on call.

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::gateway::server::Proximity;
use crate::gateway::state::State;
use crate::ids::{LeafId, Revision, ServiceName};

/// Beliefs of one VM.
#[derive(Debug, Deserialize, Serialize)]
pub struct GatewayStatus {
    /// Version of the configuration in force; none before the first.
    pub config_version: Option<u64>,
    /// VMs heard of, this one included.
    pub fleet: usize,
    /// Revision of the store up to which everything is known.
    pub as_of: Revision,
    /// Time since the store last confirmed it, here or at another VM.
    pub confirmed_ms_ago: Option<u64>,
    pub store_away: bool,
    pub services: Vec<ServiceStatus>,
}

/// A service with its backend servers.
#[derive(Debug, Deserialize, Serialize)]
pub struct ServiceStatus {
    pub name: ServiceName,
    /// Requests in the window of the budget, and the extra attempts spent on them.
    pub requests_in_window: u64,
    pub extra_in_window: u64,
    pub servers: Vec<ServerStatus>,
}

/// One backend server.
#[derive(Debug, Deserialize, Serialize)]
pub struct ServerStatus {
    pub id: LeafId,
    pub address: String,
    pub proximity: String,
    /// What the published list says.
    pub listing: String,
    /// How much it is trusted with new requests.
    pub standing: String,
    pub expected_ms: u64,
    pub failure_percent: u64,
    pub in_flight: u32,
    pub connections: usize,
    pub max_connections: usize,
}

/// Describes what a VM believes.
pub fn describe(state: &State) -> GatewayStatus {
    let now = Instant::now();
    let mut services = Vec::new();
    for service in state.directory.services() {
        let mut servers = Vec::new();
        for server in service.servers().iter() {
            let candidate = server.candidate(now);
            servers.push(ServerStatus {
                id: server.published.id.clone(),
                address: server.published.address.to_string(),
                proximity: describe_proximity(server.proximity).to_string(),
                listing: format!("{:?}", server.listing()),
                standing: format!("{:?}", candidate.availability),
                expected_ms: candidate.expected_latency.as_millis() as u64,
                failure_percent: (candidate.failure_rate * 100.0) as u64,
                in_flight: candidate.in_flight,
                connections: server.pool.open_connections(),
                max_connections: server.pool.max_open(),
            });
        }
        let (requests_in_window, extra_in_window) = service.budget.usage(now);
        let name = service.name.clone();
        services.push(ServiceStatus { name, requests_in_window, extra_in_window, servers });
    }
    GatewayStatus {
        config_version: state.in_force().map(|in_force| in_force.version),
        fleet: state.directory.fleet(),
        as_of: state.as_of(),
        confirmed_ms_ago: state.age_of_knowledge().map(|age| age.as_millis() as u64),
        store_away: state.store_back_since().is_none(),
        services,
    }
}

/// Returns a word for a distance.
fn describe_proximity(proximity: Proximity) -> &'static str {
    match proximity {
        Proximity::SameFailureDomain => "same failure domain",
        Proximity::SameRegion => "same region",
        Proximity::OtherRegion => "other region",
    }
}
