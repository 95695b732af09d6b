//! What this VM believes of routes and backend servers.

use std::sync::{Arc, Mutex, PoisonError, RwLock};
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::Instant;

use crate::gateway::directory::Directory;
use crate::gateway::items::{Items, Update};
use crate::gateway::listing::RETURN_OF_ENTRIES;
use crate::gateway::model::{CallerLimits, Route, Routing, Target};
use crate::gateway::protocol::{PublishedKey, PublishedStore, PublishedValue};
use crate::gateway::readers;
use crate::gateway::routes::{Destination, ResolvedRoute, RouteTable};
use crate::gateway::settings::GatewaySettings;
use crate::gateway::telemetry::Telemetry;
use crate::gateway::weighted_round_robin::WeightedRoundRobin;
use crate::ids::Revision;
use crate::locks::lock;

/// The configuration in force.
pub struct InForce {
    pub limits: CallerLimits,
    pub table: RouteTable,
    pub version: u64,
}

/// Time without a confirmation of the store by any VM after which it may have been away for all of them.
const CONFIRMATION_GAP: Duration = readers::MAX_AGE;

/// Contact with the store.
#[derive(Clone, Copy, Debug)]
struct Contact {
    away: bool,
    /// Since when others have confirmed the store while it is away for this VM.
    back_for_others: Option<Instant>,
    /// End of the last outage, or the start of this process.
    back_since: Instant,
    had_outage: bool,
    lost_at: Option<Instant>,
}

impl Contact {
    /// Takes over that the store answered some VM; `gap` is the time since it last did.
    fn note_confirmed(&mut self, at: Instant, gap: Option<Duration>) {
        if !self.away || self.lost_at.is_some_and(|lost| at <= lost) {
            return;
        }
        if self.back_for_others.is_none() || gap.is_none_or(|gap| gap > CONFIRMATION_GAP) {
            self.back_for_others = Some(at);
        }
    }
}

/// Routes and backend servers, merged from the store and from other VMs.
pub struct State {
    pub directory: Directory,
    /// When the store last confirmed what is known, here or at another VM.
    confirmed: Mutex<Option<Instant>>,
    contact: Mutex<Contact>,
    in_force: RwLock<Option<Arc<InForce>>>,
    items: Mutex<Items>,
    news: watch::Sender<Revision>,
    phase: f64,
    store: Arc<dyn PublishedStore>,
    telemetry: Arc<Telemetry>,
}

impl State {
    /// Creates a state that knows nothing.
    pub fn new(
        settings: &GatewaySettings,
        store: Arc<dyn PublishedStore>,
        telemetry: Arc<Telemetry>,
    ) -> Self {
        Self {
            directory: Directory::new(settings.clone()),
            confirmed: Mutex::default(),
            contact: Mutex::new(Contact {
                away: false,
                back_for_others: None,
                back_since: Instant::now(),
                had_outage: false,
                lost_at: None,
            }),
            in_force: RwLock::default(),
            items: Mutex::default(),
            news: watch::Sender::new(0),
            phase: rand::random(),
            store,
            telemetry,
        }
    }

