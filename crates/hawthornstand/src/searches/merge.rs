//! Merges answers of one index version into one answer with true coverage.

use crate::ids::{IndexVersion, Slice};
use crate::messages::{Coverage, Hit, LeafAnswer, MissingReason, MissingSlices, SearchAnswer};
use crate::searches::slices::SliceSet;

/// Collects answers; each slice is counted once, whoever answers for it first.
pub struct Merger {
    covered: SliceSet,
    hits: Vec<Hit>,
    missing: Vec<(MissingReason, SliceSet)>,
    version: IndexVersion,
    wanted: SliceSet,
}

impl Merger {
    /// Creates an empty merger for the wanted slices at one version.
    pub fn new(version: IndexVersion, wanted: SliceSet) -> Self {
        Self {
            covered: SliceSet::default(),
            hits: Vec::new(),
            missing: Vec::new(),
            version,
            wanted,
        }
    }

    /// Takes an answer over; one of another version is ignored. Returns the newly covered slices.
    pub fn add(&mut self, answer: LeafAnswer) -> SliceSet {
        if answer.version != self.version {
            return SliceSet::default();
        }
        let searched = SliceSet::from_ranges(&answer.slices).intersection(&self.wanted);
        let fresh = searched.difference(&self.covered);
        for hit in answer.hits {
            if fresh.contains(hit.slice) {
                self.hits.push(hit);
            }
        }
        self.covered.insert_all(&fresh);
        fresh
    }

    /// Notes why slices are missing, as long as nothing covers them.
    pub fn add_missing(&mut self, reason: MissingReason, slices: SliceSet) {
        self.missing.push((reason, slices));
    }

    /// Returns the wanted slices that are not covered yet.
    pub fn uncovered(&self) -> SliceSet {
        self.wanted.difference(&self.covered)
    }

    /// Finishes the answer; slices missing without a noted reason missed the deadline.
    pub fn finish(mut self, service: &str, limit: usize) -> SearchAnswer {
        self.hits.sort_by(|a, b| b.score.total_cmp(&a.score).then_with(|| a.key.cmp(&b.key)));
        self.hits.truncate(limit);
        let coverage = self.coverage();
        SearchAnswer {
            coverage,
            hits: self.hits,
            service: service.to_string(),
            version: self.version,
        }
    }

    /// Returns what is covered and, slice by slice, the last reason noted for what is not.
    fn coverage(&self) -> Coverage {
        let mut open = self.uncovered();
        let complete = open.is_empty();
        let mut missing: Vec<MissingSlices> = Vec::new();
        for (reason, slices) in self.missing.iter().rev() {
            let explained = slices.intersection(&open);
            if explained.is_empty() {
                continue;
            }
            open = open.difference(&explained);
            missing.push(MissingSlices { reason: *reason, slices: explained.to_ranges() });
        }
        if !open.is_empty() {
            missing
                .push(MissingSlices { reason: MissingReason::Deadline, slices: open.to_ranges() });
        }
        missing.sort_by_key(|entry| entry.slices.first().map(|range| range.start));
        Coverage { complete, covered: self.covered.to_ranges(), missing }
    }
}

/// Returns the slice of a key within a service's key space.
pub fn slice_of(key: &str, slice_start: Slice, slice_end: Slice) -> Slice {
    let width = slice_end.saturating_sub(slice_start).max(1);
    slice_start + xxhash_rust::xxh3::xxh3_64(key.as_bytes()) % width
}
