//! The plan of a search, and a cache of plans.

use std::sync::{Arc, PoisonError, RwLock};

use crate::backends::leaf::Leaf;
use crate::configuration::published::Service;
use crate::derives::value_types;
use crate::ids::{BlockId, IndexVersion, Revision, ServiceName};
use crate::searches::slices::SliceSet;

/// A part of the key space with the replicas that claim to hold all of it.
#[derive(Clone)]
pub struct Segment {
    pub replicas: Vec<Arc<Leaf>>,
    pub slices: SliceSet,
}

/// The part of a plan that lies in one block.
#[derive(Clone)]
pub struct BlockPlan {
    pub block: BlockId,
    /// Whether this VM connects to the backend servers of the block.
    pub connected: bool,
    pub segments: Vec<Segment>,
    /// Slices published for the block.
    pub slices: SliceSet,
}

/// RoutingPlan of a service at one version.
pub struct RoutingPlan {
    pub blocks: Vec<BlockPlan>,
    pub service: Service,
    pub slices: SliceSet,
    pub version: IndexVersion,
}

value_types! {
    struct CacheKey {
        generation: u64,
        revision: Revision,
        service: ServiceName,
        version: Option<IndexVersion>,
    }
}

/// Remembers plans until the state they were made for changes.
#[derive(Default)]
pub struct PlanCache {
    /// Sorted by service name and version.
    plans: RwLock<Vec<(CacheKey, Arc<RoutingPlan>)>>,
}

impl PlanCache {
    /// Returns the plan of a service, made anew where the state it was made for has changed.
    pub fn get_or_make(
        &self,
        service: &str,
        version: Option<IndexVersion>,
        generation: u64,
        revision: Revision,
        make: impl FnOnce() -> RoutingPlan,
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
        let plan = Arc::new(make());
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
