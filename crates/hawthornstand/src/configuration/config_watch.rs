//! Watches the platform where this VM is a watcher, or where nobody else seems to.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use tokio::time::Instant;

use crate::configuration::config_store::Offer;
use crate::configuration::platform::{PlatformReader, to_peer_list};
use crate::configuration::published::{RawConfig, WatchAnswer};
use crate::ids::rendezvous_weight;
use crate::process::context::Context;

/// Time between two looks at whether this VM watches.
const ROLE_INTERVAL: Duration = Duration::from_millis(500);
/// Pause after a failed read.
const FAILURE_PAUSE: Duration = Duration::from_millis(500);

/// What this VM last read, accepted or not.
#[derive(Default)]
struct Reader {
    failing: bool,
    next_address: usize,
    raw: RawConfig,
}

/// Reads and watches until the process ends.
pub async fn run(context: Arc<Context>, platform: Arc<dyn PlatformReader>) {
    let mut ticks = context.timer.subscribe(ROLE_INTERVAL);
    let mut reader = Reader {
        next_address: rendezvous_weight(0, &context.identity.vm_id) as usize % 1024,
        ..Reader::default()
    };
    let jitter_ms = rand::rng().random_range(0..=context.settings.platform.start_jitter_ms);
    tokio::time::sleep(Duration::from_millis(jitter_ms)).await;
    loop {
        if !reads_now(&context) {
            if ticks.next().await.is_none() {
                return;
            }
            continue;
        }
        read_once(&context, &*platform, &mut reader).await;
    }
}

/// Returns whether this VM watches: it is among the first of its failure domain, or news is overdue.
fn reads_now(context: &Context) -> bool {
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
    let overdue = Duration::from_millis(context.settings.platform.takeover_ms);
    if context.config.contact().is_some_and(|at| at.elapsed() < overdue) {
        return false;
    }
    // About one VM of the failure domain takes over at each look.
    rand::rng().random_range(0..domain.len()) == 0
}

/// Reads once from the next address and takes the answer over.
async fn read_once(context: &Context, platform: &dyn PlatformReader, reader: &mut Reader) {
    let settings = &context.settings.platform;
    if settings.addresses.is_empty() {
        tokio::time::sleep(FAILURE_PAUSE).await;
        return;
    }
    adopt_accepted(context, reader);
    let address = &settings.addresses[reader.next_address % settings.addresses.len()];
    reader.next_address += 1;
    let wait = Duration::from_millis(if context.config.revision() == 0 {
        0
    } else {
        settings.watch_timeout_ms
    });
    let list_after = context.config.list().revision;
    context.metrics.count("platform.calls");
    let started = Instant::now();
    match platform.watch(address, reader.raw.revision, list_after, wait).await {
        Ok(answer) => {
            if reader.failing {
                log::info!("the platform answers again at {address}");
                reader.failing = false;
            }
            take_over(context, reader, answer);
            if started.elapsed() < Duration::from_millis(20) {
                let pause_ms = rand::rng().random_range(20..120);
                tokio::time::sleep(Duration::from_millis(pause_ms)).await;
            }
        }
        Err(e) => {
            context.metrics.count("platform.failures");
            if !reader.failing {
                log::warn!(
                    "the platform does not answer at {address}: {e}; the accepted configuration stays in force"
                );
                reader.failing = true;
            }
            let jitter_ms = rand::rng().random_range(0..500);
            tokio::time::sleep(FAILURE_PAUSE + Duration::from_millis(jitter_ms)).await;
        }
    }
}

/// Starts from the accepted configuration where other VMs brought a newer one than was read here.
fn adopt_accepted(context: &Context, reader: &mut Reader) {
    let Some(accepted) = context.config.accepted() else { return };
    if accepted.raw.revision > reader.raw.revision {
        reader.raw = accepted.raw.clone();
    }
}

/// Takes an answer over; one from a stale replica changes nothing and counts as no contact.
fn take_over(context: &Context, reader: &mut Reader, answer: WatchAnswer) {
    let stale_config = answer.config.revision < reader.raw.revision;
    if let Some(list) = answer.vms {
        context.config.offer_list(to_peer_list(list));
    }
    if stale_config {
        context.metrics.count("platform.stale");
        return;
    }
    context.config.note_contact(Instant::now());
    if !reader.raw.apply(&answer.config) {
        return;
    }
    if context.config.offer(&reader.raw) == Offer::Rejected {
        context.metrics.count("config.rejected");
    }
}
