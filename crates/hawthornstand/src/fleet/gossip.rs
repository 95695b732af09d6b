//! Exchange of published state and facts over links.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::fleet::peers::Link;
use crate::messages::{Fact, FactBody, Frame, Heartbeat, Published};
use crate::process::context::Context;

/// Announces changes and sends heartbeats until the process ends.
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

/// Sends the present state over a new link.
pub fn greet(context: &Context, link: &Link) {
    link.offer(Frame::Heartbeat(heartbeat(context)));
    let mut bodies = context.quarantine.facts(Instant::now());
    for leaf in context.leafs.all().iter() {
        let boot_id = leaf.with_state(|state| state.said_leaving.then_some(state.boot_id));
        if let Some(boot_id) = boot_id {
            bodies.push(FactBody::LeafLeaving { boot_id, leaf: leaf.id.clone() });
        }
    }
    let mut facts = context.block_versions.facts();
    facts.extend(bodies.into_iter().map(|body| context.peers.state_fact(body)));
    if !facts.is_empty() {
        link.offer(Frame::Facts { facts });
    }
}

/// Takes a frame over.
pub fn receive(context: &Arc<Context>, link: &Arc<Link>, frame: Frame) {
    match frame {
        Frame::Facts { facts } => receive_facts(context, link, facts),
        Frame::Heartbeat(heartbeat) => receive_heartbeat(context, link, heartbeat),
        Frame::Published(published) => receive_published(context, published),
        Frame::Pull(pull) => {
            let list = context.config.list();
            let published = Published {
                config: context.config.delta_after(pull.config_after),
                list: (list.revision > pull.list_after).then(|| (*list).clone()),
            };
            context.metrics.count("gossip.pulls_served");
            link.offer(Frame::Published(published));
        }
        Frame::Cancel { .. } | Frame::Hello(_) | Frame::Request { .. } | Frame::Response { .. } => {
        }
    }
}

/// Returns the state of this VM.
fn heartbeat(context: &Context) -> Heartbeat {
    let contact_age = context.config.contact().map(|at| at.elapsed().as_millis() as u64);
    Heartbeat {
        accepted_revision: context.config.revision(),
        contact_age_ms: contact_age.unwrap_or(u64::MAX),
        draining: context.is_stopping(),
        list_revision: context.config.list().revision,
    }
}

/// Asks for what the sender has and this VM lacks.
fn receive_heartbeat(context: &Context, link: &Link, heartbeat: Heartbeat) {
    let now = Instant::now();
    let age = Duration::from_millis(heartbeat.contact_age_ms);
    if let Some(at) = now.checked_sub(age) {
        context.config.note_contact(at);
    }
    let (config_after, list_after) = (context.config.revision(), context.config.list().revision);
    if heartbeat.accepted_revision > config_after || heartbeat.list_revision > list_after {
        link.offer(Frame::Pull(crate::messages::Pull { config_after, list_after }));
    }
    link.note_heartbeat(heartbeat, now);
}

/// Takes newer published state over; it goes through the same checks as the platform's.
fn receive_published(context: &Context, published: Published) {
    if let Some(list) = published.list {
        context.config.offer_list(list);
    }
    let Some(delta) = published.config else { return };
    let offer = context.config.apply_delta(&delta);
    context.metrics.count(match offer {
        crate::configuration::config_store::Offer::Accepted => "gossip.config_accepted",
        crate::configuration::config_store::Offer::Rejected => "gossip.config_rejected",
        crate::configuration::config_store::Offer::Stale => "gossip.config_stale",
    });
}

/// Takes facts over and passes on those that are news.
fn receive_facts(context: &Context, link: &Link, facts: Vec<Fact>) {
    let mut news = Vec::new();
    for mut fact in facts {
        if fact.origin == 0 {
            fact.origin = link.hello.boot_id;
        }
        if apply(context, &fact) {
            news.push(fact);
        }
    }
    if !news.is_empty() {
        context.peers.broadcast(&Frame::Facts { facts: news }, Some(&link.hello.vm_id));
    }
}

/// Applies a fact; returns whether it changed anything here.
fn apply(context: &Context, fact: &Fact) -> bool {
    let now = Instant::now();
    let longest = Duration::from_millis(context.settings.quarantine.quarantine_ms);
    match &fact.body {
        FactBody::BlockVersions { block, versions } => {
            let accepted = context.block_versions.set(*block, fact.origin, fact.sequence, versions);
            if accepted {
                context.leafs.bump();
            }
            accepted
        }
        FactBody::Cleared { fingerprint } => context.quarantine.clear_suspect(*fingerprint),
        FactBody::LeafLeaving { boot_id, leaf } => context.leafs.note_leaving(leaf, *boot_id),
        FactBody::Quarantined { fingerprint, ttl_ms } => context.quarantine.mark_quarantined(
            *fingerprint,
            Duration::from_millis(*ttl_ms).min(longest),
            now,
        ),
        FactBody::Suspect { fingerprint, owner, ttl_ms } => context.quarantine.mark_suspect(
            *fingerprint,
            owner,
            Duration::from_millis(*ttl_ms).min(longest),
            now,
        ),
    }
}
