//! Directory of services and their backend servers.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::time::Instant;

use crate::derives::value_types;
use crate::gateway::connection_queue::ConnectionQueue;
use crate::gateway::listing::{self, Listing};
use crate::gateway::model::{PublishedServer, PublishedService};
use crate::gateway::pool::Pool;
use crate::gateway::reach::contact::Contact;
use crate::gateway::reach::verdict::{self, Reach, ReachChange};
use crate::gateway::server::{Proximity, Server};
use crate::gateway::service_time::ServiceTime;
use crate::gateway::settings::{GatewaySettings, Location};
use crate::ids::{LeafId, ServiceName};
use crate::locks::lock;
use crate::policy::budget::RetryBudget;

/// Fraction of a backend server's connection limit that the fleet uses: after a power loss of the fleet, its old
/// connections count against the limit until the backend server detects that they are dead.
const FLEET_CONNECTION_FRACTION: f64 = 0.5;
/// Factor by which a VM's share of connections is larger at its nearest backend servers than at the others:
/// requests go to the others only where the nearest ones fail.
const NEAREST_FACTOR: f64 = 2.0;
/// Maximum number of connections from one VM to one backend server: more concurrent requests than that wait too
/// long in its queue.
const MAX_CONNECTIONS: usize = 12;
/// Fraction of a named limit on requests that relays share; the rest is for VMs that reach no relay.
const RELAY_LIMIT_FRACTION: f64 = 0.9;
/// Initial number of connections to a backend server; inserting it into the directory divides the limit.
const INITIAL_CONNECTIONS: usize = 1;
/// Time for which a backend server is remembered after it said that it leaves: longer than an older entry of it may come
/// back with a copy of the store.
const LEAVING_MEMORY: Duration = Duration::from_secs(60);
/// Connection limit assumed until the settings of the service are published.
const DEFAULT_MAX_CONNECTIONS: usize = 16;
/// Health path assumed until the settings of the service are published.
const DEFAULT_HEALTH_PATH: &str = "/health";

value_types! {
    /// Whether this VM searches shards for others, and how many VMs of the fleet do.
    #[derive(Copy, Default, Eq)]
    pub struct RelayRole {
        pub is_relay: bool,
        /// 0 if every VM searches for itself.
        pub relays: usize,
    }
}

/// A service with its published settings, its backend servers and the state that requests share.
pub struct Service {
    pub budget: RetryBudget,
    /// Requests that wait for a connection to one of the backend servers.
    pub connection_queue: Arc<ConnectionQueue>,
    pub name: ServiceName,
    pub service_time: Arc<ServiceTime>,
    /// Whether a route searches it as a shard.
    is_shard: AtomicBool,
    contact: Arc<Contact>,
    /// Reach that was last logged, and since when.
    logged_reach: Mutex<(Reach, Instant)>,
    published: Mutex<PublishedService>,
    servers: Mutex<Arc<Vec<Arc<Server>>>>,
}

impl Service {
    /// Creates a service without backend servers.
    fn new(
        name: &str,
        settings: &GatewaySettings,
        fleet_size: usize,
        contact: Arc<Contact>,
    ) -> Self {
        let published = PublishedService {
            name: name.to_string(),
            health_path: DEFAULT_HEALTH_PATH.to_string(),
            max_connections: DEFAULT_MAX_CONNECTIONS,
        };
        Self {
            budget: settings.budget(fleet_size, rand::random(), Instant::now()),
            connection_queue: Arc::default(),
            contact,
            is_shard: AtomicBool::new(false),
            logged_reach: Mutex::new((Reach::default(), Instant::now())),
            name: name.to_string(),
            published: Mutex::new(published),
            servers: Mutex::default(),
            service_time: Arc::default(),
        }
    }

    /// Returns the backend servers, sorted by id.
    pub fn servers(&self) -> Arc<Vec<Arc<Server>>> {
        Arc::clone(&lock(&self.servers))
    }

