//! Plans a search: one index version for all of it, and the replicas of every part of the key space.

use std::sync::Arc;

use crate::backends::leaf::Leaf;
use crate::configuration::published::{Accepted, PlacedService};
use crate::ids::{BlockId, IndexVersion, Slice};
use crate::process::context::Context;
use crate::searches::plan::{BlockPlan, RoutingPlan, Segment};
use crate::searches::slices::SliceSet;

/// Returns the plan of a service, at a given version or at the newest one that is held completely.
pub fn plan(
    context: &Context,
    accepted: &Accepted,
    name: &str,
    version: Option<IndexVersion>,
) -> Option<Arc<RoutingPlan>> {
    let generation = context.leafs.generation();
    let placed = accepted.service(name)?;
    let revision = accepted.raw.revision;
    let make = || make_plan(context, accepted, placed, version);
    Some(context.plans.get_or_make(name, version, generation, revision, make))
}

/// Makes a plan from the present state.
fn make_plan(
    context: &Context,
    accepted: &Accepted,
    placed: &PlacedService,
    version: Option<IndexVersion>,
) -> RoutingPlan {
    let service = &placed.service;
    let slices = SliceSet::from_range(service.slice_start, service.slice_end);
    let mut blocks = split_by_block(context, accepted, placed, &slices);
    let version = version.unwrap_or_else(|| choose_version(context, &blocks, &slices));
    for block in &mut blocks {
        if !block.connected {
            continue;
        }
        let replicas: Vec<Arc<Leaf>> =
            block.segments.drain(..).flat_map(|segment| segment.replicas).collect();
        block.segments = split_into_segments(&replicas, version, &block.slices);
    }
    RoutingPlan { blocks, service: service.clone(), slices, version }
}

/// Groups the backend servers of a service by block; each block starts as one segment.
fn split_by_block(
    context: &Context,
    accepted: &Accepted,
    placed: &PlacedService,
    slices: &SliceSet,
) -> Vec<BlockPlan> {
    let leafs = context.leafs.all();
    let mut blocks: Vec<BlockPlan> = Vec::new();
    for &index in &placed.leafs {
        let published = &accepted.leafs[index];
        let Ok(found) = leafs.binary_search_by(|leaf| leaf.id.cmp(&published.server.id)) else {
            continue;
        };
        let at = match blocks.binary_search_by(|block| block.block.cmp(&published.block)) {
            Ok(at) => at,
            Err(at) => {
                let block = BlockPlan {
                    block: published.block,
                    connected: context.reaches_block(accepted, published.block),
                    segments: vec![Segment { replicas: Vec::new(), slices: SliceSet::default() }],
                    slices: SliceSet::default(),
                };
                blocks.insert(at, block);
                at
            }
        };
        blocks[at].segments[0].replicas.push(Arc::clone(&leafs[found]));
        let published_slices =
            SliceSet::from_range(published.server.slice_start, published.server.slice_end);
        blocks[at].slices.insert_all(&published_slices.intersection(slices));
    }
    assign_unpublished(&mut blocks, slices);
    blocks
}

/// Gives each slice to exactly one block, so that no block searches what another one does.
fn assign_unpublished(blocks: &mut [BlockPlan], slices: &SliceSet) {
    let mut assigned = SliceSet::default();
    for block in blocks.iter_mut() {
        block.slices = block.slices.difference(&assigned);
        assigned.insert_all(&block.slices);
    }
    if let Some(first) = blocks.first_mut() {
        first.slices.insert_all(&slices.difference(&assigned));
    }
}

/// Returns the newest version that every block holds completely, else the one that covers most.
fn choose_version(context: &Context, blocks: &[BlockPlan], slices: &SliceSet) -> IndexVersion {
    let mut versions: Vec<IndexVersion> = Vec::new();
    for block in blocks {
        if block.connected {
            for leaf in &block.segments[0].replicas {
                leaf.with_state(|state| versions.extend(&state.holdings.versions));
            }
        } else {
            versions.extend(context.block_versions.get(block.block));
        }
    }
    versions.sort_unstable();
    versions.dedup();
    let mut best = (0, 0);
    for &version in versions.iter().rev() {
        let covered = covered_slices(context, blocks, version).intersection(slices).len();
        if covered == slices.len() {
            return version;
        }
        if covered > best.0 {
            best = (covered, version);
        }
    }
    best.1
}

