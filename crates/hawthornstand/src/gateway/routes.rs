//! Finds the route of a request by host and longest path prefix.

use std::sync::Arc;
use std::time::Duration;

use crate::gateway::directory::Service;
use crate::gateway::model::Route;
use crate::gateway::weighted_round_robin::WeightedRoundRobin;

/// A route whose service names are resolved.
pub struct ResolvedRoute {
    pub route: Route,
    pub destination: Destination,
}

/// Destination of the requests of a resolved route.
pub enum Destination {
    /// One service for each request, in turn.
    Weighted(WeightedRoundRobin),
    /// Every shard.
    Shards(Vec<Arc<Service>>),
}

/// Routes of one version of the configuration, by host and path prefix.
#[derive(Default)]
pub struct RouteTable {
    /// Sorted by host and path prefix.
    routes: Vec<Arc<ResolvedRoute>>,
}

impl RouteTable {
    /// Creates a table.
    pub fn new(routes: Vec<ResolvedRoute>) -> Self {
        let mut routes: Vec<_> = routes.into_iter().map(Arc::new).collect();
        routes.sort_by(|a, b| key(a).cmp(&key(b)));
        Self { routes }
    }

    /// Returns the route of the host whose path prefix is the longest that matches, without regard to the port.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<ResolvedRoute>> {
        let host = host.split(':').next().unwrap_or(host).to_ascii_lowercase();
        let mut end = path.len();
        while let Some(slash) = path[..end].rfind('/') {
            let searched = (host.as_str(), &path[..=slash]);
            if let Ok(index) = self.routes.binary_search_by(|route| key(route).cmp(&searched)) {
                return Some(&self.routes[index]);
            }
            end = slash;
        }
        None
    }

    /// Returns the routes, sorted by host and prefix.
    pub fn all(&self) -> &[Arc<ResolvedRoute>] {
        &self.routes
    }
}

impl ResolvedRoute {
    /// Returns the service time of the slowest service to which a request may go.
    pub fn expected_service_time(&self) -> Duration {
        let services = match &self.destination {
            Destination::Weighted(round_robin) => round_robin.services(),
            Destination::Shards(shards) => shards.clone(),
        };
        services.iter().map(|service| service.service_time.get()).max().unwrap_or_default()
    }
}

/// Returns the sort key of a route.
fn key(resolved: &Arc<ResolvedRoute>) -> (&str, &str) {
    (&resolved.route.host, &resolved.route.path_prefix)
}
