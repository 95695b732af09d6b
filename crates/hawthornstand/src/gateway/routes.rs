//! Finds the route of a request by host and longest path prefix.

use std::sync::Arc;

use crate::gateway::directory::Service;
use crate::gateway::model::Route;
use crate::gateway::weighted_round_robin::WeightedRoundRobin;

/// A route with the services it names.
pub struct ResolvedRoute {
    pub route: Route,
    pub destination: Destination,
}

/// Where a placed route sends its requests.
pub enum Destination {
    Weighted(WeightedRoundRobin),
    Shards(Vec<Arc<Service>>),
}

/// Routes of one version of the configuration.
#[derive(Default)]
pub struct RouteTable {
    /// Sorted by host and path prefix.
    routes: Vec<Arc<ResolvedRoute>>,
}

impl RouteTable {
    /// Sorts routes for lookup.
    pub fn new(routes: Vec<ResolvedRoute>) -> Self {
        let mut routes: Vec<_> = routes.into_iter().map(Arc::new).collect();
        routes.sort_by(|a, b| key(a).cmp(&key(b)));
        Self { routes }
    }

    /// Returns the route with the longest prefix of the path among those of the host.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<ResolvedRoute>> {
        let host = host.split(':').next().unwrap_or(host).to_ascii_lowercase();
        let mut end = path.len();
        while let Some(slash) = path[..end].rfind('/') {
            let wanted = (host.as_str(), &path[..=slash]);
            if let Ok(index) = self.routes.binary_search_by(|route| key(route).cmp(&wanted)) {
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

/// Returns what routes are sorted by.
fn key(placed: &Arc<ResolvedRoute>) -> (&str, &str) {
    (&placed.route.host, &placed.route.path_prefix)
}
