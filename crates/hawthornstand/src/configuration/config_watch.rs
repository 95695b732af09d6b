//! Watches the platform for configuration changes, on the designated watchers of each failure domain and as a
//! fallback on any other VM.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use tokio::time::Instant;

use crate::configuration::config_store::ApplyOutcome;
use crate::configuration::platform::{PlatformReader, to_peer_list};
use crate::configuration::published::{RawConfig, WatchAnswer};
use crate::ids::rendezvous_weight;
use crate::process::context::Context;

/// Time between two checks of whether this VM should watch.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Delay after a failed read, without jitter.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// State of the watch, with the configuration last read, accepted or not.
#[derive(Default)]
struct WatchState {
    failing: bool,
    next_address: usize,
    raw: RawConfig,
}

/// Watches the platform until the process ends.
pub async fn run(context: Arc<Context>, platform: Arc<dyn PlatformReader>) {
    let mut ticks = context.timer.subscribe(ROLE_CHECK_INTERVAL);
    let mut state = WatchState {
        next_address: rendezvous_weight(0, &context.identity.vm_id) as usize % 1024,
        ..WatchState::default()
    };
    let jitter_ms = rand::rng().random_range(0..=context.settings.platform.start_jitter_ms);
    tokio::time::sleep(Duration::from_millis(jitter_ms)).await;
    loop {
        if !should_watch(&context) {
            if ticks.next().await.is_none() {
                return;
            }
            continue;
        }
        watch_once(&context, &*platform, &mut state).await;
    }
}

/// Returns whether this VM watches: it is among the first VMs of its failure domain, or the platform's state has
/// not been confirmed for the takeover time.
fn should_watch(context: &Context) -> bool {
    let list = context.config.list();
    let own = &context.identity.vm_id;
    let mut domain: Vec<&str> = Vec::new();
    for vm in &list.vms {
        let same_domain = vm.entry && vm.failure_domain == context.settings.failure_domain;
        if !same_domain || vm.leaving || (vm.id != *own && context.peers.is_unreachable(&vm.id)) {
            continue;
        }
        domain.push(&vm.id);
    }
    if domain.is_empty() || context.config.revision() == 0 {
        return true;
    }
    let watchers = context.settings.platform.watchers_per_failure_domain as usize;
    if domain.iter().take(watchers).any(|id| id == own) {
        return true;
    }
    let takeover_after = Duration::from_millis(context.settings.platform.takeover_ms);
    if context.config.last_platform_contact().is_some_and(|at| at.elapsed() < takeover_after) {
        return false;
    }
    // On average one VM of the failure domain takes over per check.
    rand::rng().random_range(0..domain.len()) == 0
}

/// Sends one watch request to the next address and applies the answer.
async fn watch_once(context: &Context, platform: &dyn PlatformReader, state: &mut WatchState) {
    let settings = &context.settings.platform;
    if settings.addresses.is_empty() {
        tokio::time::sleep(RETRY_DELAY).await;
        return;
    }
    adopt_accepted(context, state);
    let address = &settings.addresses[state.next_address % settings.addresses.len()];
    state.next_address += 1;
    let wait = Duration::from_millis(if context.config.revision() == 0 {
        0
    } else {
        settings.watch_timeout_ms
    });
    let list_after = context.config.list().revision;
    context.metrics.count("platform.calls");
    let started = Instant::now();
    match platform.watch(address, state.raw.revision, list_after, wait).await {
        Ok(answer) => {
            if state.failing {
                log::info!("platform reachable again at {address}");
                state.failing = false;
            }
            apply_answer(context, state, answer);
            if started.elapsed() < Duration::from_millis(20) {
                let pause_ms = rand::rng().random_range(20..120);
                tokio::time::sleep(Duration::from_millis(pause_ms)).await;
            }
        }
        Err(e) => {
            context.metrics.count("platform.failures");
            if !state.failing {
                log::warn!(
                    "cannot read from the platform at {address}: {e}; the accepted configuration stays active"
                );
                state.failing = true;
            }
            let jitter_ms = rand::rng().random_range(0..500);
            tokio::time::sleep(RETRY_DELAY + Duration::from_millis(jitter_ms)).await;
        }
    }
}

/// Replaces the configuration last read with the accepted one if other VMs delivered a newer revision.
fn adopt_accepted(context: &Context, state: &mut WatchState) {
    let Some(accepted) = context.config.accepted() else { return };
    if accepted.raw.revision > state.raw.revision {
        state.raw = accepted.raw.clone();
    }
}

/// Applies an answer; the configuration of a stale replica is ignored and does not count as contact.
fn apply_answer(context: &Context, state: &mut WatchState, answer: WatchAnswer) {
    let stale_config = answer.config.revision < state.raw.revision;
    if let Some(list) = answer.vms {
        context.config.apply_list(to_peer_list(list));
    }
    if stale_config {
        context.metrics.count("platform.stale");
        return;
    }
    context.config.record_platform_contact(Instant::now());
    if !state.raw.apply(&answer.config) {
        return;
    }
    if context.config.apply_config(&state.raw) == ApplyOutcome::Rejected {
        context.metrics.count("config.rejected");
    }
}
