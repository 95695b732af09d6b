//! Routing plans of services, and a cache of them.

use std::sync::{Arc, PoisonError, RwLock};

use crate::backends::leaf::Leaf;
use crate::configuration::published::Service;
use crate::derives::value_types;
use crate::ids::{BlockId, IndexVersion, Revision, ServiceName};
use crate::searches::slices::SliceSet;

/// Slices together with the replicas that report that they hold all of them.
#[derive(Clone)]
pub struct Segment {
    pub replicas: Vec<Arc<Leaf>>,
    pub slices: SliceSet,
}

/// The part of a routing plan that covers one block.
#[derive(Clone)]
pub struct BlockPlan {
    pub block: BlockId,
    /// Whether this VM connects to the backend servers of the block.
    pub connected: bool,
    pub segments: Vec<Segment>,
    /// Slices published for the block.
    pub slices: SliceSet,
}

/// Routing plan of a service at one index version.
pub struct RoutingPlan {
    pub blocks: Vec<BlockPlan>,
    pub service: Service,
    pub slices: SliceSet,
    pub version: IndexVersion,
}

value_types! {
    struct CacheKey {
        /// Generation of the table of backend servers.
        generation: u64,
        /// Revision of the configuration.
        revision: Revision,
        service: ServiceName,
        version: Option<IndexVersion>,
    }
}

/// Caches plans until the backend servers or the configuration they were built from change.
#[derive(Default)]
pub struct PlanCache {
    /// Sorted by service name and version.
    plans: RwLock<Vec<(CacheKey, Arc<RoutingPlan>)>>,
}

impl PlanCache {
    /// Returns the cached plan of a service; builds it if `generation` or `revision` has changed since.
    pub fn get_or_build(
        &self,
        service: &str,
        version: Option<IndexVersion>,
        generation: u64,
        revision: Revision,
        build: impl FnOnce() -> RoutingPlan,
    ) -> Arc<RoutingPlan> {
        let order = |key: &CacheKey| (key.service.as_str(), key.version).cmp(&(service, version));
        {
            let plans = self.plans.read().unwrap_or_else(PoisonError::into_inner);
            if let Ok(index) = plans.binary_search_by(|(key, _)| order(key)) {
                let (key, plan) = &plans[index];
                if key.generation == generation && key.revision == revision {
                    return Arc::clone(plan);
                }
            }
        }
        let plan = Arc::new(build());
        let key = CacheKey { generation, revision, service: service.to_string(), version };
        let mut plans = self.plans.write().unwrap_or_else(PoisonError::into_inner);
        plans.retain(|(key, _)| key.version.is_none() || key.generation == generation);
        match plans.binary_search_by(|(key, _)| order(key)) {
            Ok(index) => plans[index] = (key, Arc::clone(&plan)),
            Err(index) => plans.insert(index, (key, Arc::clone(&plan))),
        }
        plan
    }
}
