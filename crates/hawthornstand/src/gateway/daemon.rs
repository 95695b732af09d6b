//! Starts the tasks of the gateway and runs them until a graceful shutdown.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::time::Instant;

use crate::gateway::caller_limits;
use crate::gateway::context::GatewayContext;
use crate::gateway::crash_tracker::CrashTracker;
use crate::gateway::maintenance;
use crate::gateway::peer_link;
use crate::gateway::peers::Peers;
use crate::gateway::protocol::{HttpProtocol, PublishedStore};
use crate::gateway::relays::host::RelayHost;
use crate::gateway::relays::links::RelayLinks;
use crate::gateway::reload::{SettingsReloader, SettingsSource};
use crate::gateway::request_handler::{self, RequestHandler};
use crate::gateway::request_load::RequestLoad;
use crate::gateway::settings::GatewaySettings;
use crate::gateway::state::PublishedState;
use crate::gateway::store_watch::{self, AlwaysRead, ReadPolicy};
use crate::gateway::telemetry::Telemetry;
use crate::process::body_memory::BodyMemory;
use crate::process::clock::SystemClock;
use crate::process::connection_table::ConnectionTable;
use crate::process::http_limits::HttpLimits;
use crate::process::http_server;
use crate::process::log_limit::LogLosses;
use crate::process::open_files;
use crate::process::shutdown::ShutdownOutcome;
use crate::process::timer::TimerService;

