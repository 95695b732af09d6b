//! Periodic maintenance: probes unresponsive and replaced backend servers, opens connections in advance, expires
//! vanished entries, checks the backend servers of abandoned calls, reports what callers were refused.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::gateway::caller_load::RefusalLog;
use crate::gateway::context::GatewayContext;
use crate::gateway::crash_check;
use crate::gateway::directory::{KeptConnections, Service};
use crate::gateway::listing::Listing;
use crate::gateway::pool::ConnectionPermit;
use crate::gateway::reach::contact::ContactChange;
use crate::gateway::reach::verdict::Reach;
use crate::gateway::routes::Destination;
use crate::gateway::server::{Proximity, Server};
use crate::gateway::server_statements::AnswerStatements;
use crate::gateway::settings::GatewaySettings;
use crate::gateway::state::PublishedState;
use crate::process::timer::TimerService;

/// Interval of the maintenance.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(200);
/// Time allowed for the answer to a probe.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after its start within which a VM learns how many others there are. Connections opened in advance before would
/// be too many: in a fleet that starts at once, every VM would take itself for one of a few.
const FLEET_DISCOVERY_TIME: Duration = Duration::from_millis(1000);
/// Backend servers that are probed per interval while it is open whether this VM reaches any.
const PROBES_PER_QUESTION: usize = 4;
/// Limit on connections opened in advance per interval, so that a start or a repartition does not flood backend
/// servers.
const MAX_CONNECTS_PER_INTERVAL: usize = 12;
/// The same for a relay: there are few of them, and others wait for their connections.
const MAX_RELAY_CONNECTS_PER_INTERVAL: usize = 32;

/// Runs the maintenance until the process ends.
pub async fn run(
    state: Arc<PublishedState>,
    context: GatewayContext,
    timer: TimerService,
    settings: watch::Receiver<GatewaySettings>,
) {
    let mut ticks = timer.subscribe(MAINTENANCE_INTERVAL);
    let open_from = Instant::now() + FLEET_DISCOVERY_TIME;
    let mut refusal_log = RefusalLog::default();
    while ticks.next().await.is_some() {
        let drain = settings.borrow().drain;
        state.expire_entries(drain);
        context.crash_tracker.set_fleet_size(state.directory.fleet_size());
        refusal_log.update(&context, Instant::now());
        update_reach(&state);
        probe_unusable(&state, &context);
        probe_for_contact(&state, &context);
        crash_check::check_abandoned(&context, &state);
        if Instant::now() >= open_from {
            open_in_advance(&state);
        }
    }
}

/// Follows which services this VM no longer reaches, or reaches again.
fn update_reach(state: &PublishedState) {
    let now = Instant::now();
    match state.directory.contact.take_change(now) {
        Some(ContactChange::Lost { silent_for, silent_servers }) => {
            log::warn!(silent_ms = silent_for.as_millis() as u64, silent_servers = silent_servers;
                "no backend server of any service responds to this VM; is it cut off?");
        }
        Some(ContactChange::Regained { lost_since }) => {
            log::info!(lost_ms = now.saturating_duration_since(lost_since).as_millis() as u64;
                "backend servers respond to this VM again");
            state.directory.forget_silences(lost_since);
        }
        None => {}
    }
    for service in state.directory.services() {
        let Some(change) = service.take_reach_change(now) else { continue };
        if change.to == Reach::Lost {
            log::info!(service = service.name.as_str(), servers = service.servers().len();
                "no backend server of the service responds to this VM");
        }
        if let Some(lost_for) = change.lost_for {
            log::info!(service = service.name.as_str(), reach = format!("{:?}", change.to),
                lost_ms = lost_for.as_millis() as u64;
                "the service is no longer out of reach");
        }
    }
}

