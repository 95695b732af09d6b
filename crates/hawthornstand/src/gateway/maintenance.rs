//! Regular upkeep: probes silent backend servers, keeps connections warm, lets vanished entries age.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::gateway::attempts::GatewayContext;
use crate::gateway::directory::Service;
use crate::gateway::listing::Listing;
use crate::gateway::routes::Destination;
use crate::gateway::server::{Proximity, Server};
use crate::gateway::settings::GatewaySettings;
use crate::gateway::state::State;
use crate::process::timer::TimerService;

/// Time between two rounds of upkeep.
const ROUND: Duration = Duration::from_millis(200);
/// Time allowed for the answer to a probe.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
/// New connections in one round, so that a start or a repartition does not flood backend servers.
const WARM_PER_ROUND: usize = 12;

/// Runs until the process ends.
pub async fn run(
    state: Arc<State>,
    context: GatewayContext,
    timer: TimerService,
    settings: watch::Receiver<GatewaySettings>,
) {
    let mut rounds = timer.subscribe(ROUND);
    while rounds.next().await.is_some() {
        let drain = settings.borrow().drain;
        state.age(drain);
        probe_silent(&state, &context);
        warm(&state);
    }
}

/// Probes backend servers that owe an answer.
fn probe_silent(state: &State, context: &GatewayContext) {
    for service in state.directory.services() {
        for server in service.servers().iter() {
            if !server.begin_probe(Instant::now()) {
                continue;
            }
            context.telemetry.probes.inc();
            tokio::spawn(probe(Arc::clone(&service), Arc::clone(server), context.clone()));
        }
    }
}

/// Asks a backend server for its health on a connection of its own.
async fn probe(service: Arc<Service>, server: Arc<Server>, context: GatewayContext) {
    let asked = tokio::time::timeout(PROBE_TIMEOUT, ask(&service, &server, &context)).await;
    let Ok(Some(identity)) = asked else {
        log::debug!(server = server.published.id.as_str(); "probe without an answer");
        return;
    };
    if identity.as_ref() != server.published.id.as_bytes() {
        server.replaced();
        return;
    }
    server.heard(Instant::now());
}

/// Returns the identity in the answer to a probe.
async fn ask(service: &Service, server: &Server, context: &GatewayContext) -> Option<Bytes> {
    // A failure here is no news, and would make the next probe wait longer.
    let mut connection = server.pool.connect().await.ok()?;
    let request = Request::get(service.health_path())
        .header("host", server.published.address.to_string())
        .body(Full::default())
        .ok()?;
    let response = connection.sender.send_request(request).await.ok()?;
    Some(context.protocol.read_health_identity(response.headers()))
}

/// Opens a connection to each backend server of a shard that has none idle.
fn warm(state: &State) {
    let Some(in_force) = state.in_force() else { return };
    let fleet = state.directory.fleet();
    let mut left = WARM_PER_ROUND;
    let mut seen: Vec<*const Service> = Vec::new();
    for placed in in_force.table.all() {
        let Destination::Shards(shards) = &placed.destination else { continue };
        for shard in shards {
            if seen.contains(&Arc::as_ptr(shard)) {
                continue;
            }
            seen.push(Arc::as_ptr(shard));
            let everywhere = shard.connection_share(fleet) >= 1.0;
            for server in shard.servers().iter() {
                let near = server.proximity < Proximity::OtherRegion;
                if left == 0 || !(everywhere || near) || !wants_connection(server) {
                    continue;
                }
                left -= 1;
                tokio::spawn(connect(Arc::clone(server)));
            }
        }
    }
}

/// Returns whether a backend server has no connection at all.
fn wants_connection(server: &Server) -> bool {
    server.listing() == Listing::Listed
        && server.pool.idle_connections(Instant::now()) == 0
        && server.pool.open_connections() == 0
}

/// Opens one connection and leaves it idle.
async fn connect(server: Arc<Server>) {
    match server.connect().await {
        Ok(connection) => server.pool.release(connection, None),
        Err(error) => {
            log::debug!(server = server.published.id.as_str(); "no connection in advance: {error}");
        }
    }
}
