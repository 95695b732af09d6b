//! Puts the parts of the gateway together and runs them until a planned stop.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::time::Instant;

use crate::gateway::attempts::GatewayContext;
use crate::gateway::crash_tracker::CrashTracker;
use crate::gateway::maintenance;
use crate::gateway::peer_link;
use crate::gateway::peers::Peers;
use crate::gateway::protocol::{HttpProtocol, PublishedStore};
use crate::gateway::reload::{Reload, SettingsSource};
use crate::gateway::request_handler::{self, RequestHandler};
use crate::gateway::settings::GatewaySettings;
use crate::gateway::state::State;
use crate::gateway::store_watch::{self, ReadDuty, ReadsAlways};
use crate::gateway::telemetry::Telemetry;
use crate::process::clock::SystemClock;
use crate::process::ending::Ending;
use crate::process::http_server::{self, HttpLimits};
use crate::process::log_limit::LogLosses;
use crate::process::timer::TimerService;

/// Time for which a stopping VM still accepts callers: the balancer asks once a second and believes the
/// second failed answer.
const BALANCER_NOTICE: Duration = Duration::from_millis(3200);
/// Part of the grace that is left unused, so that the process ends by itself.
const GRACE_MARGIN_SHARE: f64 = 1.0 / 6.0;
/// Time between two looks at running requests during a stop.
const STOP_CHECK: Duration = Duration::from_millis(20);

/// Runs the gateway until SIGTERM.
pub async fn run(
    settings: GatewaySettings,
    source: Box<dyn SettingsSource>,
    protocol: Arc<dyn HttpProtocol>,
    store: Arc<dyn PublishedStore>,
    log_losses: LogLosses,
) -> std::io::Result<Ending> {
    let mut terminate = signal(SignalKind::terminate())?;
    let asked_to_reload = signal(SignalKind::hangup())?;
    let reload = Reload::new(settings.clone(), source);
    let in_force = reload.subscribe();
    let caller_listener = TcpListener::bind(settings.caller_address).await?;
    let readiness_listener = TcpListener::bind(settings.readiness_address).await?;
    let telemetry = Arc::new(Telemetry::new(log_losses));
    let state = Arc::new(State::new(&settings, Arc::clone(&store), Arc::clone(&telemetry)));
    let culprits = Arc::new(CrashTracker::default());
    let means = GatewayContext {
        crash_tracker: Arc::clone(&culprits),
        protocol,
        telemetry: Arc::clone(&telemetry),
    };
    let callers =
        Arc::new(RequestHandler::new(Arc::new(SystemClock), means.clone(), Arc::clone(&state)));
    let (stop, stopped) = watch::channel(false);
    let (_never, running) = watch::channel(false);

    let mut duty: Arc<dyn ReadDuty> = Arc::new(ReadsAlways);
    tokio::spawn(maintenance::run(Arc::clone(&state), means, TimerService, in_force.clone()));
    if let Some(address) = settings.peer_address {
        let listener = TcpListener::bind(address).await?;
        let link_bytes = telemetry.link_bytes.clone();
        let peers =
            Arc::new(Peers::new(address, &settings, culprits, Arc::clone(&state), link_bytes));
        tokio::spawn(peer_link::serve(Arc::clone(&peers), listener));
        tokio::spawn(peer_link::run(Arc::clone(&peers), in_force.clone()));
        duty = peers;
    }
    tokio::spawn(store_watch::run(Arc::clone(&state), store, duty, telemetry));
    if let Some(address) = settings.metrics_address {
        serve_metrics(address, Arc::clone(&callers), running.clone()).await;
    }
    tokio::spawn(http_server::serve(readiness_listener, running, HttpLimits::default, {
        let callers = Arc::clone(&callers);
        move |request| request_handler::readiness(Arc::clone(&callers), request)
    }));
    let serving = tokio::spawn(http_server::serve(
        caller_listener,
        stopped,
        {
            let callers = Arc::clone(&callers);
            move || callers.limits()
        },
        {
            let callers = Arc::clone(&callers);
            move |request| Arc::clone(&callers).handle(request)
        },
    ));
    log::info!(vm = settings.vm_id.as_str(); "started");

    tokio::spawn(reload.run(asked_to_reload, TimerService));
    terminate.recv().await;
    let grace = in_force.borrow().grace;
    let end = Instant::now() + grace.mul_f64(1.0 - GRACE_MARGIN_SHARE);
    log::info!(running = callers.running(); "stop begun; readiness fails, requests are still served");
    callers.begin_stop();
    tokio::time::sleep(BALANCER_NOTICE.min(grace / 2)).await;
    stop.send_replace(true);
    let closed = tokio::time::timeout_at(end, serving).await.is_ok();
    while callers.running() > 0 && Instant::now() < end {
        tokio::time::sleep(STOP_CHECK).await;
    }
    log::info!(running = callers.running(), closed = closed; "stopped");
    Ok(if closed && callers.running() == 0 { Ending::Clean } else { Ending::CutOff })
}

/// Serves metrics and the status; callers are served without them if the address is taken.
async fn serve_metrics(
    address: SocketAddr,
    callers: Arc<RequestHandler>,
    running: watch::Receiver<bool>,
) {
    let listener = match TcpListener::bind(address).await {
        Ok(listener) => listener,
        Err(error) => {
            log::error!(address = address.to_string();
                "no metrics: {error}; choose another port for them");
            return;
        }
    };
    tokio::spawn(http_server::serve(listener, running, HttpLimits::default, move |request| {
        request_handler::metrics(Arc::clone(&callers), request)
    }));
}