/// Probes the unresponsive and replaced backend servers whose probe is due.
fn probe_unusable(state: &PublishedState, context: &GatewayContext) {
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

/// Probes one backend server of any service while none responds, and several while it is open whether any does.
fn probe_for_contact(state: &PublishedState, context: &GatewayContext) {
    let contact = &state.directory.contact;
    let is_questioned = contact.take_question();
    let wanted = match contact.lost_for(Instant::now()) {
        Some(_) => 1,
        None if is_questioned => PROBES_PER_QUESTION,
        None => return,
    };
    let mut candidates: Vec<(Arc<Service>, Arc<Server>)> = Vec::new();
    for service in state.directory.services() {
        for server in service.servers().iter().filter(|server| server.allows_requests()) {
            candidates.push((Arc::clone(&service), Arc::clone(server)));
        }
    }
    // Those of which nothing is known since the last response say the most.
    let is_known = |server: &Server| contact.is_unresponsive(server.published.address);
    if wanted > 1 && candidates.iter().any(|(_, server)| !is_known(server)) {
        candidates.retain(|(_, server)| !is_known(server));
    }
    for _ in 0..wanted.min(candidates.len()) {
        let index = rand::random_range(0..candidates.len());
        let (service, server) = candidates.swap_remove(index);
        context.telemetry.probes.inc();
        tokio::spawn(probe_path(service, server, context.clone()));
    }
}

/// Sends a health probe; records that there was no answer.
async fn probe_path(service: Arc<Service>, server: Arc<Server>, context: GatewayContext) {
    let sent_at = Instant::now();
    if !probe(service, Arc::clone(&server), context).await {
        server.record_unanswered_probe(sent_at, Instant::now());
    }
}

/// Sends a health probe on a connection of its own, and checks the id of the backend server that answers; returns whether
/// there was an answer, or none could be asked for.
async fn probe(service: Arc<Service>, server: Arc<Server>, context: GatewayContext) -> bool {
    let Some(permit) = server.pool.acquire_permit() else { return true };
    let sent_at = Instant::now();
    let answer =
        tokio::time::timeout(PROBE_TIMEOUT, request_health(permit, &service, &server, &context))
            .await;
    let Ok(Some((server_id, said))) = answer else {
        log::debug!(server = server.published.id.as_str(); "no answer to a health probe");
        return false;
    };
    let now = Instant::now();
    // A full backend server rejects a probe without naming itself.
    if !server_id.is_empty() {
        if server_id.as_ref() != server.published.id.as_bytes() {
            server.mark_replaced(now);
            return true;
        }
        server.mark_present(sent_at, now);
    }
    server.record_statements(&said, sent_at, now);
    server.mark_responsive(now);
    true
}

/// Returns the id of the backend server that answers a health probe, and what it says of itself.
async fn request_health(
    permit: ConnectionPermit,
    service: &Service,
    server: &Server,
    context: &GatewayContext,
) -> Option<(Bytes, AnswerStatements)> {
    // A failure is not recorded: the backend server is known as unresponsive, and recording it would delay the next
    // probe.
    let mut connection = server.pool.open_with(permit).await.ok()?;
    let request = Request::get(service.health_path())
        .header("host", server.published.address.to_string())
        .body(Full::default())
        .ok()?;
    server.record_sent(Instant::now());
    let response = connection.sender.send_request(request).await.ok()?;
    let (status, headers) = (response.status(), response.headers());
    if status.is_informational() {
        return None;
    }
    let server_id = context.protocol.read_health_server_id(headers);
    Some((server_id, context.protocol.read_statements(status, headers)))
}

/// Opens a connection to each listed backend server of a shard to which this VM keeps one and there is none.
fn open_in_advance(state: &PublishedState) {
    let Some(active_config) = state.active_config() else { return };
    let is_relay = state.directory.relay_role().is_relay;
    let mut left =
        if is_relay { MAX_RELAY_CONNECTS_PER_INTERVAL } else { MAX_CONNECTS_PER_INTERVAL };
    let mut seen: Vec<*const Service> = Vec::new();
    for resolved in active_config.table.all() {
        let Destination::Shards(shards) = &resolved.destination else { continue };
        for shard in shards {
            if seen.contains(&Arc::as_ptr(shard)) {
                continue;
            }
            seen.push(Arc::as_ptr(shard));
            let kept = state.directory.keeps_connections(shard);
            for server in shard.servers().iter() {
                let is_kept = match kept {
                    KeptConnections::All => true,
                    KeptConnections::None => false,
                    KeptConnections::OwnRegion => server.proximity < Proximity::OtherRegion,
                };
                if left == 0 || !is_kept || !needs_connection(server) {
                    continue;
                }
                left -= 1;
                tokio::spawn(connect(Arc::clone(server)));
            }
        }
    }
}

/// Returns whether a listed backend server has no connection.
fn needs_connection(server: &Server) -> bool {
    server.listing() == Listing::Listed
        && server.allows_requests()
        && server.pool.idle_connections(Instant::now()) == 0
        && server.pool.open_connections() == 0
}

/// Opens one connection and leaves it idle.
async fn connect(server: Arc<Server>) {
    match server.connect().await {
        Ok(connection) => server.pool.release(connection, None),
        Err(error) => {
            log::debug!(server = server.published.id.as_str(); "cannot open a connection in advance: {error}");
        }
    }
}
