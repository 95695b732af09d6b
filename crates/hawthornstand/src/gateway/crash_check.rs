//! Checks whether a backend server has ended when its connection breaks during a request, or after a call to it was
//! abandoned, and reports crashes.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::gateway::abandoned_calls::Due;
use crate::gateway::context::GatewayContext;
use crate::gateway::crash_tracker::{CrashReport, ProcessHash};
use crate::gateway::directory::Directory;
use crate::gateway::model::PublishedServer;
use crate::gateway::outbound_request::OutboundRequest;
use crate::gateway::pool::ConnectError;
use crate::gateway::server::Server;
use crate::gateway::state::PublishedState;
use crate::ids::{Fingerprint, id_text};

/// Number of checks whether a backend server accepts connections, and the time between them: a check needs one of this
/// VM's connections, and a process that ends may accept one for a moment.
const MAX_CHECKS: u32 = 10;
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Time in which other backend servers answer the same request, and show that it crashes none.
const ANSWER_TIME: Duration = Duration::from_millis(100);
/// Time after a check from which a response was sent later, and is not read later only.
const UNREAD_TIME: Duration = Duration::from_millis(20);
/// Backend servers of the same failure domain that are checked when one has ended.
const MAX_CHECKED_NEIGHBOURS: usize = 3;
/// Interval and limit of the wait for a response that shows that this VM is not cut off.
const PATH_CHECK_INTERVAL: Duration = Duration::from_millis(50);
const MAX_PATH_WAIT: Duration = Duration::from_secs(10);
/// Wait after which a backend server is checked again.
const RECHECK_AFTER: Duration = Duration::from_secs(1);

/// Starts the check of a backend server whose connection has just broken.
pub fn start(server: &Arc<Server>, request: &Arc<OutboundRequest>, context: &GatewayContext) {
    request.attempt_outcomes.record_broken();
    tokio::spawn(check(Arc::clone(server), Arc::clone(request), context.clone()));
}

/// Checks the backend servers of abandoned calls where nothing else shows that they run.
pub fn check_abandoned(context: &GatewayContext, state: &Arc<PublishedState>) {
    for due in context.abandoned_calls.take_due(&state.directory, Instant::now()) {
        match due {
            Due::Ended(server) => {
                let now = Instant::now();
                for fingerprint in context.abandoned_calls.take(&server) {
                    report_abandoned(&server, fingerprint, now, true, context);
                }
            }
            Due::Check(server) => {
                tokio::spawn(check_server(server, Arc::clone(state), context.clone()));
            }
        }
    }
}

/// Checks the backend server of abandoned calls, and reports it if it has ended.
async fn check_server(server: Arc<Server>, state: Arc<PublishedState>, context: GatewayContext) {
    let calls = &context.abandoned_calls;
    let is_refused = has_ended(&server).await;
    let checked_at = Instant::now();
    if !is_refused || !is_path_confirmed(&server, checked_at).await {
        calls.end_check(&server);
        return;
    }
    let ended = find_ended_neighbours(&server, &state.directory, &context).await;
    for fingerprint in calls.take(&server) {
        let has_common_cause = ended.iter().any(|other| {
            let process = process_hash(&other.published);
            !calls.is_recorded(other, fingerprint)
                && !context.crash_tracker.is_known_crash(fingerprint, process)
        });
        report_abandoned(&server, fingerprint, checked_at, has_common_cause, &context);
    }
}

/// Checks some backend servers of the same failure domain, first those that have not got the same requests; returns those
/// that accept no connection.
async fn find_ended_neighbours(
    server: &Arc<Server>,
    directory: &Directory,
    context: &GatewayContext,
) -> Vec<Arc<Server>> {
    let mut neighbours = Vec::new();
    for service in directory.services() {
        for other in service.servers().iter() {
            let is_near = other.published.failure_domain == server.published.failure_domain;
            if is_near && other.allows_requests() && !Arc::ptr_eq(other, server) {
                let shares_requests = context.abandoned_calls.share_requests(server, other);
                neighbours.push((shares_requests, rand::random::<u32>(), Arc::clone(other)));
            }
        }
    }
    neighbours.sort_unstable_by_key(|(shares_requests, draw, _)| (*shares_requests, *draw));
    neighbours.truncate(MAX_CHECKED_NEIGHBOURS);
    let checks = neighbours.into_iter().map(|(_, _, neighbour)| async move {
        let has_ended = accepts_no_connection(&neighbour).await;
        has_ended.then_some(neighbour)
    });
    futures_util::future::join_all(checks).await.into_iter().flatten().collect()
}

