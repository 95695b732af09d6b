//! The usual time of a request at the backend servers of a service.

use std::sync::Mutex;
use std::time::Duration;

use crate::gateway::latency_estimate::MEAN_WEIGHT;
use crate::locks::lock;

/// Time of a request at a backend server before any was measured and where no goal is known: a short request.
const SHORT_WORK: Duration = Duration::from_millis(10);
/// Part of a route's goal that its requests are expected to take at a backend server before any was measured.
const WORK_SHARE_OF_GOAL: u32 = 8;

/// Usual time of a request at the backend servers of a service, without the way there.
///
/// A backend server that has not answered yet, or not for long, is expected to be like the others.
#[derive(Default)]
pub struct ServiceTime(Mutex<Option<UsualTime>>);

#[derive(Clone, Copy)]
enum UsualTime {
    FromGoal(Duration),
    Measured(Duration),
}

impl ServiceTime {
    /// Takes over the goal of a route to the service; the shortest counts until a time was measured.
    pub fn assume_from_target(&self, target_latency: Duration) {
        let mut usual = lock(&self.0);
        let work = target_latency / WORK_SHARE_OF_GOAL;
        *usual = match *usual {
            None => Some(UsualTime::FromGoal(work)),
            Some(UsualTime::FromGoal(known)) => Some(UsualTime::FromGoal(known.min(work))),
            measured => measured,
        };
    }

    /// Adds the time of an answer, without the way there.
    pub fn observe(&self, work: Duration) {
        let mut usual = lock(&self.0);
        *usual = Some(UsualTime::Measured(match *usual {
            Some(UsualTime::Measured(known)) => {
                known.mul_f64(1.0 - MEAN_WEIGHT) + work.mul_f64(MEAN_WEIGHT)
            }
            _ => work,
        }));
    }

    /// Returns the usual time.
    pub fn get(&self) -> Duration {
        match *lock(&self.0) {
            None => SHORT_WORK,
            Some(UsualTime::FromGoal(work) | UsualTime::Measured(work)) => work,
        }
    }
}
