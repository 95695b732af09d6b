//! What a backend server says of itself in its answers, and what this VM makes of it.

use std::time::Duration;

use tokio::time::Instant;

use crate::derives::value_types;
use crate::gateway::request_allowance::{RequestAllowance, Room};

/// Longest time for which a backend server is left alone that asks for it: one that errs about the unit comes back.
const MAX_QUIET: Duration = Duration::from_secs(3600);

value_types! {
    /// What one answer says of its backend server.
    #[derive(Copy, Default)]
    pub struct AnswerStatements {
        /// Whether it is about to end.
        pub is_leaving: bool,
        /// Requests a second that it takes from the whole fleet; not a number if the answer holds something else.
        pub limit_per_s: Option<f64>,
        /// Seconds for which it wants no more requests from this VM; not a number if the answer holds something else.
        pub quiet_s: Option<f64>,
    }

    /// A change of what a backend server says.
    #[derive(Copy)]
    pub enum StatementChange {
        Leaving,
        LimitEnded,
        LimitNamed { limit_per_s: f64, own_rate_per_s: f64 },
        /// A limit that is negative or not a number is ignored.
        LimitUnusable,
        QuietBegun { time: Duration },
        /// A time that is negative or not a number is ignored.
        QuietUnusable,
    }
}

/// The limit that a backend server names.
#[derive(Clone, Copy, Debug)]
struct NamedLimit {
    allowance: RequestAllowance,
    /// Whether the last statement named it; an ended limit keeps its tokens in case that it is named again.
    is_in_force: bool,
    last_named: Instant,
}

/// What a backend server said of itself last.
#[derive(Clone, Copy, Debug)]
pub struct ServerStatements {
    /// When it first said that it leaves. Only another process under its id takes requests again: a process that leaves does
    /// not come back, and answers and entries from before may still be on their way.
    leaving_since: Option<Instant>,
    /// Fraction of a named limit that belongs to this VM.
    limit_share: f64,
    limit: Option<NamedLimit>,
    has_unusable_limit: bool,
    has_unusable_quiet: bool,
    /// Until when it wants no requests from this VM.
    quiet_until: Option<Instant>,
}

impl Default for ServerStatements {
    fn default() -> Self {
        Self {
            has_unusable_limit: false,
            has_unusable_quiet: false,
            leaving_since: None,
            limit: None,
            limit_share: 1.0,
            quiet_until: None,
        }
    }
}

impl ServerStatements {
    /// Sets the fraction of a named limit that belongs to this VM.
    pub fn set_limit_share(&mut self, limit_share: f64, now: Instant) {
        self.limit_share = limit_share;
        if let Some(limit) = &mut self.limit {
            limit.allowance.set_share(limit_share, now);
        }
    }

    /// Records what an answer to a request that was sent at `sent_at` says; returns what has changed.
    pub fn record(
        &mut self,
        said: &AnswerStatements,
        sent_at: Instant,
        now: Instant,
    ) -> Vec<StatementChange> {
        let limit = match said.limit_per_s {
            Some(limit_per_s) if limit_per_s.is_nan() || limit_per_s < 0.0 => {
                let is_new = !std::mem::replace(&mut self.has_unusable_limit, true);
                is_new.then_some(StatementChange::LimitUnusable)
            }
            Some(limit_per_s) => self.record_limit(limit_per_s, now),
            None => self.end_limit(sent_at),
        };
        let begins_to_leave = said.is_leaving && self.leaving_since.is_none();
        if begins_to_leave {
            self.leaving_since = Some(now);
        }
        let leaving = begins_to_leave.then_some(StatementChange::Leaving);
        let quiet = said.quiet_s.and_then(|quiet_s| self.record_quiet(quiet_s, now));
        [limit, leaving, quiet].into_iter().flatten().collect()
    }

    /// Records a wish for quiet; an earlier one that lasts longer holds on.
    fn record_quiet(&mut self, quiet_s: f64, now: Instant) -> Option<StatementChange> {
        if quiet_s.is_nan() || quiet_s < 0.0 {
            let is_new = !std::mem::replace(&mut self.has_unusable_quiet, true);
            return is_new.then_some(StatementChange::QuietUnusable);
        }
        let time = Duration::from_secs_f64(quiet_s.min(MAX_QUIET.as_secs_f64()));
        let is_new = self.quiet_until.is_none_or(|until| until <= now);
        self.quiet_until = self.quiet_until.max(Some(now + time));
        is_new.then_some(StatementChange::QuietBegun { time })
    }

    /// Returns the time for which it wants no requests from this VM.
    pub fn quiet_left(&self, now: Instant) -> Duration {
        self.quiet_until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }

    /// Returns the room for a request.
    pub fn room(&self, now: Instant) -> Room {
        if !self.quiet_left(now).is_zero() {
            return Room::Exhausted;
        }
        self.allowance().map_or(Room::Ample, |allowance| allowance.room(now))
    }

    /// Returns the time until there is room for a request.
    pub fn wait(&self, now: Instant) -> Duration {
        let limit_wait = self.allowance().map_or(Duration::ZERO, |allowance| allowance.wait(now));
        limit_wait.max(self.quiet_left(now))
    }

    /// Returns when it first said that it leaves; none if it does not.
    pub fn leaving_since(&self) -> Option<Instant> {
        self.leaving_since
    }

    fn record_limit(&mut self, limit_per_s: f64, now: Instant) -> Option<StatementChange> {
        let is_new = !self.limit.is_some_and(|limit| limit.is_in_force);
        let limit = self.limit.get_or_insert_with(|| NamedLimit {
            allowance: RequestAllowance::new(limit_per_s, self.limit_share, rand::random(), now),
            is_in_force: true,
            last_named: now,
        });
        limit.allowance.set_limit(limit_per_s, now);
        limit.is_in_force = true;
        limit.last_named = now;
        let own_rate_per_s = limit.allowance.rate_per_s();
        is_new.then_some(StatementChange::LimitNamed { limit_per_s, own_rate_per_s })
    }

    /// Ends the limit, unless the answer was on its way when the limit was named last.
    fn end_limit(&mut self, sent_at: Instant) -> Option<StatementChange> {
        let limit = self.limit.as_mut().filter(|limit| limit.is_in_force)?;
        if sent_at < limit.last_named {
            return None;
        }
        limit.is_in_force = false;
        Some(StatementChange::LimitEnded)
    }

    /// Returns this VM's share of the limit in force.
    pub fn allowance(&self) -> Option<&RequestAllowance> {
        self.limit.as_ref().filter(|limit| limit.is_in_force).map(|limit| &limit.allowance)
    }

    /// Takes a token for a request that is sent.
    pub fn record_sent(&mut self, now: Instant) {
        if let Some(limit) = self.limit.as_mut().filter(|limit| limit.is_in_force) {
            limit.allowance.take(now);
        }
    }

    /// Returns the token of a request that was not sent.
    pub fn record_not_sent(&mut self) {
        if let Some(limit) = self.limit.as_mut().filter(|limit| limit.is_in_force) {
            limit.allowance.refund();
        }
    }
}