    /// Returns which of the backend servers this VM reaches.
    pub fn reach(&self, now: Instant) -> Reach {
        let servers = self.servers();
        let evidence = servers.iter().map(|server| server.evidence(now));
        verdict::of_service(evidence, self.contact.lost_for(now).is_none())
    }

    /// Returns the change of the reach since the last call.
    pub fn take_reach_change(&self, now: Instant) -> Option<ReachChange> {
        let to = self.reach(now);
        let mut logged = lock(&self.logged_reach);
        let (from, since) = *logged;
        if from == to {
            return None;
        }
        *logged = (to, now);
        let lost_for = (from == Reach::Lost).then(|| now.saturating_duration_since(since));
        Some(ReachChange { from, to, lost_for })
    }

    /// Returns the path that health probes request.
    pub fn health_path(&self) -> String {
        lock(&self.published).health_path.clone()
    }

    /// Returns the number of connections that a VM may hold to each backend server if `vms` share the limit; below 1
    /// there are too few for each of them to hold one.
    pub fn connection_share(&self, vms: usize) -> f64 {
        self.shared_connections() / vms.max(1) as f64
    }

    /// Returns the number of connections to each backend server that the fleet shares.
    fn shared_connections(&self) -> f64 {
        lock(&self.published).max_connections as f64 * FLEET_CONNECTION_FRACTION
    }

    /// Marks the service as a shard.
    pub fn mark_as_shard(&self) {
        self.is_shard.store(true, Ordering::Relaxed);
    }

    /// Returns whether only relays hold connections to it: it is a shard, and its limit is too low for every VM.
    fn is_relayed(&self, fleet_size: usize, role: RelayRole) -> bool {
        self.is_shard.load(Ordering::Relaxed)
            && role.relays > 0
            && self.connection_share(fleet_size) < 1.0
    }
}

/// Backend servers of a shard to which a VM keeps connections open.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum KeptConnections {
    All,
    None,
    OwnRegion,
}

/// All services, including those without a route, and their backend servers.
pub struct Directory {
    pub contact: Arc<Contact>,
    fleet_size: Mutex<usize>,
    relay_role: Mutex<RelayRole>,
    /// The service of each backend server, sorted by id of the backend server.
    service_by_server: Mutex<Vec<(LeafId, Arc<Service>)>>,
    /// Sorted by name.
    services: Mutex<Vec<Arc<Service>>>,
    settings: GatewaySettings,
}

impl Directory {
    /// Creates an empty directory.
    pub fn new(settings: GatewaySettings) -> Self {
        Self {
            contact: Arc::default(),
            fleet_size: Mutex::new(settings.assumed_fleet_size),
            relay_role: Mutex::default(),
            service_by_server: Mutex::default(),
            services: Mutex::default(),
            settings,
        }
    }

    /// Returns a service; creates it if it does not exist yet.
    pub fn service(&self, name: &str) -> Arc<Service> {
        let mut services = lock(&self.services);
        match services.binary_search_by(|service| service.name.as_str().cmp(name)) {
            Ok(index) => Arc::clone(&services[index]),
            Err(index) => {
                let service = Arc::new(Service::new(
                    name,
                    &self.settings,
                    self.fleet_size(),
                    Arc::clone(&self.contact),
                ));
                services.insert(index, Arc::clone(&service));
                service
            }
        }
    }

    /// Returns a service; none if it does not exist.
    pub fn known_service(&self, name: &str) -> Option<Arc<Service>> {
        let services = lock(&self.services);
        let index = services.binary_search_by(|service| service.name.as_str().cmp(name)).ok()?;
        Some(Arc::clone(&services[index]))
    }

    /// Returns every service, sorted by name.
    pub fn services(&self) -> Vec<Arc<Service>> {
        lock(&self.services).clone()
    }

    /// Returns the number of VMs among which connections and extra attempts are divided.
    pub fn fleet_size(&self) -> usize {
        *lock(&self.fleet_size)
    }