    /// Returns the configuration in force.
    pub fn in_force(&self) -> Option<Arc<InForce>> {
        self.in_force.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns the revision up to which everything is known.
    pub fn as_of(&self) -> Revision {
        lock(&self.items).as_of()
    }

    /// Subscribes to the revision known.
    pub fn news(&self) -> watch::Receiver<Revision> {
        self.news.subscribe()
    }

    /// Returns what a reader that knows a revision lacks.
    pub fn since(&self, revision: Revision) -> Update {
        lock(&self.items).since(revision)
    }

    /// Returns whether routes and backend servers are known.
    pub fn is_complete(&self) -> bool {
        self.in_force().is_some() && self.as_of() > 0
    }

    /// Notes that the store confirmed what is known a while ago.
    pub fn confirm(&self, age: Duration) {
        let Some(at) = Instant::now().checked_sub(age) else { return };
        let gap = {
            let mut confirmed = lock(&self.confirmed);
            let gap = confirmed.map(|known| at.saturating_duration_since(known));
            *confirmed = Some(confirmed.map_or(at, |known| known.max(at)));
            gap
        };
        lock(&self.contact).note_confirmed(at, gap);
    }

    /// Returns the time since the store last confirmed what is known.
    pub fn age_of_knowledge(&self) -> Option<Duration> {
        lock(&self.confirmed).map(|at| at.elapsed())
    }

    /// Notes whether the store answers; returns whether that is news.
    pub fn set_store_away(&self, away: bool) -> bool {
        let mut contact = lock(&self.contact);
        if contact.away && !away {
            contact.back_since = Instant::now();
        }
        if away && !contact.away {
            contact.lost_at = Some(Instant::now());
            contact.back_for_others = None;
        }
        contact.had_outage |= away;
        std::mem::replace(&mut contact.away, away) != away
    }

    /// Returns since when the store is back; none while it is away.
    ///
    /// A VM that has no duty to read does not find out by itself: what others confirm counts for it.
    pub fn store_back_since(&self) -> Option<Instant> {
        let contact = lock(&self.contact);
        if contact.away { contact.back_for_others } else { Some(contact.back_since) }
    }

    /// Returns whether the store is away or was until a moment ago.
    pub fn store_was_away(&self) -> bool {
        let contact = lock(&self.contact);
        contact.away || (contact.had_outage && contact.back_since.elapsed() < RETURN_OF_ENTRIES)
    }

    /// Takes over news from the store or from another VM.
    pub fn take_over(&self, update: &Update, from: &str) {
        let changed = lock(&self.items).apply(update);
        if !changed.is_empty() {
            self.interpret(&changed, update, from);
        }
        let as_of = self.as_of();
        self.news.send_if_modified(|known| {
            let is_news = !changed.is_empty() || as_of > *known;
            *known = as_of;
            is_news
        });
    }

    /// Lets time pass for vanished entries.
    pub fn age(&self, drain: Duration) {
        self.directory.age(self.store_back_since(), drain);
    }

    /// Applies changed items to routes and backend servers.
    fn interpret(&self, changed: &[String], update: &Update, from: &str) {
        for key in changed {
            let Some(change) = lock(&self.items).last_change(key).cloned() else { continue };
            match (self.store.read_key(key), change.value) {
                (PublishedKey::Unknown, _) => {}
                (PublishedKey::Routing, None) => {
                    log::warn!(from = from; "the configuration vanished; the last one stays in force");
                }
                (PublishedKey::Server(id), None) => {
                    self.directory.remove(&id, change.after_outage);
                }
                (named, Some(value)) => match self.store.read_value(key, &value) {
                    Ok(PublishedValue::Routing(routing)) => self.enforce(routing, from),
                    Ok(PublishedValue::Server(server)) => {
                        let (id, leaving) = (server.id.clone(), server.leaving);
                        if self.directory.put(server) {
                            log::info!(server = id.as_str(), leaving = leaving, from = from,
                                revision = change.revision, as_of = update.as_of;
                                "entry of a backend server changed");
                        }
                    }
                    Err(reason) => {
                        self.telemetry.malformed.inc();
                        log::warn!(key = key.as_str(), from = from; "published value ignored: {reason}");
                        if let PublishedKey::Server(id) = named {
                            self.directory.remove(&id, change.after_outage);
                        }
                    }
                },
            }
        }
    }

    /// Puts a configuration in force.
    fn enforce(&self, routing: Routing, from: &str) {
        self.directory.publish_services(&routing.services);
        let routes = routing.routes.into_iter().map(|route| self.place(route)).collect();
        let table = RouteTable::new(routes);
        log::info!(version = routing.version, routes = table.all().len(), from = from;
            "configuration in force");
        let in_force = InForce { limits: routing.limits, table, version: routing.version };
        *self.in_force.write().unwrap_or_else(PoisonError::into_inner) = Some(Arc::new(in_force));
    }

    /// Connects a route with its services.
    fn place(&self, route: Route) -> ResolvedRoute {
        let destination = match &route.target {
            Target::Weighted(services) => {
                let weighted = services
                    .iter()
                    .map(|share| (self.directory.service(&share.service), share.weight))
                    .collect();
                Destination::Weighted(WeightedRoundRobin::new(weighted, self.phase))
            }
            Target::Shards(set) => Destination::Shards(
                set.services.iter().map(|name| self.directory.service(name)).collect(),
            ),
        };
        let services = match &destination {
            Destination::Weighted(shares) => shares.services(),
            Destination::Shards(shards) => shards.clone(),
        };
        for service in services {
            service.usual.assume_from_target(route.target_latency);
        }
        ResolvedRoute { route, destination }
    }
}
