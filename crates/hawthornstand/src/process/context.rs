//! What every part of the daemon shares, passed by reference.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use tokio::time::Instant;

use crate::backends::backend::{BackendClient, HttpBackend};
use crate::backends::leaf::Leaf;
use crate::backends::leaf_table::LeafTable;
use crate::backends::reach_table::{ReachCache, ReachTable};
use crate::bookings::ticket_office::TicketOffice;
use crate::configuration::config_store::ConfigStore;
use crate::configuration::published::Accepted;
use crate::fleet::block_versions::BlockVersions;
use crate::fleet::peers::Peers;
use crate::ids::{BlockId, BootId, IndexVersion, VmId, fingerprint, rendezvous_weight};
use crate::messages::{FactBody, LeafRefusalReason};
use crate::policy::hedge::{self, HedgePolicy};
use crate::policy::quarantine::Quarantine;
use crate::policy::replica_selector::{self, ReplicaSelector};
use crate::policy::service_state::ServiceStates;
use crate::process::clock::{Clock, SystemClock};
use crate::process::metrics::Metrics;
use crate::process::timer::TimerService;
use crate::searches::plan::PlanCache;
use crate::settings::DaemonSettings;

/// Who this process is.
#[derive(Clone, Debug)]
pub struct Identity {
    pub boot_id: BootId,
    pub vm_id: VmId,
}

/// Shared state of the daemon.
pub struct Context {
    pub backend: Box<dyn BackendClient>,
    pub block_versions: BlockVersions,
    pub choice: Box<dyn ReplicaSelector>,
    pub clock: Arc<dyn Clock>,
    pub config: ConfigStore,
    pub hedge: Box<dyn HedgePolicy>,
    pub identity: Identity,
    pub leafs: LeafTable,
    pub metrics: Metrics,
    pub peers: Peers,
    pub plans: PlanCache,
    pub quarantine: Quarantine,
    pub services: ServiceStates,
    pub settings: DaemonSettings,
    pub tickets: TicketOffice,
    pub timer: TimerService,
    next_request: AtomicU64,
    reach: ReachCache,
    running: Arc<AtomicU64>,
    stopping: AtomicBool,
    synced: AtomicBool,
}

/// Counts a request as running while it is alive.
pub struct Running(Arc<AtomicU64>);

impl Drop for Running {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Context {
    /// Creates the state of a new incarnation with the system's clock and HTTP backend servers.
    pub fn new(settings: DaemonSettings) -> Self {
        Self::with_parts(settings, Arc::new(SystemClock), Box::new(HttpBackend))
    }

    /// Creates the state of a new incarnation with replaceable borders.
    pub fn with_parts(
        settings: DaemonSettings,
        clock: Arc<dyn Clock>,
        backend: Box<dyn BackendClient>,
    ) -> Self {
        let identity =
            Identity { boot_id: rand::random_range(1..u64::MAX), vm_id: settings.vm_id.clone() };
        let tickets = TicketOffice::new(
            &settings.fleet,
            &settings.vm_id,
            identity.boot_id,
            settings.booking.clone(),
            &*clock,
        );
        Self {
            backend,
            block_versions: BlockVersions::default(),
            choice: replica_selector::from_settings(
                &settings.routing,
                &settings.ejection,
                &settings.region,
            ),
            clock,
            config: ConfigStore::default(),
            hedge: hedge::from_settings(&settings.hedge),
            identity,
            leafs: LeafTable::new(settings.backend.clone(), own_ip(&settings)),
            metrics: Metrics::new(&settings.metrics),
            peers: Peers::default(),
            plans: PlanCache::default(),
            quarantine: Quarantine::default(),
            services: ServiceStates::new(settings.admission.clone(), settings.budget.clone()),
            settings,
            tickets,
            timer: TimerService,
            next_request: AtomicU64::new(1),
            reach: ReachCache::default(),
            running: Arc::default(),
            stopping: AtomicBool::new(false),
            synced: AtomicBool::new(false),
        }
    }

    /// Returns an id for requests to backend servers, unique over incarnations.
    pub fn next_request_id(&self) -> String {
        format!(
            "{:x}-{:x}",
            self.identity.boot_id,
            self.next_request.fetch_add(1, Ordering::Relaxed)
        )
    }

    /// Counts a request as running until the returned value is dropped.
    pub fn track_request(&self) -> Running {
        self.running.fetch_add(1, Ordering::AcqRel);
        Running(Arc::clone(&self.running))
    }

    /// Returns the requests running for callers and for other VMs.
    pub fn running_requests(&self) -> u64 {
        self.running.load(Ordering::Acquire)
    }