    /// Sets the number of VMs among which connections and extra attempts are divided.
    pub fn set_fleet_size(&self, fleet_size: usize) {
        *lock(&self.fleet_size) = fleet_size;
        self.share_limits();
    }

    /// Returns whether this VM searches shards for others, and how many VMs do.
    pub fn relay_role(&self) -> RelayRole {
        *lock(&self.relay_role)
    }

    /// Sets whether this VM searches shards for others, and how many VMs do.
    pub fn set_relay_role(&self, role: RelayRole) {
        let is_changed = std::mem::replace(&mut *lock(&self.relay_role), role) != role;
        if is_changed {
            log::info!(is_relay = role.is_relay, relays = role.relays; "role as a relay changed");
            self.share_limits();
        }
    }

    /// Returns whether only relays hold connections to some shard.
    pub fn has_relayed_shards(&self) -> bool {
        let (fleet_size, role) = (self.fleet_size(), self.relay_role());
        role.relays > 0
            && self.services().iter().any(|service| service.is_relayed(fleet_size, role))
    }

    /// Returns the number of VMs that may each hold a connection to every backend server of every shard.
    pub fn max_relays(&self) -> usize {
        let services = self.services();
        let shards = services.iter().filter(|service| service.is_shard.load(Ordering::Relaxed));
        shards.map(|shard| shard.shared_connections() as usize).min().unwrap_or(0)
    }

    /// Returns whether this VM keeps connections to a shard open, also to its replicas in other regions.
    pub fn keeps_connections(&self, shard: &Service) -> KeptConnections {
        let (fleet_size, role) = (self.fleet_size(), self.relay_role());
        if shard.is_relayed(fleet_size, role) {
            return if role.is_relay { KeptConnections::All } else { KeptConnections::None };
        }
        if shard.connection_share(fleet_size) >= 1.0 {
            KeptConnections::All
        } else {
            KeptConnections::OwnRegion
        }
    }

    /// Divides the limits on connections and on extra attempts among the VMs again.
    fn share_limits(&self) {
        for service in self.services() {
            self.share_connections(&service);
        }
    }

    /// Applies the published settings of services.
    pub fn apply_services(&self, published: &[PublishedService]) {
        for settings in published {
            let service = self.service(&settings.name);
            *lock(&service.published) = settings.clone();
            self.share_connections(&service);
        }
    }

    /// Inserts or updates a backend server from its entry; returns whether it is new, runs in a new
    /// process or has a new listing.
    pub fn put(&self, published: PublishedServer) -> bool {
        let listing = if published.leaving { Listing::Leaving } else { Listing::Listed };
        if let Some(existing) = self.find(&published.id) {
            if is_same_process(&existing.published, &published) {
                return existing.set_listing(listing);
            }
            log::info!(server = published.id.as_str(), address = published.address.to_string();
                "backend server restarted; its statistics are reset");
            self.discard(&existing);
        }
        let service = self.service(&published.service);
        let proximity = self.settings.location.proximity(&published.failure_domain);
        let connection_queue = Arc::clone(&service.connection_queue);
        let pool = Pool::new(published.address, INITIAL_CONNECTIONS, connection_queue);
        let service_time = Arc::clone(&service.service_time);
        let contact = Arc::clone(&self.contact);
        let server = Server::new(published, proximity, pool, service_time, contact);
        self.insert(&service, Arc::new(server));
        self.share_connections(&service);
        true
    }

