//! The deployments of the users at their current sizes.

use std::path::Path;
use std::time::Duration;

use hawthornstand_standins::fleet::{FleetSpec, Latency, LeafSpec, ServiceSpec, VmSpec};

/// Mean service time of a search on a stand-in backend server.
pub const SERVICE_TIME: Duration = Duration::from_millis(5);

/// One pool of backend servers.
#[derive(Clone, Copy, Debug)]
pub struct Pool {
    pub connect_cost_ms: u64,
    pub connection_limit: usize,
    pub name: &'static str,
    pub priority: &'static str,
    pub replicas: usize,
    pub shards: u64,
    pub slots: usize,
}

/// Deployment of one user.
#[derive(Clone, Copy, Debug)]
pub struct Deployment {
    pub between_regions_ms: u64,
    pub name: &'static str,
    pub pools: &'static [Pool],
    pub regions: [&'static str; 3],
    pub vms: usize,
    pub within_region_us: u64,
}

/// Deployment of Kadeh (staffing).
pub const KADEH: Deployment = Deployment {
    between_regions_ms: 20,
    name: "kadeh",
    pools: &[
        pool("coordinator-desk", 10, 3, 2, 25, 6, "interactive"),
        pool("staff-app", 15, 3, 2, 25, 6, "interactive"),
        pool("client-portal", 1, 7, 3, 110, 1, "interactive"),
        pool("payroll-sync", 1, 3, 3, 110, 1, "bulk"),
    ],
    regions: ["marmara", "ege", "akdeniz"],
    vms: 9,
    within_region_us: 500,
};

/// Deployment of Krtačka (pet grooming).
pub const KRTACKA: Deployment = Deployment {
    between_regions_ms: 12,
    name: "krtacka",
    pools: &[
        pool("recepcija", 10, 3, 3, 30, 6, "interactive"),
        pool("racuni", 15, 3, 3, 30, 6, "interactive"),
        pool("lastniki", 1, 15, 4, 45, 1, "bulk"),
        pool("zaloga", 1, 7, 4, 45, 1, "bulk"),
    ],
    regions: ["osrednja", "stajerska", "primorska"],
    vms: 8,
    within_region_us: 1500,
};

/// Creates a pool.
const fn pool(
    name: &'static str,
    shards: u64,
    replicas: usize,
    slots: usize,
    connection_limit: usize,
    connect_cost_ms: u64,
    priority: &'static str,
) -> Pool {
    Pool { connect_cost_ms, connection_limit, name, priority, replicas, shards, slots }
}

/// Describes a fleet of one pool, with all VMs and backend servers in one region.
pub fn single_pool(daemon: &Path, deployment: &Deployment, pool: &Pool, vms: usize) -> FleetSpec {
    let mut spec = FleetSpec::with_equal_shards(daemon, vms, 1, 1, 1);
    spec.leafs = leafs(deployment, pool, |_| deployment.regions[0]);
    spec.services = services(pool);
    spec.vms = (0..vms).map(|number| vm(number, deployment.regions[0])).collect();
    spec.planned_vms = deployment.vms as u64;
    spec
}

/// Describes a fleet of all pools; VMs and the replicas of a shard are assigned to the regions in turn.
pub fn full_deployment(daemon: &Path, deployment: &Deployment) -> FleetSpec {
    let mut spec = FleetSpec::with_equal_shards(daemon, 1, 1, 1, 1);
    spec.leafs.clear();
    spec.services.clear();
    for pool in deployment.pools {
        spec.leafs.extend(leafs(deployment, pool, |replica| deployment.regions[replica % 3]));
        spec.services.extend(services(pool));
    }
    spec.vms =
        (0..deployment.vms).map(|number| vm(number, deployment.regions[number % 3])).collect();
    spec.planned_vms = deployment.vms as u64;
    spec.latency = Latency {
        between_regions: Duration::from_millis(deployment.between_regions_ms),
        within_region: Duration::from_micros(deployment.within_region_us),
    };
    spec
}

/// Describes the backend servers of a pool, with ten slices per shard.
fn leafs(
    deployment: &Deployment,
    pool: &Pool,
    region: impl Fn(usize) -> &'static str,
) -> Vec<LeafSpec> {
    let mut leafs = Vec::new();
    for shard in 0..pool.shards {
        for replica in 0..pool.replicas {
            let region = region(replica);
            leafs.push(LeafSpec {
                connect_cost: Duration::from_millis(pool.connect_cost_ms),
                connection_limit: pool.connection_limit,
                failure_domain: format!("{region}-1"),
                id: format!("{}-{}-{shard:02}-{replica:02}", deployment.name, pool.name),
                labels: vec![
                    ("pool".to_string(), pool.name.to_string()),
                    ("shard".to_string(), format!("{shard:02}")),
                ],
                region: region.to_string(),
                service_time: SERVICE_TIME,
                slices: (shard * 10, shard * 10 + 10),
                slots: pool.slots,
            });
        }
    }
    leafs
}

/// Describes a service over all shards of a pool, and one service for each shard.
fn services(pool: &Pool) -> Vec<ServiceSpec> {
    let by_pool = vec![("pool".to_string(), pool.name.to_string())];
    let mut services = vec![ServiceSpec {
        name: pool.name.to_string(),
        priority: pool.priority.to_string(),
        selector: by_pool.clone(),
        slices: (0, pool.shards * 10),
    }];
    for shard in 0..pool.shards {
        let mut selector = by_pool.clone();
        selector.push(("shard".to_string(), format!("{shard:02}")));
        services.push(ServiceSpec {
            name: format!("{}-{shard:02}", pool.name),
            priority: pool.priority.to_string(),
            selector,
            slices: (shard * 10, shard * 10 + 10),
        });
    }
    services
}

/// Describes a VM; numbers start at 0, IDs at `entry-1`.
pub fn vm(number: usize, region: &str) -> VmSpec {
    VmSpec {
        failure_domain: format!("{region}-1"),
        id: format!("entry-{}", number + 1),
        region: region.to_string(),
    }
}