    /// Returns whether a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }

    /// Begins a planned stop.
    pub fn begin_stop(&self) {
        self.stopping.store(true, Ordering::Release);
    }

    /// Returns whether the balancer may send callers here.
    pub fn is_ready(&self) -> bool {
        !self.is_stopping() && self.synced.load(Ordering::Acquire) && self.config.revision() > 0
    }

    /// Notes that the start-up comparison with other VMs has ended.
    pub fn set_synced(&self) {
        if !self.synced.swap(true, Ordering::AcqRel) {
            log::info!("ready with configuration revision {}", self.config.revision());
        }
    }

    /// Returns which VMs reach which blocks.
    pub fn reach(&self, accepted: &Accepted) -> Arc<ReachTable> {
        self.reach.table(accepted, &self.config.list(), &self.identity.vm_id)
    }

    /// Returns whether this VM connects to the backend servers of a block.
    pub fn reaches_block(&self, accepted: &Accepted, block: BlockId) -> bool {
        self.reach(accepted).get(block).is_some_and(|reach| reach.local)
    }

    /// Returns the VMs that connect to the backend servers of a block.
    pub fn block_group(&self, accepted: &Accepted, block: BlockId) -> Vec<VmId> {
        self.reach(accepted).get(block).map_or(Vec::new(), |reach| reach.group.clone())
    }

    /// Returns the backend servers of a service within a block.
    pub fn service_replicas(&self, service: &str, block: BlockId) -> Vec<Arc<Leaf>> {
        let Some(accepted) = self.config.accepted() else { return Vec::new() };
        let Some(placed) = accepted.service(service) else { return Vec::new() };
        let ids = placed.leafs.iter().map(|&index| &accepted.leafs[index]);
        ids.filter(|published| published.block == block)
            .filter_map(|published| self.leafs.get(&published.server.id))
            .collect()
    }

    /// Returns a weight for the distance to another VM: same failure domain, same region, elsewhere.
    pub fn distance(&self, vm_id: &VmId) -> u64 {
        let list = self.config.list();
        let Ok(index) = list.vms.binary_search_by(|vm| vm.id.cmp(vm_id)) else { return 8 };
        let vm = &list.vms[index];
        if vm.failure_domain == self.settings.failure_domain {
            return 1;
        }
        if vm.region == self.settings.region { 2 } else { 8 }
    }

    /// Returns the VM that runs suspects of a service alone: the same one on every VM, so that it tells them apart.
    fn judge(&self, service: &str) -> VmId {
        let key = fingerprint(service, "");
        let list = self.config.list();
        let others = list.vms.iter().map(|vm| &vm.id).filter(|id| !self.peers.is_unreachable(id));
        let all = others.chain([&self.identity.vm_id]);
        let judge = all.max_by_key(|id| rendezvous_weight(key, id));
        judge.unwrap_or(&self.identity.vm_id).clone()
    }

    /// Makes a request suspect here and everywhere.
    pub fn note_suspect(&self, service: &str, body: &str) {
        let fingerprint = fingerprint(service, body);
        let ttl_ms = self.settings.quarantine.suspect_ms;
        let owner = self.judge(service);
        if self.quarantine.mark_suspect(
            fingerprint,
            &owner,
            Duration::from_millis(ttl_ms),
            Instant::now(),
        ) {
            self.metrics.count("quarantine.suspect");
            self.peers.spread(vec![FactBody::Suspect { fingerprint, owner, ttl_ms }]);
        }
    }

    /// Takes over what a refusal tells about a backend server.
    pub fn note_refusal(&self, leaf: &Leaf, versions: &[IndexVersion], reason: LeafRefusalReason) {
        let now = Instant::now();
        let mut changed = leaf.apply_versions(versions, now);
        let mut boot_id = 0;
        changed |= leaf.update(|state| {
            state.said_leaving |= reason == LeafRefusalReason::Draining;
            state.cold |= reason == LeafRefusalReason::Cold;
            boot_id = state.boot_id;
        });
        if !changed {
            return;
        }
        self.leafs.bump();
        if reason == LeafRefusalReason::Draining {
            self.peers.spread(vec![FactBody::LeafLeaving { boot_id, leaf: leaf.id.clone() }]);
        }
    }
}

/// Returns the IP number other VMs know this one by.
pub fn own_ip(settings: &DaemonSettings) -> IpAddr {
    let address = settings.peer_address.parse::<SocketAddr>();
    address.map_or(IpAddr::V4(Ipv4Addr::UNSPECIFIED), |address| address.ip())
}