    /// Inserts or updates a backend server from its entry in an older copy from which the store was restored; returns
    /// whether its listing changed.
    ///
    /// `was_removed` is whether the last entry before the restore was removed, or said that the backend server is leaving.
    pub fn put_restored(&self, published: PublishedServer, was_removed: bool) -> bool {
        let now = Instant::now();
        let process_start = published.process_start_unix_ms;
        let had_left = match self.find(&published.id) {
            Some(existing) if process_start < existing.published.process_start_unix_ms => {
                // The entry of the running process is lost.
                return existing.set_listing(listing::on_removal(existing.listing(), now, true));
            }
            Some(existing) if is_same_process(&existing.published, &published) => {
                !existing.allows_requests()
            }
            Some(_) => false,
            None => was_removed,
        };
        if published.leaving || !had_left {
            return self.put(published);
        }
        let id = published.id.clone();
        self.put(published);
        if let Some(server) = self.find(&id) {
            server.set_listing(Listing::Restored { since: now });
        }
        log::info!(server = id.as_str();
            "backend server entry came back with an older copy of the store; not used until it is confirmed");
        true
    }

    /// Handles an entry that vanished from the store or became unreadable.
    ///
    /// `after_outage` is whether the store was unreachable until shortly before: the entry may only have lapsed.
    pub fn remove(&self, id: &LeafId, after_outage: bool) {
        let Some(server) = self.find(id) else { return };
        let listing = listing::on_removal(server.listing(), Instant::now(), after_outage);
        if server.set_listing(listing) {
            log::info!(server = id.as_str(), store_was_away = after_outage;
                "backend server entry vanished from the store");
        }
    }

    /// Marks backend servers whose entries did not come back in time as leaving, closes the idle connections of leaving
    /// ones, and divides the connection limits among the VMs again.
    pub fn expire_entries(&self, store_available_since: Option<Instant>, drain: Duration) {
        let now = Instant::now();
        for service in self.services() {
            for server in service.servers().iter() {
                let current = server.listing();
                let updated = listing::expire(current, now, store_available_since, drain);
                if server.set_listing(updated) {
                    log::info!(server = server.published.id.as_str(), service = service.name.as_str();
                        "backend server expired; its entry did not come back");
                }
                if updated == Listing::Leaving {
                    server.pool.close_idle();
                }
            }
            self.share_connections(&service);
        }
    }

    /// Forgets that backend servers fell silent at an instant or later, because this VM was cut off then.
    pub fn forget_silences(&self, since: Instant) {
        for service in self.services() {
            for server in service.servers().iter() {
                server.forget_silence(since);
            }
        }
    }

    /// Returns whether the entry of a backend server names a process that started later.
    pub fn has_restarted(&self, server: &Server) -> bool {
        self.find(&server.published.id).is_some_and(|current| {
            current.published.process_start_unix_ms > server.published.process_start_unix_ms
        })
    }

    /// Returns the number of backend servers that are listed.
    pub fn listed_count(&self) -> usize {
        let services = self.services();
        let servers = services.iter().flat_map(|service| service.servers().as_ref().clone());
        servers.filter(|server| server.listing() == Listing::Listed).count()
    }

    /// Returns the backend server with an id.
    fn find(&self, id: &LeafId) -> Option<Arc<Server>> {
        let service = {
            let services = lock(&self.service_by_server);
            let index = services.binary_search_by(|(server, _)| server.cmp(id)).ok()?;
            Arc::clone(&services[index].1)
        };
        let servers = service.servers();
        let index = servers.binary_search_by(|server| server.published.id.cmp(id)).ok()?;
        Some(Arc::clone(&servers[index]))
    }

    /// Adds a backend server to a service, and removes the leaving ones that have no connection open.
    fn insert(&self, service: &Arc<Service>, server: Arc<Server>) {
        let now = Instant::now();
        let mut service_by_server = lock(&self.service_by_server);
        let mut servers = lock(&service.servers);
        let mut remaining = Vec::with_capacity(servers.len() + 1);
        for existing in servers.iter() {
            if existing.listing() != Listing::Leaving
                || existing.pool.open_connections() > 0
                || existing.leaving_for(now).is_some_and(|time| time < LEAVING_MEMORY)
            {
                remaining.push(Arc::clone(existing));
                continue;
            }
            let id = &existing.published.id;
            if let Ok(index) = service_by_server.binary_search_by(|(server, _)| server.cmp(id)) {
                service_by_server.remove(index);
            }
        }
        let id = &server.published.id;
        match service_by_server.binary_search_by(|(server, _)| server.cmp(id)) {
            Ok(index) => service_by_server[index].1 = Arc::clone(service),
            Err(index) => service_by_server.insert(index, (id.clone(), Arc::clone(service))),
        }
        let index = remaining.partition_point(|other| other.published.id < server.published.id);
        remaining.insert(index, server);
        *servers = Arc::new(remaining);
    }

