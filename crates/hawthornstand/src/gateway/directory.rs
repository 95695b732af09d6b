//! Services and the backend servers that serve them.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::time::Instant;

use crate::gateway::connection_queue::ConnectionQueue;
use crate::gateway::listing::{self, Listing};
use crate::gateway::model::{PublishedServer, PublishedService};
use crate::gateway::pool::Pool;
use crate::gateway::server::{Proximity, Server};
use crate::gateway::service_time::ServiceTime;
use crate::gateway::settings::{GatewaySettings, Place};
use crate::ids::{LeafId, ServiceName};
use crate::locks::lock;
use crate::policy::budget::Budget;

/// Part of a backend server's connection limit that the fleet uses: a fleet that lost power leaves as
/// many connections behind, which count until the backend server notices.
const CONNECTION_SHARE: f64 = 0.5;
/// Share of a VM in the connections of its nearest backend servers, against that in the others: requests
/// go to the others only where the nearest ones fail.
const NEAREST_FACTOR: f64 = 2.0;
/// Most connections of one VM to one backend server: more requests than that wait too long in its queue.
const MAX_CONNECTIONS: usize = 12;
/// Connections to a backend server until the limit is divided, which its insertion does.
const UNSHARED_CONNECTIONS: usize = 1;
/// Connection limit assumed until the service is published.
const UNPUBLISHED_CONNECTIONS: usize = 16;
/// Health path assumed until the service is published.
const UNPUBLISHED_HEALTH_PATH: &str = "/health";

/// A service as this VM sees it.
pub struct Service {
    pub budget: Budget,
    /// Requests that wait for a connection to one of its backend servers.
    pub line: Arc<ConnectionQueue>,
    pub name: ServiceName,
    pub usual: Arc<ServiceTime>,
    published: Mutex<PublishedService>,
    servers: Mutex<Arc<Vec<Arc<Server>>>>,
}

impl Service {
    /// Creates a service without backend servers.
    fn new(name: &str, settings: &GatewaySettings, fleet: usize) -> Self {
        let published = PublishedService {
            name: name.to_string(),
            health_path: UNPUBLISHED_HEALTH_PATH.to_string(),
            max_connections: UNPUBLISHED_CONNECTIONS,
        };
        Self {
            budget: settings.budget(fleet, rand::random(), Instant::now()),
            line: Arc::default(),
            name: name.to_string(),
            published: Mutex::new(published),
            servers: Mutex::default(),
            usual: Arc::default(),
        }
    }

    /// Returns the backend servers, sorted by identity.
    pub fn servers(&self) -> Arc<Vec<Arc<Server>>> {
        Arc::clone(&lock(&self.servers))
    }

    /// Returns the path of health probes.
    pub fn health_path(&self) -> String {
        lock(&self.published).health_path.clone()
    }

    /// Returns the connections that this VM may hold to each backend server; below 1 not every VM may hold one.
    pub fn connection_share(&self, fleet: usize) -> f64 {
        lock(&self.published).max_connections as f64 * CONNECTION_SHARE / fleet.max(1) as f64
    }
}

/// All services, whether routed to or not.
pub struct Directory {
    fleet: Mutex<usize>,
    /// The service of each backend server, sorted by identity.
    places: Mutex<Vec<(LeafId, Arc<Service>)>>,
    /// Sorted by name.
    services: Mutex<Vec<Arc<Service>>>,
    settings: GatewaySettings,
}

impl Directory {
    /// Creates an empty directory.
    pub fn new(settings: GatewaySettings) -> Self {
        Self {
            fleet: Mutex::new(settings.assumed_fleet),
            places: Mutex::default(),
            services: Mutex::default(),
            settings,
        }
    }

    /// Returns a service, created if it is not known yet.
    pub fn service(&self, name: &str) -> Arc<Service> {
        let mut services = lock(&self.services);
        match services.binary_search_by(|known| known.name.as_str().cmp(name)) {
            Ok(index) => Arc::clone(&services[index]),
            Err(index) => {
                let service = Arc::new(Service::new(name, &self.settings, self.fleet()));
                services.insert(index, Arc::clone(&service));
                service
            }
        }
    }

    /// Returns every service, sorted by name.
    pub fn services(&self) -> Vec<Arc<Service>> {
        lock(&self.services).clone()
    }

    /// Returns the number of VMs that share the connections.
    pub fn fleet(&self) -> usize {
        *lock(&self.fleet)
    }

    /// Sets the number of VMs that share the connections.
    pub fn set_fleet(&self, fleet: usize) {
        *lock(&self.fleet) = fleet;
        let slack = self.settings.extra_slack(fleet);
        for service in self.services() {
            service.budget.set_slack(slack);
            self.share_connections(&service);
        }
    }

    /// Takes over what the operator says of services.
    pub fn publish_services(&self, published: &[PublishedService]) {
        for one in published {
            let service = self.service(&one.name);
            *lock(&service.published) = one.clone();
            self.share_connections(&service);
        }
    }

