//! State of a VM as shown to operators.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::configuration::published::{ResolvedService, phase_of};
use crate::derives::value_types;
use crate::ids::{IndexVersion, LeafId, Revision, ServiceName, VmId};
use crate::messages::{FactBody, SliceRange};
use crate::process::context::Context;
use crate::searches::planner::plan;

value_types! {
    /// State of a VM.
    #[derive(Deserialize, Serialize)]
    pub struct Status {
        pub accepted_revision: Revision,
        pub backend_servers: Vec<BackendServerStatus>,
        pub counters: Vec<(String, u64)>,
        pub fleet: String,
        pub list_revision: Revision,
        pub platform_contact_age_ms: Option<u64>,
        pub ready: bool,
        pub refused_requests: Vec<RefusedRequest>,
        pub rejected_configuration: Option<String>,
        pub running_requests: u64,
        pub services: Vec<ServiceStatus>,
        pub spent_tickets: u64,
        pub stopping: bool,
        /// Name, then count and median, 99th percentile and maximum in microseconds.
        pub timers: Vec<(String, [u64; 4])>,
        pub vm_id: VmId,
        pub vms: Vec<VmStatus>,
    }

    /// State of a backend server.
    #[derive(Deserialize, Serialize)]
    pub struct BackendServerStatus {
        pub id: LeafId,
        pub in_flight: u32,
        pub latency_us: u64,
        pub slices: Vec<SliceRange>,
        pub state: String,
        pub versions: Vec<IndexVersion>,
        pub why: String,
    }

    /// A suspect or quarantined request.
    #[derive(Deserialize, Serialize)]
    pub struct RefusedRequest {
        pub fingerprint: String,
        pub owner: Option<VmId>,
        pub standing: String,
        pub ttl_ms: u64,
    }

    /// Concurrency limit and retry budget of a service.
    #[derive(Deserialize, Serialize)]
    pub struct ServiceStatus {
        pub concurrency_limit: f64,
        pub extra_attempts: u64,
        pub first_attempts: u64,
        pub name: ServiceName,
        pub refused: u64,
        pub running: u64,
    }

    /// State of another VM as seen by this one.
    #[derive(Deserialize, Serialize)]
    pub struct VmStatus {
        pub accepted_revision: Option<Revision>,
        pub failure_domain: String,
        pub id: VmId,
        pub linked: bool,
        pub listed: String,
        pub unreachable: bool,
    }

    /// Backend servers that a service's selector matches.
    #[derive(Deserialize, Serialize)]
    pub struct Explanation {
        pub backend_servers: Vec<ExplainedServer>,
        pub selector: Vec<(String, String)>,
        pub service: ServiceName,
        pub slices: SliceRange,
        pub version: IndexVersion,
    }

    /// One backend server that a selector matches.
    #[derive(Deserialize, Serialize)]
    pub struct ExplainedServer {
        pub id: LeafId,
        pub phase: String,
        pub reached_through: Vec<VmId>,
        pub slices: SliceRange,
        pub state: String,
        pub why: String,
    }
}

/// Returns the state of this VM.
pub fn status(context: &Context) -> Status {
    let now = Instant::now();
    Status {
        accepted_revision: context.config.revision(),
        backend_servers: backend_servers(context),
        counters: context.metrics.totals(),
        fleet: context.settings.fleet.clone(),
        list_revision: context.config.list().revision,
        platform_contact_age_ms: context
            .config
            .last_platform_contact()
            .map(|at| (now - at).as_millis() as u64),
        ready: context.is_ready(),
        refused_requests: refused_requests(context, now),
        rejected_configuration: context
            .config
            .rejection()
            .map(|rejection| format!("revision {}: {}", rejection.revision, rejection.reason)),
        running_requests: context.running_requests(),
        services: services(context, now),
        spent_tickets: context.tickets.spent_count() as u64,
        stopping: context.is_stopping(),
        timers: context.metrics.timers(),
        vm_id: context.identity.vm_id.clone(),
        vms: vms(context),
    }
}

