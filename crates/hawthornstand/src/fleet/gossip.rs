//! Exchange of heartbeats, published state and facts over links.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::fleet::peers::Link;
use crate::messages::{Fact, FactBody, Frame, Heartbeat, Published};
use crate::process::context::Context;

/// Sends heartbeats periodically and when the published state changes, until the process ends.
pub async fn run(context: Arc<Context>) {
    let mut ticks = context
        .timer
        .subscribe(Duration::from_millis(context.settings.gossip.heartbeat_interval_ms));
    let mut changes = context.config.subscribe();
    loop {
        tokio::select! {
            tick = ticks.next() => if tick.is_none() { return },
            changed = changes.changed() => if changed.is_err() { return },
        }
        changes.mark_unchanged();
        context.peers.broadcast(&Frame::Heartbeat(heartbeat(&context)), None);
        context.quarantine.remove_expired(Instant::now());
    }
}

/// Sends a heartbeat and all current facts over a new link.
pub fn send_initial_state(context: &Context, link: &Link) {
    link.enqueue(Frame::Heartbeat(heartbeat(context)));
    let mut bodies = context.quarantine.facts(Instant::now());
    for leaf in context.leafs.all().iter() {
        let boot_id = leaf.with_state(|state| state.reported_leaving.then_some(state.boot_id));
        if let Some(boot_id) = boot_id {
            bodies.push(FactBody::LeafLeaving { boot_id, leaf: leaf.id.clone() });
        }
    }
    let mut facts = context.block_versions.facts();
    facts.extend(bodies.into_iter().map(|body| context.peers.new_fact(body)));
    if !facts.is_empty() {
        link.enqueue(Frame::Facts { facts });
    }
}

/// Handles a gossip frame; other frames are ignored.
pub fn handle_frame(context: &Arc<Context>, link: &Arc<Link>, frame: Frame) {
    match frame {
        Frame::Facts { facts } => handle_facts(context, link, facts),
        Frame::Heartbeat(heartbeat) => handle_heartbeat(context, link, heartbeat),
        Frame::Published(published) => handle_published(context, published),
        Frame::Pull(pull) => {
            let list = context.config.list();
            let published = Published {
                config: context.config.delta_after(pull.config_after),
                list: (list.revision > pull.list_after).then(|| (*list).clone()),
            };
            context.metrics.count("gossip.pulls_served");
            link.enqueue(Frame::Published(published));
        }
        Frame::Cancel { .. } | Frame::Hello(_) | Frame::Request { .. } | Frame::Response { .. } => {
        }
    }
}

/// Returns the heartbeat of this VM: its revisions and its state.
fn heartbeat(context: &Context) -> Heartbeat {
    let contact_age =
        context.config.last_platform_contact().map(|at| at.elapsed().as_millis() as u64);
    Heartbeat {
        accepted_revision: context.config.revision(),
        contact_age_ms: contact_age.unwrap_or(u64::MAX),
        draining: context.is_stopping(),
        list_revision: context.config.list().revision,
    }
}

/// Records a heartbeat, and requests the published state if the sender has a newer revision.
fn handle_heartbeat(context: &Context, link: &Link, heartbeat: Heartbeat) {
    let now = Instant::now();
    let age = Duration::from_millis(heartbeat.contact_age_ms);
    if let Some(at) = now.checked_sub(age) {
        context.config.record_platform_contact(at);
    }
    let (config_after, list_after) = (context.config.revision(), context.config.list().revision);
    if heartbeat.accepted_revision > config_after || heartbeat.list_revision > list_after {
        link.enqueue(Frame::Pull(crate::messages::Pull { config_after, list_after }));
    }
    link.record_heartbeat(heartbeat, now);
}

/// Applies published state to the configuration store, which checks it like state from the platform.
fn handle_published(context: &Context, published: Published) {
    if let Some(list) = published.list {
        context.config.apply_list(list);
    }
    let Some(delta) = published.config else { return };
    let outcome = context.config.apply_delta(&delta);
    context.metrics.count(match outcome {
        crate::configuration::config_store::ApplyOutcome::Accepted => "gossip.config_accepted",
        crate::configuration::config_store::ApplyOutcome::Rejected => "gossip.config_rejected",
        crate::configuration::config_store::ApplyOutcome::Stale => "gossip.config_stale",
    });
}

/// Applies facts and forwards those that changed something to all other VMs.
fn handle_facts(context: &Context, link: &Link, facts: Vec<Fact>) {
    let mut new_facts = Vec::new();
    for mut fact in facts {
        if fact.origin == 0 {
            fact.origin = link.hello.boot_id;
        }
        if apply_fact(context, &fact) {
            new_facts.push(fact);
        }
    }
    if !new_facts.is_empty() {
        context.peers.broadcast(&Frame::Facts { facts: new_facts }, Some(&link.hello.vm_id));
    }
}

/// Applies a fact; returns whether it changed anything on this VM.
///
/// A suspect or quarantined request received from another VM stays so for at most `quarantine_ms` of this VM's
/// settings.
fn apply_fact(context: &Context, fact: &Fact) -> bool {
    let now = Instant::now();
    let max_ttl = Duration::from_millis(context.settings.quarantine.quarantine_ms);
    match &fact.body {
        FactBody::BlockVersions { block, versions } => {
            let accepted =
                context.block_versions.apply_report(*block, fact.origin, fact.sequence, versions);
            if accepted {
                context.leafs.bump_generation();
            }
            accepted
        }
        FactBody::Cleared { fingerprint } => context.quarantine.clear_suspect(*fingerprint),
        FactBody::LeafLeaving { boot_id, leaf } => context.leafs.mark_leaving(leaf, *boot_id),
        FactBody::Quarantined { fingerprint, ttl_ms } => context.quarantine.mark_quarantined(
            *fingerprint,
            Duration::from_millis(*ttl_ms).min(max_ttl),
            now,
        ),
        FactBody::Suspect { fingerprint, owner, ttl_ms } => context.quarantine.mark_suspect(
            *fingerprint,
            owner,
            Duration::from_millis(*ttl_ms).min(max_ttl),
            now,
        ),
    }
}