/// Returns the slices that usable replicas hold at a version.
fn covered_slices(context: &Context, blocks: &[BlockPlan], version: IndexVersion) -> SliceSet {
    let mut covered = SliceSet::default();
    for block in blocks {
        if !block.connected {
            if context.block_versions.get(block.block).contains(&version) {
                covered.insert_all(&block.slices);
            }
            continue;
        }
        for leaf in &block.segments[0].replicas {
            if let Some(held) = usable_slices(leaf, version) {
                covered.insert_all(&held);
            }
        }
    }
    covered
}

/// Returns the versions that usable replicas of a block hold without a gap in its published slices.
pub fn complete_versions(
    context: &Context,
    accepted: &Accepted,
    block: BlockId,
) -> Vec<IndexVersion> {
    let mut published = SliceSet::default();
    let mut leafs: Vec<Arc<Leaf>> = Vec::new();
    for placed in accepted.leafs.iter().filter(|placed| placed.block == block) {
        published.insert(placed.server.slice_start, placed.server.slice_end);
        leafs.extend(context.leafs.get(&placed.server.id));
    }
    let mut versions: Vec<IndexVersion> = Vec::new();
    for leaf in &leafs {
        leaf.with_state(|state| versions.extend(&state.holdings.versions));
    }
    versions.sort_unstable();
    versions.dedup();
    versions.retain(|&version| {
        let mut covered = SliceSet::default();
        for leaf in &leafs {
            if let Some(held) = usable_slices(leaf, version) {
                covered.insert_all(&held);
            }
        }
        covered.covers(&published)
    });
    versions
}

/// Cuts a key space into segments that are as large as their sets of replicas allow.
pub fn split_into_segments(
    replicas: &[Arc<Leaf>],
    version: IndexVersion,
    slices: &SliceSet,
) -> Vec<Segment> {
    let mut usable: Vec<(SliceSet, &Arc<Leaf>)> = Vec::new();
    let mut cuts: Vec<Slice> = Vec::new();
    for leaf in replicas {
        let Some(held) = usable_slices(leaf, version) else { continue };
        let held = held.intersection(slices);
        if held.is_empty() {
            continue;
        }
        cuts.extend(held.as_pairs().iter().flat_map(|&(start, end)| [start, end]));
        usable.push((held, leaf));
    }
    cuts.extend(slices.as_pairs().iter().flat_map(|&(start, end)| [start, end]));
    cuts.sort_unstable();
    cuts.dedup();
    usable.sort_by_key(|(held, _)| held.as_pairs().first().copied());
    let mut result: Vec<Segment> = Vec::new();
    for cut in cuts.windows(2) {
        let (start, end) = (cut[0], cut[1]);
        if !slices.contains(start) {
            continue;
        }
        let holders: Vec<Arc<Leaf>> = usable
            .iter()
            .take_while(|(held, _)| {
                held.as_pairs().first().is_some_and(|&(first, _)| first <= start)
            })
            .filter(|(held, _)| held.contains(start))
            .map(|(_, leaf)| Arc::clone(leaf))
            .collect();
        match result.last_mut() {
            Some(last) if same_replicas(&last.replicas, &holders) => last.slices.insert(start, end),
            _ => {
                result.push(Segment { replicas: holders, slices: SliceSet::from_range(start, end) })
            }
        }
    }
    result
}

/// Returns what a backend server can be asked for at a version, or none where it cannot be asked.
fn usable_slices(leaf: &Leaf, version: IndexVersion) -> Option<SliceSet> {
    if leaf.is_leaving() {
        return None;
    }
    leaf.with_state(|state| {
        let holds = state.holdings.versions.binary_search(&version).is_ok();
        let usable = holds && !state.cold && state.down_since.is_none();
        usable.then(|| state.holdings.slices.clone())
    })
}

/// Returns whether two lists name the same backend servers.
fn same_replicas(a: &[Arc<Leaf>], b: &[Arc<Leaf>]) -> bool {
    a.len() == b.len() && a.iter().zip(b).all(|(a, b)| Arc::ptr_eq(a, b))
}
