//! The configuration that requests are served with.

use std::sync::{Arc, Mutex, PoisonError, RwLock};

use tokio::sync::watch;

use crate::gateway::config_order::{self, Decision, Origin};
use crate::gateway::directory::Directory;
use crate::gateway::items::Change;
use crate::gateway::model::{CallerLimits, Route, Routing, Target};
use crate::gateway::routes::{Destination, ResolvedRoute, RouteTable};
use crate::gateway::weighted_round_robin::WeightedRoundRobin;
use crate::locks::lock;

/// Number of routes that a line of the log names.
const MAX_EXAMPLES: usize = 5;

/// The configuration that requests are served with.
pub struct ActiveConfig {
    pub limits: CallerLimits,
    /// The change of the store that published it.
    pub published: Change,
    pub table: RouteTable,
    pub version: u64,
}

/// A configuration that may follow the active one.
pub struct OfferedConfig<'a> {
    pub change: Change,
    /// Who delivered it, for the log.
    pub from: &'a str,
    pub origin: Origin,
    pub routing: Routing,
}

/// Holds the active configuration, which changes in [`ConfigInForce::offer`] only.
pub struct ConfigInForce {
    active: RwLock<Option<Arc<ActiveConfig>>>,
    caller_limits: watch::Sender<CallerLimits>,
    /// Held from a decision until it is carried out.
    deciding: Mutex<()>,
    /// Start of the rotation among the services of a route, drawn from 0 to 1 so that VMs do not rotate in step.
    rotation_offset: f64,
}

impl Default for ConfigInForce {
    fn default() -> Self {
        Self {
            active: RwLock::default(),
            caller_limits: watch::Sender::default(),
            deciding: Mutex::default(),
            rotation_offset: rand::random(),
        }
    }
}

/// Logs the routes that name a service without an entry: their requests have no backend server.
fn log_unpublished_services(routing: &Routing) {
    let mut published: Vec<&str> =
        routing.services.iter().map(|service| service.name.as_str()).collect();
    published.sort_unstable();
    let mut unserved: Vec<&str> = Vec::new();
    for route in &routing.routes {
        let names = route.target.service_names();
        if names.iter().all(|name| published.binary_search(name).is_ok()) {
            continue;
        }
        unserved.push(&route.name);
    }
    if unserved.is_empty() {
        return;
    }
    let examples = unserved[..unserved.len().min(MAX_EXAMPLES)].join(",");
    log::warn!(version = routing.version, routes = unserved.len(), examples = examples;
        "routes name services that the configuration does not publish");
}

impl ConfigInForce {
    /// Returns the active configuration; none before the first one.
    pub fn active(&self) -> Option<Arc<ActiveConfig>> {
        self.active.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Subscribes to the limits on callers: those of the active configuration, or the defaults before the first one.
    pub fn subscribe_to_limits(&self) -> watch::Receiver<CallerLimits> {
        self.caller_limits.subscribe()
    }

    /// Activates a configuration if it may follow the active one; `confirmed_ms_ago` is logged.
    pub fn offer(
        &self,
        offered: OfferedConfig<'_>,
        directory: &Directory,
        confirmed_ms_ago: Option<u64>,
    ) {
        let OfferedConfig { change, from, origin, routing } = offered;
        let _deciding = lock(&self.deciding);
        let active = self.active();
        let active_version = active.as_ref().map(|active| active.version);
        let is_same_value = active.is_some_and(|active| active.published.value == change.value);
        match config_order::decide(active_version, routing.version, is_same_value, origin) {
            Decision::Activate => {}
            Decision::KeepNewer => {
                log::warn!(version = routing.version, active = active_version, from = from,
                    revision = change.revision;
                    "older configuration not activated; the active one stays in force");
                return;
            }
            Decision::Unchanged => return,
        }
        log_unpublished_services(&routing);
        directory.apply_services(&routing.services);
        let routes = routing.routes.into_iter().map(|route| self.resolve(route, directory));
        let table = RouteTable::new(routes.collect());
        log::info!(version = routing.version, replaced = active_version, routes = table.all().len(),
            from = from, revision = change.revision, confirmed_ms_ago = confirmed_ms_ago;
            "configuration activated");
        let (limits, version) = (routing.limits, routing.version);
        self.caller_limits.send_if_modified(|known| {
            let is_changed = *known != limits;
            *known = limits;
            is_changed
        });
        let active = ActiveConfig { limits, published: change, table, version };
        *self.active.write().unwrap_or_else(PoisonError::into_inner) = Some(Arc::new(active));
    }

    /// Resolves the services that a route names.
    fn resolve(&self, route: Route, directory: &Directory) -> ResolvedRoute {
        let destination = match &route.target {
            Target::Weighted(services) => {
                let weighted = services
                    .iter()
                    .map(|weighted| (directory.service(&weighted.service), weighted.weight))
                    .collect();
                Destination::Weighted(WeightedRoundRobin::new(weighted, self.rotation_offset))
            }
            Target::Shards(set) => Destination::Shards(
                set.services
                    .iter()
                    .map(|name| {
                        let shard = directory.service(name);
                        shard.mark_as_shard();
                        shard
                    })
                    .collect(),
            ),
        };
        let services = match &destination {
            Destination::Weighted(round_robin) => round_robin.services(),
            Destination::Shards(shards) => shards.clone(),
        };
        for service in services {
            service.service_time.assume_from_target(route.target_latency);
        }
        ResolvedRoute { route, destination }
    }
}