    /// Removes a backend server from its service; calls in progress run to their end.
    fn discard(&self, server: &Arc<Server>) {
        server.set_listing(Listing::Leaving);
        server.pool.close_idle();
        let service = self.service(&server.published.service);
        let mut servers = lock(&service.servers);
        let mut remaining = servers.as_ref().clone();
        remaining.retain(|other| !Arc::ptr_eq(other, server));
        *servers = Arc::new(remaining);
    }

    /// Sets this VM's share of the connections to each backend server of a service, and of its extra attempts.
    fn share_connections(&self, service: &Service) {
        let (fleet_size, role) = (self.fleet_size(), self.relay_role());
        let is_relayed = service.is_relayed(fleet_size, role);
        let slack = if is_relayed {
            self.settings.relayed_slack(fleet_size, role.relays, role.is_relay)
        } else {
            self.settings.extra_slack(fleet_size)
        };
        service.budget.set_slack(slack);
        let vms = if is_relayed && role.is_relay { role.relays } else { fleet_size };
        let share = service.connection_share(vms);
        if is_relayed && !role.is_relay {
            for server in service.servers().iter() {
                server.pool.close_idle();
            }
        }
        let servers = service.servers();
        let remaining = || servers.iter().filter(|server| server.allows_requests());
        // Most requests go past the backend servers that name a limit.
        let unlimited = remaining().filter(|server| server.named_limit_per_s().is_none());
        let nearest = unlimited.map(|server| server.proximity).min();
        let nearest = nearest.or_else(|| remaining().map(|server| server.proximity).min());
        let limit_share = limit_share(fleet_size, is_relayed.then_some(role));
        for server in servers.iter() {
            server.pool.set_max_open(max_open(share, Some(server.proximity) <= nearest));
            server.set_limit_share(limit_share);
        }
    }
}

impl Location {
    /// Returns the proximity of a failure domain; an unknown one counts as another region.
    pub fn proximity(&self, failure_domain: &str) -> Proximity {
        if failure_domain == self.failure_domain {
            return Proximity::SameFailureDomain;
        }
        let found =
            self.regions.binary_search_by(|(domain, _)| domain.as_str().cmp(failure_domain));
        match found {
            Ok(index) if self.regions[index].1 == self.region => Proximity::SameRegion,
            _ => Proximity::OtherRegion,
        }
    }
}

/// Returns the number of connections that a VM with this share may open to one backend server.
fn max_open(share: f64, is_nearest: bool) -> usize {
    let factor = if is_nearest { NEAREST_FACTOR } else { 1.0 };
    ((share * factor) as usize).clamp(1, MAX_CONNECTIONS)
}

/// Returns this VM's fraction of a limit on requests that a backend server names for the whole fleet; `role` is none if
/// every VM sends requests to it.
pub fn limit_share(fleet_size: usize, role: Option<RelayRole>) -> f64 {
    let of_every_vm = 1.0 / fleet_size.max(1) as f64;
    let Some(role) = role else { return of_every_vm };
    let own = of_every_vm * (1.0 - RELAY_LIMIT_FRACTION);
    if role.is_relay { own + RELAY_LIMIT_FRACTION / role.relays.max(1) as f64 } else { own }
}

/// Returns whether two entries of a backend server describe the same process.
fn is_same_process(a: &PublishedServer, b: &PublishedServer) -> bool {
    (a.process_start_unix_ms, a.address, &a.service)
        == (b.process_start_unix_ms, b.address, &b.service)
}
