//! One budget per service for hedges, retries and probes together.

use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::time::Instant;

use crate::locks::lock;
use crate::settings::BudgetSettings;

/// Parts into which the window is divided.
const BUCKETS: usize = 10;

#[derive(Clone, Copy, Default)]
struct Bucket {
    extra: u64,
    first: u64,
    number: u64,
}

/// Counts first and extra attempts over a sliding window.
pub struct Budget {
    buckets: Mutex<[Bucket; BUCKETS]>,
    min_extra: AtomicU64,
    settings: BudgetSettings,
    start: Instant,
}

impl Budget {
    /// Creates an unused budget.
    pub fn new(settings: BudgetSettings, now: Instant) -> Self {
        let min_extra = AtomicU64::new(settings.min_extra_per_window);
        Self { buckets: Mutex::default(), min_extra, settings, start: now }
    }

    /// Changes the extra attempts that are allowed whatever the rate.
    pub fn set_min_extra(&self, min_extra_per_window: u64) {
        self.min_extra.store(min_extra_per_window, Ordering::Relaxed);
    }

    /// Counts first attempts.
    pub fn record_first(&self, now: Instant, attempts: u64) {
        let number = self.bucket_number(now);
        let mut buckets = lock(&self.buckets);
        current(&mut buckets, number).first += attempts;
    }

    /// Takes one extra attempt if the budget allows it.
    pub fn try_take(&self, now: Instant) -> bool {
        let number = self.bucket_number(now);
        let mut buckets = lock(&self.buckets);
        let (first, extra) = totals(&buckets, number);
        let allowed =
            (first * self.settings.extra_percent / 100).max(self.min_extra.load(Ordering::Relaxed));
        if extra >= allowed {
            return false;
        }
        current(&mut buckets, number).extra += 1;
        true
    }

    /// Gives back an extra attempt that was not sent after all.
    pub fn give_back(&self, now: Instant) {
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

    /// Returns first and extra attempts in the window.
    pub fn usage(&self, now: Instant) -> (u64, u64) {
        totals(&lock(&self.buckets), self.bucket_number(now))
    }

    /// Returns the number of the bucket that an instant falls into, starting at 1.
    fn bucket_number(&self, now: Instant) -> u64 {
        let bucket =
            Duration::from_millis(self.settings.window_ms.max(BUCKETS as u64)) / BUCKETS as u32;
        (now.saturating_duration_since(self.start).as_micros() / bucket.as_micros().max(1)) as u64
            + 1
    }
}

/// Returns the bucket of a number, cleared if it held an older one.
fn current(buckets: &mut [Bucket; BUCKETS], number: u64) -> &mut Bucket {
    let bucket = &mut buckets[number as usize % BUCKETS];
    if bucket.number != number {
        *bucket = Bucket { number, ..Bucket::default() };
    }
    bucket
}

/// Sums the buckets that are still in the window.
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
