//! State shared by all components of the daemon, passed by reference.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use prometheus_client::metrics::counter::Counter;
use tokio::time::Instant;

use crate::backends::backend_client::{BackendClient, HttpBackendClient};
use crate::backends::connection_group_table::{ConnectionGroupCache, ConnectionGroupTable};
use crate::backends::leaf::Leaf;
use crate::backends::leaf_table::LeafTable;
use crate::bookings::ticket_store::TicketStore;
use crate::configuration::config_store::ConfigStore;
use crate::configuration::published::AcceptedConfig;
use crate::fleet::block_versions::BlockVersions;
use crate::fleet::peers::Peers;
use crate::ids::{BlockId, BootId, IndexVersion, VmId, fingerprint, rendezvous_weight};
use crate::messages::{FactBody, LeafRefusalReason};
use crate::policy::hedge::{self, HedgePolicy};
use crate::policy::quarantine::Quarantine;
use crate::policy::replica_selector::{self, ReplicaSelector};
use crate::policy::service_state::ServiceStates;
use crate::process::body_memory::BodyMemory;
use crate::process::clock::{Clock, SystemClock};
use crate::process::metrics::Metrics;
use crate::process::timer::TimerService;
use crate::searches::plan::PlanCache;
use crate::settings::DaemonSettings;

/// Identity of this process.
#[derive(Clone, Debug)]
pub struct Identity {
    pub boot_id: BootId,
    pub vm_id: VmId,
}

/// Shared state of the daemon.
pub struct Context {
    pub backend: Box<dyn BackendClient>,
    pub block_versions: BlockVersions,
    pub body_memory: Arc<BodyMemory>,
    pub clock: Arc<dyn Clock>,
    pub config: ConfigStore,
    pub hedge: Box<dyn HedgePolicy>,
    pub identity: Identity,
    pub leafs: LeafTable,
    pub metrics: Metrics,
    pub peers: Peers,
    pub plans: PlanCache,
    pub quarantine: Quarantine,
    pub replica_selector: Box<dyn ReplicaSelector>,
    pub services: ServiceStates,
    pub settings: DaemonSettings,
    pub tickets: TicketStore,
    pub timer: TimerService,
    connection_groups: ConnectionGroupCache,
    next_request: AtomicU64,
    running: Arc<AtomicU64>,
    stopping: AtomicBool,
    synced: AtomicBool,
}