/// Returns the backend servers that a service's selector matches and the VMs through which they are reached.
pub fn explain(context: &Arc<Context>, service: &str) -> Option<Explanation> {
    let accepted = context.config.accepted()?;
    let resolved: &ResolvedService = accepted.service(service)?;
    let version = plan(context, &accepted, service, None).map_or(0, |plan| plan.version);
    let mut backend_servers = Vec::new();
    for &index in &resolved.leafs {
        let published = &accepted.leafs[index];
        let server = &published.server;
        let (state, why) = match context.leafs.get(&server.id) {
            Some(leaf) => leaf.describe(),
            None => ("unknown", String::new()),
        };
        let group = context.vms_connected_to_block(&accepted, published.block);
        backend_servers.push(ExplainedServer {
            id: server.id.clone(),
            phase: format!("{:?}", phase_of(server)).to_lowercase(),
            reached_through: group,
            slices: SliceRange { start: server.slice_start, end: server.slice_end },
            state: state.to_string(),
            why,
        });
    }
    let mut selector: Vec<(String, String)> = resolved
        .service
        .selector
        .iter()
        .map(|(label, value)| (label.clone(), value.clone()))
        .collect();
    selector.sort();
    Some(Explanation {
        backend_servers,
        selector,
        service: service.to_string(),
        slices: SliceRange { start: resolved.service.slice_start, end: resolved.service.slice_end },
        version,
    })
}

/// Returns the state of every backend server.
fn backend_servers(context: &Context) -> Vec<BackendServerStatus> {
    let mut result = Vec::new();
    for leaf in context.leafs.all().iter() {
        let (state, why) = leaf.describe();
        let index_contents = leaf.with_state(|state| state.index_contents.clone());
        result.push(BackendServerStatus {
            id: leaf.id.clone(),
            in_flight: leaf.in_flight(),
            latency_us: leaf.latency_us(),
            slices: index_contents.slices.to_ranges(),
            state: state.to_string(),
            versions: index_contents.versions,
            why,
        });
    }
    result
}

/// Returns the suspect and quarantined requests.
fn refused_requests(context: &Context, now: Instant) -> Vec<RefusedRequest> {
    let mut result = Vec::new();
    for fact in context.quarantine.facts(now) {
        let (fingerprint, owner, standing, ttl_ms) = match fact {
            FactBody::Quarantined { fingerprint, ttl_ms } => {
                (fingerprint, None, "quarantined", ttl_ms)
            }
            FactBody::Suspect { fingerprint, owner, ttl_ms } => {
                (fingerprint, Some(owner), "suspect", ttl_ms)
            }
            _ => continue,
        };
        result.push(RefusedRequest {
            fingerprint: format!("{fingerprint:016x}"),
            owner,
            standing: standing.to_string(),
            ttl_ms,
        });
    }
    result
}

/// Returns the concurrency limits and retry budgets of the services.
fn services(context: &Context, now: Instant) -> Vec<ServiceStatus> {
    let mut result = Vec::new();
    for state in context.services.all() {
        let (concurrency_limit, running, refused) = state.admission.usage();
        let (first_attempts, extra_attempts) = state.budget.usage(now);
        result.push(ServiceStatus {
            concurrency_limit: (concurrency_limit * 10.0).round() / 10.0,
            extra_attempts,
            first_attempts,
            name: state.name.clone(),
            refused,
            running,
        });
    }
    result
}

/// Returns the entry VMs of the VM list and the state of the links to them.
fn vms(context: &Context) -> Vec<VmStatus> {
    let mut result = Vec::new();
    for vm in context.config.list().vms.iter().filter(|vm| vm.entry) {
        let link = context.peers.find(&vm.id);
        result.push(VmStatus {
            accepted_revision: link
                .as_ref()
                .and_then(|link| link.heartbeat())
                .map(|(heartbeat, _)| heartbeat.accepted_revision),
            failure_domain: vm.failure_domain.clone(),
            id: vm.id.clone(),
            linked: link.is_some(),
            listed: if vm.leaving { "leaving" } else { "live" }.to_string(),
            unreachable: context.peers.is_unreachable(&vm.id),
        });
    }
    result
}