    /// Takes over the entry of a backend server; returns whether anything changed for requests.
    pub fn put(&self, published: PublishedServer) -> bool {
        let listing = if published.leaving { Listing::Leaving } else { Listing::Listed };
        if let Some(known) = self.find(&published.id) {
            if is_same_process(&known.published, &published) {
                return known.set_listing(listing);
            }
            log::info!(server = published.id.as_str(), address = published.address.to_string();
                "backend server reborn; what its last process showed is forgotten");
            self.discard(&known);
        }
        let service = self.service(&published.service);
        let proximity = self.settings.place.proximity(&published.failure_domain);
        let line = Arc::clone(&service.line);
        let pool = Pool::new(published.address, UNSHARED_CONNECTIONS, line);
        let usual = Arc::clone(&service.usual);
        self.insert(&service, Arc::new(Server::new(published, proximity, pool, usual)));
        self.share_connections(&service);
        true
    }

    /// Notes that an entry vanished or became unreadable.
    pub fn remove(&self, id: &LeafId, store_was_away: bool) {
        let Some(server) = self.find(id) else { return };
        if server.listing() == Listing::Leaving {
            return;
        }
        let listing = listing::on_removal(Instant::now(), store_was_away);
        if server.set_listing(listing) {
            log::info!(server = id.as_str(), store_was_away = store_was_away;
                "entry of a backend server vanished");
        }
    }

    /// Lets time pass for vanished entries, and drops backend servers that have left and are idle.
    pub fn age(&self, store_back_since: Option<Instant>, drain: Duration) {
        let now = Instant::now();
        for service in self.services() {
            for server in service.servers().iter() {
                let known = server.listing();
                let aged = listing::age(known, now, store_back_since, drain);
                if server.set_listing(aged) {
                    log::info!(server = server.published.id.as_str(), service = service.name.as_str();
                        "backend server gone: its entry did not come back");
                }
                if aged == Listing::Leaving {
                    server.pool.close_idle();
                }
            }
            self.share_connections(&service);
        }
    }

    /// Returns the number of backend servers that are listed.
    pub fn listed(&self) -> usize {
        let services = self.services();
        let servers = services.iter().flat_map(|service| service.servers().as_ref().clone());
        servers.filter(|server| server.listing() == Listing::Listed).count()
    }

    /// Returns the backend server with an identity.
    fn find(&self, id: &LeafId) -> Option<Arc<Server>> {
        let service = {
            let places = lock(&self.places);
            let place = places.binary_search_by(|(known, _)| known.cmp(id)).ok()?;
            Arc::clone(&places[place].1)
        };
        let servers = service.servers();
        let index = servers.binary_search_by(|known| known.published.id.cmp(id)).ok()?;
        Some(Arc::clone(&servers[index]))
    }

    /// Adds a backend server to a service, and drops those that have left and are idle.
    fn insert(&self, service: &Arc<Service>, server: Arc<Server>) {
        let mut places = lock(&self.places);
        let mut servers = lock(&service.servers);
        let mut changed = Vec::with_capacity(servers.len() + 1);
        for known in servers.iter() {
            if known.listing() != Listing::Leaving || known.pool.open_connections() > 0 {
                changed.push(Arc::clone(known));
                continue;
            }
            let id = &known.published.id;
            if let Ok(place) = places.binary_search_by(|(known, _)| known.cmp(id)) {
                places.remove(place);
            }
        }
        let id = &server.published.id;
        match places.binary_search_by(|(known, _)| known.cmp(id)) {
            Ok(place) => places[place].1 = Arc::clone(service),
            Err(place) => places.insert(place, (id.clone(), Arc::clone(service))),
        }
        let index = changed.partition_point(|known| known.published.id < server.published.id);
        changed.insert(index, server);
        *servers = Arc::new(changed);
    }

    /// Takes a backend server out of its service; running calls to it end by themselves.
    fn discard(&self, server: &Arc<Server>) {
        server.set_listing(Listing::Leaving);
        server.pool.close_idle();
        let service = self.service(&server.published.service);
        let mut servers = lock(&service.servers);
        let mut changed = servers.as_ref().clone();
        changed.retain(|known| !Arc::ptr_eq(known, server));
        *servers = Arc::new(changed);
    }

    /// Divides the connection limit of a service's backend servers among the VMs.
    fn share_connections(&self, service: &Service) {
        let share = service.connection_share(self.fleet());
        let servers = service.servers();
        let staying = servers.iter().filter(|server| server.listing() != Listing::Leaving);
        let nearest = staying.map(|server| server.proximity).min();
        for server in servers.iter() {
            server.pool.set_max_open(max_open(share, Some(server.proximity) <= nearest));
        }
    }
}

impl Place {
    /// Returns the distance to a failure domain.
    pub fn proximity(&self, failure_domain: &str) -> Proximity {
        if failure_domain == self.failure_domain {
            return Proximity::SameFailureDomain;
        }
        let found = self.regions.binary_search_by(|(known, _)| known.as_str().cmp(failure_domain));
        match found {
            Ok(index) if self.regions[index].1 == self.region => Proximity::SameRegion,
            _ => Proximity::OtherRegion,
        }
    }
}

/// Returns the connections that a share stands for.
fn max_open(share: f64, is_nearest: bool) -> usize {
    let factor = if is_nearest { NEAREST_FACTOR } else { 1.0 };
    ((share * factor) as usize).clamp(1, MAX_CONNECTIONS)
}

/// Returns whether two entries speak of the same process of a backend server.
fn is_same_process(a: &PublishedServer, b: &PublishedServer) -> bool {
    (a.process_start_unix_ms, a.address, &a.service)
        == (b.process_start_unix_ms, b.address, &b.service)
}
