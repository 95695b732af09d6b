//! Smooth weighted round robin: distributes requests among services in proportion to their weights.

use std::sync::{Arc, Mutex};

use crate::gateway::directory::Service;
use crate::locks::lock;

/// A service with its weights.
struct Entry {
    /// Grows by the weight with each request; the service with the largest value is next.
    current_weight: f64,
    service: Arc<Service>,
    weight: f64,
}

/// A rotation over services.
pub struct WeightedRoundRobin {
    entries: Mutex<Vec<Entry>>,
}

impl WeightedRoundRobin {
    /// Creates a rotation; `rotation_offset` in 0..1 shifts its start, so that many VMs do not rotate in step.
    pub fn new(services: Vec<(Arc<Service>, f64)>, rotation_offset: f64) -> Self {
        let entries = services
            .into_iter()
            .map(|(service, weight)| Entry {
                current_weight: weight * rotation_offset,
                service,
                weight,
            })
            .collect();
        Self { entries: Mutex::new(entries) }
    }

    /// Returns the service for the next request; none if no service has a positive weight.
    pub fn next(&self) -> Option<Arc<Service>> {
        let mut entries = lock(&self.entries);
        let total: f64 = entries.iter().map(|entry| entry.weight).sum();
        for entry in entries.iter_mut() {
            entry.current_weight += entry.weight;
        }
        let next = entries
            .iter_mut()
            .filter(|entry| entry.weight > 0.0)
            .max_by(|a, b| a.current_weight.total_cmp(&b.current_weight))?;
        next.current_weight -= total;
        Some(Arc::clone(&next.service))
    }

    /// Returns every service of the rotation.
    pub fn services(&self) -> Vec<Arc<Service>> {
        lock(&self.entries).iter().map(|entry| Arc::clone(&entry.service)).collect()
    }
}
