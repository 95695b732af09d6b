//! Status of a VM for operators, served as JSON.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::gateway::caller_load::CallerLoad;
use crate::gateway::server::Proximity;
use crate::gateway::state::PublishedState;
use crate::ids::{Era, LeafId, Revision, ServiceName};

/// Status of one VM.
#[derive(Debug, Deserialize, Serialize)]
pub struct GatewayStatus {
    /// Version of the active configuration; none before the first one.
    pub config_version: Option<u64>,
    /// Whether the store has an older configuration than the active one, which it lost when it was restored.
    #[serde(default)]
    pub is_config_retained: bool,
    /// Number of known VMs, including this one.
    pub fleet: usize,
    /// Whether this VM searches shards for others.
    #[serde(default)]
    pub is_relay: bool,
    /// Number of VMs of the fleet that do; 0 if every VM searches for itself.
    #[serde(default)]
    pub relays: usize,
    /// Relays to which this VM sends its searches, in the order of use.
    #[serde(default)]
    pub linked_relays: Vec<SocketAddr>,
    /// What callers hold at this VM.
    #[serde(default)]
    pub callers: CallerLoad,
    /// What a caller may send at most, and how long it may take.
    #[serde(default)]
    pub caller_limits: LimitsStatus,
    /// Revision of the store up to which the state of this VM is complete.
    pub as_of: Revision,
    /// Era of the store to which the revision belongs.
    #[serde(default)]
    pub era: Era,
    /// Time since the store last confirmed this state, to this VM or to another one; none if it did not yet in its era.
    pub confirmed_ms_ago: Option<u64>,
    /// Whether the store is unreachable.
    pub store_away: bool,
    pub services: Vec<ServiceStatus>,
}

/// The limits on callers that are in force.
#[derive(Debug, Default, Deserialize, Serialize)]
pub struct LimitsStatus {
    pub max_header_bytes: usize,
    pub max_body_bytes: usize,
    pub header_timeout_ms: u64,
    pub idle_timeout_ms: u64,
}

/// A service with its backend servers.
#[derive(Debug, Deserialize, Serialize)]
pub struct ServiceStatus {
    pub name: ServiceName,
    /// Which of its backend servers this VM reaches.
    #[serde(default)]
    pub reach: String,
    /// Requests in the window of the budget.
    pub requests_in_window: u64,
    /// Retries and hedges in the window of the budget.
    pub extra_in_window: u64,
    pub servers: Vec<ServerStatus>,
}

/// A backend server, with the measurements by which it is selected.
#[derive(Debug, Deserialize, Serialize)]
pub struct ServerStatus {
    pub id: LeafId,
    pub address: String,
    pub proximity: String,
    /// State of its entry in the published list.
    pub listing: String,
    /// Whether it gets new requests.
    #[serde(rename = "standing")]
    pub availability: String,
    /// Expected time of an answer.
    pub expected_ms: u64,
    pub failure_percent: u64,
    /// Requests a second that it takes from the whole fleet, as it says itself; none if it names no limit.
    #[serde(default)]
    pub limit_per_s: Option<f64>,
    /// Time since it first said that it leaves; none if it does not.
    #[serde(default)]
    pub leaving_for_ms: Option<u64>,
    /// Time for which it wants no requests from this VM.
    #[serde(default)]
    pub quiet_left_ms: u64,
    /// Time since another backend server was found at its address; none if it was not.
    #[serde(default)]
    pub replaced_for_ms: Option<u64>,
    /// Calls from this VM that are in progress.
    pub in_flight: u32,
    /// Open connections from this VM.
    pub connections: usize,
    /// This VM's share of the connection limit.
    pub max_connections: usize,
}

/// Returns the status of this VM.
pub fn describe(
    state: &PublishedState,
    linked_relays: Vec<SocketAddr>,
    callers: CallerLoad,
) -> GatewayStatus {
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
                availability: format!("{:?}", candidate.availability),
                expected_ms: candidate.expected_latency.as_millis() as u64,
                failure_percent: (candidate.failure_rate * 100.0) as u64,
                leaving_for_ms: server.leaving_for(now).map(|time| time.as_millis() as u64),
                limit_per_s: server.named_limit_per_s(),
                quiet_left_ms: server.quiet_left(now).as_millis() as u64,
                replaced_for_ms: server.replaced_for(now).map(|time| time.as_millis() as u64),
                in_flight: candidate.in_flight,
                connections: server.pool.open_connections(),
                max_connections: server.pool.max_open(),
            });
        }
        let (requests_in_window, extra_in_window) = service.budget.usage(now);
        let name = service.name.clone();
        let reach = format!("{:?}", service.reach(now));
        services.push(ServiceStatus { name, reach, requests_in_window, extra_in_window, servers });
    }
    let (role, as_of) = (state.directory.relay_role(), state.as_of());
    let limits = *state.subscribe_to_limits().borrow();
    GatewayStatus {
        config_version: state.active_config().map(|config| config.version),
        is_config_retained: state.retained_config().is_some(),
        fleet: state.directory.fleet_size(),
        is_relay: role.is_relay,
        relays: role.relays,
        linked_relays,
        callers,
        caller_limits: LimitsStatus {
            max_header_bytes: limits.max_header_bytes,
            max_body_bytes: limits.max_body_bytes,
            header_timeout_ms: limits.header_timeout.as_millis() as u64,
            idle_timeout_ms: limits.idle_timeout.as_millis() as u64,
        },
        as_of: as_of.revision,
        era: as_of.era,
        confirmed_ms_ago: state.confirmation_age_in_era().map(|age| age.as_millis() as u64),
        store_away: state.store_available_since().is_none(),
        services,
    }
}

/// Returns the name of a proximity in the status.
fn describe_proximity(proximity: Proximity) -> &'static str {
    match proximity {
        Proximity::SameFailureDomain => "same failure domain",
        Proximity::SameRegion => "same region",
        Proximity::OtherRegion => "other region",
    }
}