/// Returns whether a backend server accepts no connection.
async fn accepts_no_connection(server: &Server) -> bool {
    match server.connect().await {
        Ok(connection) => {
            server.pool.release(connection, None);
            false
        }
        Err(ConnectError::Refused | ConnectError::Failed) => true,
        Err(ConnectError::Closed | ConnectError::LimitReached) => false,
    }
}

/// Reports a backend server that was found ended for an abandoned call; `has_common_cause` is whether others may have
/// ended with it that had not got the request.
fn report_abandoned(
    server: &Server,
    fingerprint: Fingerprint,
    found_at: Instant,
    has_common_cause: bool,
    context: &GatewayContext,
) {
    let now = Instant::now();
    log::info!(fingerprint = fingerprint, server = server.published.id.as_str(),
        common_cause = has_common_cause;
        "backend server was lost after a call to it was abandoned");
    let report = CrashReport {
        age_ms: now.saturating_duration_since(found_at).as_millis() as u64,
        fingerprint,
        has_common_cause,
        processes: vec![process_hash(&server.published)],
        ..CrashReport::default()
    };
    context.crash_tracker.record(&report, now);
}

/// Checks a backend server, and reports those that have ended meanwhile together.
async fn check(server: Arc<Server>, request: Arc<OutboundRequest>, context: GatewayContext) {
    let outcomes = &request.attempt_outcomes;
    if !has_ended(&server).await {
        outcomes.record_alive();
        log::info!(
            request = id_text(&request.request_id).as_ref(),
            server = server.published.id.as_str();
            "the connection broke, and the backend server accepts others"
        );
        return;
    }
    let checked_at = Instant::now();
    if !outcomes.record_ended(&server) {
        // Another check reports it.
        return;
    }
    tokio::time::sleep(ANSWER_TIME).await;
    let is_reached = is_path_confirmed(&server, checked_at).await;
    let ended = outcomes.take_ended();
    if outcomes.is_answered() {
        return;
    }
    if !is_reached {
        log::info!(
            request = id_text(&request.request_id).as_ref(),
            unreachable = ended.len();
            "not counted as crashes: no backend server responds to this VM"
        );
        return;
    }
    let fingerprint = request.fingerprint;
    log::info!(
        request = id_text(&request.request_id).as_ref(),
        fingerprint = fingerprint,
        lost = ended.len();
        "backend servers were lost while the request ran"
    );
    let processes = ended.iter().map(|server| process_hash(&server.published)).collect();
    let report = CrashReport { fingerprint, processes, ..CrashReport::default() };
    context.crash_tracker.record(&report, Instant::now());
}

/// Returns whether nothing listens at the address of a backend server any more.
async fn has_ended(server: &Server) -> bool {
    for _ in 0..MAX_CHECKS {
        match server.connect().await {
            Ok(connection) => {
                tokio::time::sleep(CHECK_INTERVAL).await;
                if !connection.sender.is_closed() {
                    server.pool.release(connection, None);
                    return false;
                }
            }
            Err(ConnectError::Refused) => return true,
            // Silence may be that of a path.
            Err(ConnectError::Closed | ConnectError::Failed) => return false,
            Err(ConnectError::LimitReached) => tokio::time::sleep(CHECK_INTERVAL).await,
        }
    }
    false
}

/// Waits for a response of any backend server that shows that this VM is not cut off: then one that refused a connection
/// at `checked_at` has ended.
async fn is_path_confirmed(server: &Server, checked_at: Instant) -> bool {
    let contact = server.contact();
    while !contact.has_responded_since(checked_at + UNREAD_TIME) {
        if !server.allows_requests() {
            // Its entry shows that it is gone.
            return true;
        }
        if checked_at.elapsed() >= MAX_PATH_WAIT {
            return false;
        }
        contact.ask();
        tokio::time::sleep(PATH_CHECK_INTERVAL).await;
    }
    checked_at.elapsed() < RECHECK_AFTER || !server.allows_requests() || has_ended(server).await
}

/// Returns the hash of a process of a backend server, the same on every VM.
fn process_hash(published: &PublishedServer) -> ProcessHash {
    xxhash_rust::xxh3::xxh3_64_with_seed(published.id.as_bytes(), published.process_start_unix_ms)
}
