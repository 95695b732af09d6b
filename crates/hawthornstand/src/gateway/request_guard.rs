//! Drop guard of a request: acts when it is answered, or when its caller disconnects before.

use std::sync::Arc;

use tokio::time::Instant;

use crate::gateway::context::GatewayContext;
use crate::gateway::outbound_request::OutboundRequest;
use crate::gateway::time_budget::TimeBudget;
use crate::ids::id_text;

/// Guard of a running request. Dropped before the request is marked as answered, it logs and counts the disconnected
/// caller; in both cases it tells the crash tracker what the attempts have shown.
pub struct RequestGuard<'a> {
    context: &'a GatewayContext,
    is_answered: bool,
    request: &'a Arc<OutboundRequest>,
    time_budget: &'a TimeBudget,
}

impl<'a> RequestGuard<'a> {
    /// Creates the guard of a request.
    pub fn new(
        request: &'a Arc<OutboundRequest>,
        time_budget: &'a TimeBudget,
        context: &'a GatewayContext,
    ) -> Self {
        Self { context, is_answered: false, request, time_budget }
    }

    /// Marks the request as answered.
    pub fn mark_answered(mut self) {
        self.is_answered = true;
    }
}

impl Drop for RequestGuard<'_> {
    fn drop(&mut self) {
        if !self.is_answered {
            self.context.telemetry.departures.inc();
            log::info!(
                request = id_text(&self.request.request_id).as_ref(),
                waited_ms = self.time_budget.spent().as_millis() as u64,
                left_ms = self.time_budget.left().as_millis() as u64;
                "the caller disconnected; the calls to backend servers were cancelled"
            );
        }
        if self.request.attempt_outcomes.is_answered() {
            self.context.crash_tracker.record_answered(self.request.fingerprint, Instant::now());
        } else if self.request.is_trial
            && self.is_answered
            && self.request.attempt_outcomes.may_have_run()
        {
            self.context
                .crash_tracker
                .record_failed_trial(self.request.fingerprint, Instant::now());
        }
    }
}
