//! The services that a request needs, and whether this VM reaches enough of them.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::gateway::directory::Service;
use crate::gateway::reach::contact::Contact;
use crate::gateway::reach::verdict::Reach;

/// Interval at which a running request checks whether its services are still reached.
const CHECK_INTERVAL: Duration = Duration::from_millis(25);

/// Services of which a request needs some number.
#[derive(Clone, Copy)]
pub struct Needs<'a> {
    pub contact: &'a Contact,
    pub min_services: usize,
    pub services: &'a [Arc<Service>],
}

impl Needs<'_> {
    /// Returns whether this VM reaches too few of the services.
    pub fn are_lost(&self) -> bool {
        let now = Instant::now();
        if self.contact.lost_for(now).is_some() {
            return true;
        }
        let may_be_lost = self.services.len() - self.min_services;
        let lost = self.services.iter().filter(|service| service.reach(now) == Reach::Lost);
        lost.take(may_be_lost + 1).count() > may_be_lost
    }

    /// Waits until this VM reaches too few of the services.
    pub async fn lost(&self) {
        loop {
            tokio::time::sleep(CHECK_INTERVAL).await;
            if self.are_lost() {
                return;
            }
        }
    }

    /// Takes one extra attempt from the budget of every service; returns whether all of them allow it.
    pub fn take_extra_attempts(&self) -> bool {
        let now = Instant::now();
        for (taken, service) in self.services.iter().enumerate() {
            if service.budget.try_take(now) {
                continue;
            }
            for service in &self.services[..taken] {
                service.budget.refund(now);
            }
            return false;
        }
        true
    }
}
