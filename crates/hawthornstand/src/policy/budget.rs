//! Retry budget of a service, shared by retries, hedges and probes.

use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::time::Instant;

use crate::locks::lock;
use crate::settings::BudgetSettings;

/// Number of buckets in the sliding window.
const BUCKETS: usize = 10;

#[derive(Clone, Copy, Default)]
struct Bucket {
    extra: u64,
    first: u64,
    number: u64,
}

/// Limits extra attempts (retries, hedges, probes) to a share of the first attempts within a sliding window.
pub struct RetryBudget {
    buckets: Mutex<[Bucket; BUCKETS]>,
    /// Allowed extra attempts, in percent of first attempts.
    extra_percent: f64,
    /// Extra attempts allowed per window however few first attempts there are.
    min_extra: f64,
    /// Fraction of an attempt added before the allowance is rounded down, so that the sum of many small budgets is not
    /// rounded away.
    rounding_offset: f64,
    /// Extra attempts allowed beyond the share of first attempts, in thousandths of an attempt per window.
    slack_thousandths: AtomicU64,
    start: Instant,
    window: Duration,
}

impl RetryBudget {
    /// Creates an unused budget from settings.
    pub fn new(settings: BudgetSettings, now: Instant) -> Self {
        let window = Duration::from_millis(settings.window_ms);
        Self {
            min_extra: settings.min_extra_per_window as f64,
            ..Self::with_rounding_offset(settings.extra_percent as f64, window, 0.0, now)
        }
    }

    /// Creates one of several budgets that share a bound; `rounding_offset` is a random number from 0 to 1 for each.
    pub fn with_rounding_offset(
        extra_percent: f64,
        window: Duration,
        rounding_offset: f64,
        now: Instant,
    ) -> Self {
        Self {
            buckets: Mutex::default(),
            extra_percent,
            min_extra: 0.0,
            rounding_offset,
            slack_thousandths: AtomicU64::new(0),
            start: now,
            window,
        }
    }

    /// Sets the extra attempts allowed per window beyond the share of first attempts.
    pub fn set_slack(&self, attempts_per_window: f64) {
        self.slack_thousandths.store((attempts_per_window * 1000.0) as u64, Ordering::Relaxed);
    }

    /// Records first attempts.
    pub fn record_first_attempts(&self, now: Instant, attempts: u64) {
        let number = self.bucket_number(now);
        let mut buckets = lock(&self.buckets);
        bucket_mut(&mut buckets, number).first += attempts;
    }

    /// Takes one extra attempt if the budget allows it; returns whether it did.
    pub fn try_take(&self, now: Instant) -> bool {
        let number = self.bucket_number(now);
        let mut buckets = lock(&self.buckets);
        let (first, extra) = totals(&buckets, number);
        let share = (first as f64 * self.extra_percent / 100.0).max(self.min_extra);
        let slack = self.slack_thousandths.load(Ordering::Relaxed) as f64 / 1000.0;
        if extra as f64 + 1.0 > share + slack + self.rounding_offset {
            return false;
        }
        bucket_mut(&mut buckets, number).extra += 1;
        true
    }

    /// Records an extra attempt that was sent without asking the budget.
    pub fn charge(&self, now: Instant) {
        let number = self.bucket_number(now);
        bucket_mut(&mut lock(&self.buckets), number).extra += 1;
    }

    /// Refunds an extra attempt that was not sent; one that has left the window stays spent.
    pub fn refund(&self, now: Instant) {
        let number = self.bucket_number(now);
        let mut buckets = lock(&self.buckets);
        let newest = buckets
            .iter_mut()
            .filter(|bucket| bucket.extra > 0 && bucket.number + BUCKETS as u64 > number)
            .max_by_key(|bucket| bucket.number);
        if let Some(bucket) = newest {
            bucket.extra -= 1;
        }
    }

    /// Returns the numbers of first and extra attempts within the window.
    pub fn usage(&self, now: Instant) -> (u64, u64) {
        totals(&lock(&self.buckets), self.bucket_number(now))
    }

    /// Returns the number of the bucket that an instant falls into, starting at 1.
    fn bucket_number(&self, now: Instant) -> u64 {
        let bucket_duration =
            self.window.max(Duration::from_millis(BUCKETS as u64)) / BUCKETS as u32;
        (now.saturating_duration_since(self.start).as_micros() / bucket_duration.as_micros().max(1))
            as u64
            + 1
    }
}

/// Returns the bucket with a number, after clearing it if it holds an older one.
fn bucket_mut(buckets: &mut [Bucket; BUCKETS], number: u64) -> &mut Bucket {
    let bucket = &mut buckets[number as usize % BUCKETS];
    if bucket.number != number {
        *bucket = Bucket { number, ..Bucket::default() };
    }
    bucket
}

/// Returns the sums of first and extra attempts over the buckets within the window.
fn totals(buckets: &[Bucket; BUCKETS], number: u64) -> (u64, u64) {
    let mut sums = (0, 0);
    for bucket in buckets {
        if bucket.number == 0 || bucket.number + (BUCKETS as u64) <= number {
            continue;
        }
        sums = (sums.0 + bucket.first, sums.1 + bucket.extra);
    }
    sums
}
