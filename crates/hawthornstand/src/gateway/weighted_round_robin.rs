//! Distributes requests among services in proportion to their weights.

use std::sync::{Arc, Mutex};

use crate::gateway::directory::Service;
use crate::locks::lock;

/// One service with its weight and its place in the rotation.
struct Share {
    credit: f64,
    service: Arc<Service>,
    weight: f64,
}

/// Smooth weighted round robin over services.
pub struct WeightedRoundRobin {
    shares: Mutex<Vec<Share>>,
}

impl WeightedRoundRobin {
    /// Creates a rotation; `phase` in 0..1 shifts its start, so that many VMs do not rotate in step.
    pub fn new(services: Vec<(Arc<Service>, f64)>, phase: f64) -> Self {
        let shares = services
            .into_iter()
            .map(|(service, weight)| Share { credit: weight * phase, service, weight })
            .collect();
        Self { shares: Mutex::new(shares) }
    }

    /// Returns the service of the next request; none where no service has a weight.
    pub fn next(&self) -> Option<Arc<Service>> {
        let mut shares = lock(&self.shares);
        let total: f64 = shares.iter().map(|share| share.weight).sum();
        for share in shares.iter_mut() {
            share.credit += share.weight;
        }
        let next = shares
            .iter_mut()
            .filter(|share| share.weight > 0.0)
            .max_by(|a, b| a.credit.total_cmp(&b.credit))?;
        next.credit -= total;
        Some(Arc::clone(&next.service))
    }

    /// Returns every service of the rotation.
    pub fn services(&self) -> Vec<Arc<Service>> {
        lock(&self.shares).iter().map(|share| Arc::clone(&share.service)).collect()
    }
}
