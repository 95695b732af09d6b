//! Estimate of the service time: the time that backend servers of a service spend on a request.

use std::sync::Mutex;
use std::time::Duration;

use crate::gateway::latency_estimate::MEAN_WEIGHT;
use crate::locks::lock;

/// Service time until one is measured or a route to the service gives its target latency: that of a short request.
const DEFAULT_SERVICE_TIME: Duration = Duration::from_millis(10);
/// The service time is assumed to be the target latency of a route divided by this until one is measured.
const TARGET_LATENCY_DIVISOR: u32 = 8;

/// Mean service time over the backend servers of a service, without the round trip.
///
/// It is the prior for the latency of a backend server without recent answers.
#[derive(Default)]
pub struct ServiceTime(Mutex<Option<Estimate>>);

#[derive(Clone, Copy)]
enum Estimate {
    /// Derived from the target latency of a route.
    Assumed(Duration),
    Measured(Duration),
}

impl ServiceTime {
    /// Derives the service time from the target latency of a route; the shortest counts until one is measured.
    pub fn assume_from_target(&self, target_latency: Duration) {
        let mut estimate = lock(&self.0);
        let service_time = target_latency / TARGET_LATENCY_DIVISOR;
        *estimate = match *estimate {
            None => Some(Estimate::Assumed(service_time)),
            Some(Estimate::Assumed(known)) => Some(Estimate::Assumed(known.min(service_time))),
            measured => measured,
        };
    }

    /// Adds the service time of an answer, which excludes the round trip.
    pub fn observe(&self, sample: Duration) {
        let mut estimate = lock(&self.0);
        *estimate = Some(Estimate::Measured(match *estimate {
            Some(Estimate::Measured(known)) => {
                known.mul_f64(1.0 - MEAN_WEIGHT) + sample.mul_f64(MEAN_WEIGHT)
            }
            _ => sample,
        }));
    }

    /// Returns the estimate.
    pub fn get(&self) -> Duration {
        match *lock(&self.0) {
            None => DEFAULT_SERVICE_TIME,
            Some(Estimate::Assumed(time) | Estimate::Measured(time)) => time,
        }
    }
}
