//! This VM's share of the limit on requests that a backend server names for the whole fleet.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::time::Instant;

use crate::derives::value_types;

/// Requests that the whole fleet may send at once beyond the rate of the limit: those of this time, and one more.
const BURST_TIME: Duration = Duration::from_secs(2);
const BURST_REQUESTS: f64 = 1.0;
/// Part of the limit that the fleet uses where its VMs hold less than a token: how many of them send at the same time is
/// left to chance.
const RANDOM_SENDERS_FRACTION: f64 = 0.8;
/// Fraction of the burst beyond one request that is left for requests that other backend servers cannot take as well, as
/// during their pauses.
const RESERVED_FRACTION: f64 = 0.5;
/// Lowest rate that the whole fleet uses: without any request it would not notice the end of a limit of zero.
const MIN_LIMIT_PER_S: f64 = 0.1;
/// Largest limit that is kept; more requests do not reach a backend server.
const MAX_LIMIT_PER_S: f64 = 1e6;

value_types! {
    /// Room that a backend server leaves for a request by what it says of itself, best first.
    #[derive(Copy, Eq, Ord, PartialOrd)]
    pub enum Room {
        Ample,
        /// Better left for requests that other backend servers cannot take as well.
        Reserved,
        Exhausted,
    }
}

/// Token bucket with this VM's share of a limit.
///
/// In a large fleet the bucket may hold less than a whole token. A request may then be sent if the tokens are more than a
/// random number from 0 to 1, which is drawn once in the time in which the bucket fills, and leaves a debt: on average
/// each VM sends its share, and only a few VMs send at the same time.
#[derive(Clone, Copy, Debug)]
pub struct RequestAllowance {
    created: Instant,
    limit_per_s: f64,
    /// Seed of the random numbers.
    seed: u64,
    /// Fraction of the limit that belongs to this VM.
    share: f64,
    tokens: f64,
    updated: Instant,
}

impl RequestAllowance {
    /// Creates a full bucket.
    pub fn new(limit_per_s: f64, share: f64, seed: u64, now: Instant) -> Self {
        let mut allowance =
            Self { created: now, limit_per_s: 0.0, seed, share, tokens: 0.0, updated: now };
        allowance.set_limit(limit_per_s, now);
        allowance.tokens = allowance.capacity();
        allowance
    }

    /// Sets the limit; the tokens are kept.
    pub fn set_limit(&mut self, limit_per_s: f64, now: Instant) {
        self.update(now);
        self.limit_per_s = limit_per_s.clamp(MIN_LIMIT_PER_S, MAX_LIMIT_PER_S);
        self.tokens = self.tokens.min(self.capacity());
    }

    /// Sets this VM's fraction of the limit; the tokens are kept.
    pub fn set_share(&mut self, share: f64, now: Instant) {
        self.update(now);
        self.share = share;
        self.tokens = self.tokens.min(self.capacity());
    }

    /// Returns the room for a request.
    pub fn room(&self, now: Instant) -> Room {
        let capacity = self.capacity();
        let tokens = self.tokens_at(now);
        let needed = if capacity >= 1.0 { 1.0 } else { self.draw(now) };
        if tokens < needed {
            Room::Exhausted
        } else if tokens < needed + (capacity - 1.0) * RESERVED_FRACTION {
            Room::Reserved
        } else {
            Room::Ample
        }
    }

    /// Takes a token for a request that is sent.
    pub fn take(&mut self, now: Instant) {
        self.update(now);
        self.tokens -= 1.0;
    }

    /// Returns the token of a request that was not sent.
    pub fn refund(&mut self) {
        self.tokens = (self.tokens + 1.0).min(self.capacity());
    }

    /// Returns the time after which a whole token is there, or would be if the bucket held as many.
    pub fn wait(&self, now: Instant) -> Duration {
        let missing = (1.0 - self.tokens_at(now)).max(0.0);
        Duration::from_secs_f64((missing / self.rate_per_s()).min(3600.0))
    }

    /// Returns this VM's requests a second.
    pub fn rate_per_s(&self) -> f64 {
        let rate_per_s = (self.limit_per_s * self.share).max(f64::MIN_POSITIVE);
        if self.capacity() < 1.0 { rate_per_s * RANDOM_SENDERS_FRACTION } else { rate_per_s }
    }

    /// Returns the limit of the whole fleet.
    pub fn limit_per_s(&self) -> f64 {
        self.limit_per_s
    }

    fn capacity(&self) -> f64 {
        (self.limit_per_s * BURST_TIME.as_secs_f64() + BURST_REQUESTS) * self.share
    }

    /// Returns the random number from 0 to 1 that holds at an instant.
    fn draw(&self, now: Instant) -> f64 {
        let fill_time_s = self.capacity() / self.rate_per_s();
        let elapsed_s = now.saturating_duration_since(self.created).as_secs_f64();
        // VMs that hear of a limit at the same time do not draw at the same time.
        let phase: f64 = StdRng::seed_from_u64(self.seed).random();
        let number = (elapsed_s / fill_time_s + phase) as u64;
        StdRng::seed_from_u64(self.seed.wrapping_add(number + 1)).random()
    }

    fn tokens_at(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.updated);
        (self.tokens + self.rate_per_s() * elapsed.as_secs_f64()).min(self.capacity())
    }

    fn update(&mut self, now: Instant) {
        self.tokens = self.tokens_at(now);
        self.updated = self.updated.max(now);
    }
}