/// Guard that counts a request as running until it is dropped.
pub struct RunningGuard(Arc<AtomicU64>);

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Context {
    /// Creates the state of a new incarnation with the system clock and the HTTP backend client.
    pub fn new(settings: DaemonSettings) -> Self {
        Self::with_dependencies(settings, Arc::new(SystemClock), Box::new(HttpBackendClient))
    }

    /// Creates the state of a new incarnation with the given clock and backend client.
    pub fn with_dependencies(
        settings: DaemonSettings,
        clock: Arc<dyn Clock>,
        backend: Box<dyn BackendClient>,
    ) -> Self {
        let identity =
            Identity { boot_id: rand::random_range(1..u64::MAX), vm_id: settings.vm_id.clone() };
        let tickets = TicketStore::new(
            &settings.fleet,
            &settings.vm_id,
            identity.boot_id,
            settings.booking.clone(),
            &*clock,
        );
        Self {
            backend,
            block_versions: BlockVersions::default(),
            body_memory: Arc::new(BodyMemory::new(
                settings.admission.max_bodies_bytes as usize,
                Counter::default(),
            )),
            clock,
            config: ConfigStore::default(),
            hedge: hedge::from_settings(&settings.hedge),
            identity,
            leafs: LeafTable::new(settings.backend.clone(), own_ip(&settings)),
            metrics: Metrics::new(&settings.metrics),
            peers: Peers::default(),
            plans: PlanCache::default(),
            quarantine: Quarantine::default(),
            replica_selector: replica_selector::from_settings(
                &settings.routing,
                &settings.ejection,
                &settings.region,
            ),
            services: ServiceStates::new(settings.admission.clone(), settings.budget.clone()),
            settings,
            tickets,
            timer: TimerService,
            connection_groups: ConnectionGroupCache::default(),
            next_request: AtomicU64::new(1),
            running: Arc::default(),
            stopping: AtomicBool::new(false),
            synced: AtomicBool::new(false),
        }
    }

    /// Returns a request id for a call to a backend server, unique across incarnations.
    pub fn next_request_id(&self) -> String {
        format!(
            "{:x}-{:x}",
            self.identity.boot_id,
            self.next_request.fetch_add(1, Ordering::Relaxed)
        )
    }

    /// Counts a request as running until the returned value is dropped.
    pub fn track_request(&self) -> RunningGuard {
        self.running.fetch_add(1, Ordering::AcqRel);
        RunningGuard(Arc::clone(&self.running))
    }

    /// Returns the number of requests running for callers and for other VMs.
    pub fn running_requests(&self) -> u64 {
        self.running.load(Ordering::Acquire)
    }

    /// Returns whether a graceful shutdown has begun.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }

    /// Begins a graceful shutdown.
    pub fn begin_stop(&self) {
        self.stopping.store(true, Ordering::Release);
    }

    /// Returns whether the load balancer may send callers to this VM.
    pub fn is_ready(&self) -> bool {
        !self.is_stopping() && self.synced.load(Ordering::Acquire) && self.config.revision() > 0
    }

    /// Marks the startup synchronization with other VMs as done.
    pub fn set_synced(&self) {
        if !self.synced.swap(true, Ordering::AcqRel) {
            log::info!("ready, configuration revision {}", self.config.revision());
        }
    }

    /// Returns which VMs connect to the backend servers of which blocks.
    pub fn connection_groups(&self, accepted: &AcceptedConfig) -> Arc<ConnectionGroupTable> {
        self.connection_groups.table(accepted, &self.config.list(), &self.identity.vm_id)
    }

    /// Returns whether this VM connects to the backend servers of a block.
    pub fn connects_to_block(&self, accepted: &AcceptedConfig, block: BlockId) -> bool {
        self.connection_groups(accepted).get(block).is_some_and(|group| group.includes_own_vm)
    }

    /// Returns the VMs that connect to the backend servers of a block.
    pub fn vms_connected_to_block(&self, accepted: &AcceptedConfig, block: BlockId) -> Vec<VmId> {
        self.connection_groups(accepted).get(block).map_or(Vec::new(), |group| group.vm_ids.clone())
    }

    /// Returns the backend servers of a service within a block.
    pub fn service_replicas(&self, service: &str, block: BlockId) -> Vec<Arc<Leaf>> {
        let Some(accepted) = self.config.accepted() else { return Vec::new() };
        let Some(resolved) = accepted.service(service) else { return Vec::new() };
        let ids = resolved.leafs.iter().map(|&index| &accepted.leafs[index]);
        ids.filter(|published| published.block == block)
            .filter_map(|published| self.leafs.get(&published.server.id))
            .collect()
    }

    /// Returns a weight for the distance to another VM: 1 in the same failure domain, 2 in the same region, 8 elsewhere.
    pub fn distance_weight(&self, vm_id: &VmId) -> u64 {
        let list = self.config.list();
        let Ok(index) = list.vms.binary_search_by(|vm| vm.id.cmp(vm_id)) else { return 8 };
        let vm = &list.vms[index];
        if vm.failure_domain == self.settings.failure_domain {
            return 1;
        }
        if vm.region == self.settings.region { 2 } else { 8 }
    }

    /// Returns the VM that runs the suspect requests of a service in isolation.
    ///
    /// Every VM picks the same one, so that a single VM can tell the suspects of a service apart.
    fn suspect_owner(&self, service: &str) -> VmId {
        let key = fingerprint(service, "");
        let list = self.config.list();
        let others = list.vms.iter().map(|vm| &vm.id).filter(|id| !self.peers.is_unreachable(id));
        let all = others.chain([&self.identity.vm_id]);
        let owner = all.max_by_key(|id| rendezvous_weight(key, id));
        owner.unwrap_or(&self.identity.vm_id).clone()
    }

    /// Marks a request as suspect on this VM and reports it to the other VMs.
    pub fn report_suspect(&self, service: &str, body: &str) {
        let fingerprint = fingerprint(service, body);
        let ttl_ms = self.settings.quarantine.suspect_ms;
        let owner = self.suspect_owner(service);
        if self.quarantine.mark_suspect(
            fingerprint,
            &owner,
            Duration::from_millis(ttl_ms),
            Instant::now(),
        ) {
            self.metrics.count("quarantine.suspect");
            self.peers.broadcast_facts(vec![FactBody::Suspect { fingerprint, owner, ttl_ms }]);
        }
    }

    /// Updates the state of a backend server from a refusal it sent.
    pub fn apply_refusal(&self, leaf: &Leaf, versions: &[IndexVersion], reason: LeafRefusalReason) {
        let now = Instant::now();
        let mut changed = leaf.apply_versions(versions, now);
        let mut boot_id = 0;
        changed |= leaf.update(|state| {
            state.reported_leaving |= reason == LeafRefusalReason::Draining;
            state.cold |= reason == LeafRefusalReason::Cold;
            boot_id = state.boot_id;
        });
        if !changed {
            return;
        }
        self.leafs.bump_generation();
        if reason == LeafRefusalReason::Draining {
            self.peers
                .broadcast_facts(vec![FactBody::LeafLeaving { boot_id, leaf: leaf.id.clone() }]);
        }
    }
}

/// Returns the IP address at which other VMs reach this one.
pub fn own_ip(settings: &DaemonSettings) -> IpAddr {
    let address = settings.peer_address.parse::<SocketAddr>();
    address.map_or(IpAddr::V4(Ipv4Addr::UNSPECIFIED), |address| address.ip())
}
