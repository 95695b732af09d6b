//! Wires the daemon's components together and runs them until shutdown.

use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;
use tokio::time::Instant;

use crate::backends::health_prober;
use crate::callers::caller_http;
use crate::configuration::config_watch;
use crate::configuration::platform::HttpPlatformReader;
use crate::fleet::gossip;
use crate::fleet::link;
use crate::fleet::overlay;
use crate::fleet::version_reports;
use crate::policy::ejection;
use crate::process::admin_http;
use crate::process::context::Context;
use crate::process::http_limits::HttpLimits;
use crate::process::http_server;
use crate::process::open_files;
use crate::process::shutdown::ShutdownOutcome;
use crate::process::startup;
use crate::process::trace;
use crate::settings::DaemonSettings;

/// Runs the daemon until SIGTERM or SIGINT.
pub async fn run(settings: DaemonSettings) -> std::io::Result<ShutdownOutcome> {
    trace::start(&settings.trace, &settings.vm_id)?;
    let callers = TcpListener::bind(&settings.caller_address).await?;
    let peers = TcpListener::bind(&settings.peer_address).await?;
    let admin = TcpListener::bind(&settings.admin_address).await?;
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let platform = Arc::new(HttpPlatformReader {
        call_timeout: Duration::from_millis(settings.platform.call_timeout_ms),
    });
    let context = Arc::new(Context::new(settings));
    context.peers.set_dialer(Box::new(link::Dialer::new(&context)));
    let (stop, stopped) = watch::channel(false);

    tokio::spawn(version_reports::run(Arc::clone(&context)));
    tokio::spawn(config_watch::run(Arc::clone(&context), platform));
    tokio::spawn(ejection::run(Arc::clone(&context)));
    tokio::spawn(gossip::run(Arc::clone(&context)));
    tokio::spawn(health_prober::run(Arc::clone(&context)));
    tokio::spawn(http_server::serve(
        admin,
        stopped.clone(),
        HttpLimits::default().fixed(),
        Arc::default(),
        {
            let context = Arc::clone(&context);
            move |request| admin_http::handle(Arc::clone(&context), request)
        },
    ));
    tokio::spawn(link::serve(Arc::clone(&context), peers));
    tokio::spawn(overlay::run(Arc::clone(&context)));
    tokio::spawn(startup::run(Arc::clone(&context)));
    let max_connections = context.settings.admission.max_connections as usize;
    let max_connections = max_connections.min(open_files::limit() / 2);
    let limits = HttpLimits { accepts_http2: true, max_connections, ..HttpLimits::default() };
    let serving =
        tokio::spawn(http_server::serve(callers, stopped, limits.fixed(), Arc::default(), {
            let context = Arc::clone(&context);
            move |request| caller_http::handle(Arc::clone(&context), request)
        }));
    log::info!("VM {} started, boot id {:016x}", context.identity.vm_id, context.identity.boot_id);

    next_signal(&mut terminate, &mut interrupt).await;
    let outcome = tokio::select! {
        outcome = shut_down(&context, &stop, serving) => outcome,
        () = next_signal(&mut terminate, &mut interrupt) => ShutdownOutcome::Interrupted,
    };
    if outcome == ShutdownOutcome::Interrupted {
        log::error!(
            "stopped while {} requests were still running; raise shutdown.limit_ms",
            context.running_requests()
        );
    } else {
        log::info!("stopped after all requests had finished");
    }
    fastrace::flush();
    Ok(outcome)
}

/// Waits for SIGTERM or SIGINT.
async fn next_signal(terminate: &mut Signal, interrupt: &mut Signal) {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}

/// Shuts down gracefully: fails readiness checks, closes the callers' listener, waits until the issued
/// tickets have expired, then waits for running requests.
async fn shut_down(
    context: &Arc<Context>,
    stop: &watch::Sender<bool>,
    serving: tokio::task::JoinHandle<()>,
) -> ShutdownOutcome {
    let settings = &context.settings.shutdown;
    let limit = Instant::now() + Duration::from_millis(settings.limit_ms);
    log::info!("shutdown started; readiness fails, requests are still served");
    context.begin_stop();
    tokio::time::sleep(Duration::from_millis(settings.drain_notice_ms)).await;
    stop.send_replace(true);
    let closed = tokio::time::timeout_at(limit, serving).await.is_ok();
    // Callers are disconnected, but other VMs still forward bookings whose tickets this VM issued.
    wait_for_ticket_expiry(context, limit).await;
    while context.running_requests() > 0 && Instant::now() < limit {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    if closed && context.running_requests() == 0 {
        ShutdownOutcome::Clean
    } else {
        ShutdownOutcome::Interrupted
    }
}

/// Waits until no ticket of this incarnation can start a booking any more, at most until `limit`.
async fn wait_for_ticket_expiry(context: &Context, limit: Instant) {
    while Instant::now() < limit {
        let now = context.tickets.now_unix_ms(&*context.clock);
        if now >= context.tickets.last_expiry_unix_ms() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}
