//! Sets of slices, the unit in which coverage is counted.

use crate::derives::value_types;
use crate::ids::Slice;
use crate::messages::SliceRange;

value_types! {
    /// A set of slices as sorted, disjoint, non-adjacent half-open ranges.
    #[derive(Default, Eq)]
    pub struct SliceSet {
        ranges: Vec<(Slice, Slice)>,
    }
}

impl SliceSet {
    /// Creates the set of one range; an empty or inverted range gives the empty set.
    pub fn from_range(start: Slice, end: Slice) -> Self {
        let mut set = Self::default();
        set.insert(start, end);
        set
    }

    /// Creates a set from ranges in any order.
    pub fn from_ranges(ranges: &[SliceRange]) -> Self {
        let mut set = Self::default();
        for range in ranges {
            set.insert(range.start, range.end);
        }
        set
    }

    /// Returns the ranges as a message carries them.
    pub fn to_ranges(&self) -> Vec<SliceRange> {
        self.ranges.iter().map(|&(start, end)| SliceRange { start, end }).collect()
    }

    /// Returns the ranges as pairs of start and end.
    pub fn as_pairs(&self) -> &[(Slice, Slice)] {
        &self.ranges
    }

    /// Adds a range; an empty or inverted one adds nothing.
    pub fn insert(&mut self, start: Slice, end: Slice) {
        if start >= end {
            return;
        }
        let first = self.ranges.partition_point(|&(_, e)| e < start);
        let last = self.ranges.partition_point(|&(s, _)| s <= end);
        let mut merged = (start, end);
        if first < last {
            merged = (start.min(self.ranges[first].0), end.max(self.ranges[last - 1].1));
        }
        self.ranges.splice(first..last, [merged]);
    }

    /// Adds every slice of another set.
    pub fn insert_all(&mut self, other: &Self) {
        for &(start, end) in &other.ranges {
            self.insert(start, end);
        }
    }

    /// Returns the slices of this set that are not in another one.
    pub fn difference(&self, other: &Self) -> Self {
        let mut ranges = Vec::new();
        for &(start, end) in &self.ranges {
            let mut cursor = start;
            let first = other.ranges.partition_point(|&(_, e)| e <= start);
            for &(other_start, other_end) in &other.ranges[first..] {
                if other_start >= end {
                    break;
                }
                if other_start > cursor {
                    ranges.push((cursor, other_start));
                }
                cursor = cursor.max(other_end);
            }
            if cursor < end {
                ranges.push((cursor, end));
            }
        }
        Self { ranges }
    }

    /// Returns the slices that are in both sets.
    pub fn intersection(&self, other: &Self) -> Self {
        self.difference(&self.difference(other))
    }

    /// Returns whether a slice is in the set.
    pub fn contains(&self, slice: Slice) -> bool {
        let index = self.ranges.partition_point(|&(_, end)| end <= slice);
        self.ranges.get(index).is_some_and(|&(start, _)| start <= slice)
    }

    /// Returns whether every slice of another set is in this one.
    pub fn covers(&self, other: &Self) -> bool {
        other.difference(self).is_empty()
    }

    /// Returns whether the set has no slices.
    pub fn is_empty(&self) -> bool {
        self.ranges.is_empty()
    }

    /// Returns the number of slices.
    pub fn len(&self) -> u64 {
        self.ranges.iter().map(|(start, end)| end - start).sum()
    }
}