/// Time for which a VM that shuts down still accepts callers: the load balancer checks readiness once a second and
/// stops sending callers after the second failed check.
const BALANCER_DETECTION_TIME: Duration = Duration::from_millis(3200);
/// Fraction of the grace period after which every caller has been answered.
const ANSWER_FRACTION: f64 = 5.0 / 6.0;
/// Fraction of the grace period within which the last answers are sent; the rest is left unused, so that the process
/// exits before SIGKILL.
const SEND_FRACTION: f64 = 1.0 / 12.0;
/// Time between two checks for running requests during the shutdown.
const SHUTDOWN_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Runs the gateway until SIGTERM, then shuts it down within the grace period.
///
/// # Errors
///
/// Fails if a signal handler cannot be installed or an address other than that for metrics cannot be bound.
pub async fn run(
    settings: GatewaySettings,
    source: Box<dyn SettingsSource>,
    protocol: Arc<dyn HttpProtocol>,
    store: Arc<dyn PublishedStore>,
    log_losses: LogLosses,
) -> std::io::Result<ShutdownOutcome> {
    let mut terminate = signal(SignalKind::terminate())?;
    let reload_signal = signal(SignalKind::hangup())?;
    let reloader = SettingsReloader::new(settings.clone(), source);
    let active_settings = reloader.subscribe();
    let caller_listener = TcpListener::bind(settings.caller_address).await?;
    let readiness_listener = TcpListener::bind(settings.readiness_address).await?;
    let telemetry = Arc::new(Telemetry::new(log_losses));
    let state = Arc::new(PublishedState::new(
        &settings,
        Arc::new(SystemClock),
        Arc::clone(&store),
        Arc::clone(&telemetry),
    ));
    let crash_tracker = Arc::new(CrashTracker::default());
    let context = GatewayContext {
        abandoned_calls: Arc::default(),
        answer_memory: Arc::default(),
        body_memory: Arc::new(BodyMemory::new(
            settings.body_memory_bytes(),
            telemetry.refused_bodies.clone(),
        )),
        caller_connections: Arc::new(ConnectionTable::new(telemetry.evicted_connections.clone())),
        crash_tracker: Arc::clone(&crash_tracker),
        protocol,
        telemetry: Arc::clone(&telemetry),
    };
    let load = Arc::new(RequestLoad::default());
    let (stop, stopped) = watch::channel(false);
    // The metrics and readiness listeners run until the process exits.
    let (_never_stop, running) = watch::channel(false);

    let mut read_policy: Arc<dyn ReadPolicy> = Arc::new(AlwaysRead);
    tokio::spawn(maintenance::run(
        Arc::clone(&state),
        context.clone(),
        TimerService,
        active_settings.clone(),
    ));
    let mut relays = None;
    if let Some(address) = settings.peer_address {
        let listener = TcpListener::bind(address).await?;
        let link_bytes = telemetry.link_bytes.clone();
        let peers =
            Arc::new(Peers::new(address, &settings, crash_tracker, Arc::clone(&state), link_bytes));
        let host = Arc::new(RelayHost::new(
            Arc::new(SystemClock),
            context.clone(),
            Arc::clone(&load),
            Arc::clone(&state),
        ));
        tokio::spawn(peer_link::serve(Arc::clone(&peers), Arc::clone(&host), listener));
        let links = Arc::new(RelayLinks::new(host, Arc::clone(&peers), Arc::clone(&telemetry)));
        tokio::spawn(Arc::clone(&links).run(TimerService));
        relays = Some(links);
        tokio::spawn(peer_link::run(Arc::clone(&peers), active_settings.clone()));
        read_policy = peers;
    }
    let reading =
        store_watch::run(settings.config_apply, Arc::clone(&state), store, read_policy, telemetry);
    tokio::spawn(reading);
    let caller_connections = Arc::clone(&context.caller_connections);
    let request_handler = Arc::new(RequestHandler {
        clock: Arc::new(SystemClock),
        context,
        load: Arc::clone(&load),
        relays,
        state: Arc::clone(&state),
    });
    let max_connections = settings.max_caller_connections(open_files::limit());
    if let Some(address) = settings.metrics_address {
        serve_metrics(address, Arc::clone(&request_handler), running.clone()).await;
    }
    tokio::spawn(http_server::serve(
        readiness_listener,
        running,
        HttpLimits::default().fixed(),
        Arc::default(),
        {
            let request_handler = Arc::clone(&request_handler);
            move |request| request_handler::readiness(Arc::clone(&request_handler), request)
        },
    ));
    let serving = tokio::spawn(http_server::serve(
        caller_listener,
        stopped,
        caller_limits::follow(state.subscribe_to_limits(), max_connections),
        caller_connections,
        {
            let request_handler = Arc::clone(&request_handler);
            move |request| Arc::clone(&request_handler).handle(request)
        },
    ));
    log::info!(vm = settings.vm_id.as_str(); "started");

    tokio::spawn(reloader.run(reload_signal, TimerService));
    terminate.recv().await;
    let grace = active_settings.borrow().grace;
    let answer_by = Instant::now() + grace.mul_f64(ANSWER_FRACTION);
    let end = answer_by + grace.mul_f64(SEND_FRACTION);
    log::info!(running = load.running(); "shutdown started; readiness fails, requests are still served");
    load.begin_stop(answer_by);
    tokio::time::sleep(BALANCER_DETECTION_TIME.min(grace / 2)).await;
    stop.send_replace(true);
    let closed = tokio::time::timeout_at(end, serving).await.is_ok();
    while load.running() > 0 && Instant::now() < end {
        tokio::time::sleep(SHUTDOWN_CHECK_INTERVAL).await;
    }
    log::info!(running = load.running(), closed = closed; "stopped");
    Ok(if closed && load.running() == 0 {
        ShutdownOutcome::Clean
    } else {
        ShutdownOutcome::Interrupted
    })
}

/// Serves metrics and the status; if the address is in use, the VM runs without them.
async fn serve_metrics(
    address: SocketAddr,
    request_handler: Arc<RequestHandler>,
    running: watch::Receiver<bool>,
) {
    let listener = match TcpListener::bind(address).await {
        Ok(listener) => listener,
        Err(error) => {
            log::error!(address = address.to_string();
                "metrics are not served: {error}; choose another port for them");
            return;
        }
    };
    let handle = move |request| request_handler::metrics(Arc::clone(&request_handler), request);
    tokio::spawn(http_server::serve(
        listener,
        running,
        HttpLimits::default().fixed(),
        Arc::default(),
        handle,
    ));
}
