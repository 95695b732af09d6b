//! Builds routing plans: one index version for the whole service, and the replicas of each of its slices.

use std::sync::Arc;

use crate::backends::leaf::Leaf;
use crate::configuration::published::{AcceptedConfig, ResolvedService};
use crate::ids::{BlockId, IndexVersion, Slice};
use crate::process::context::Context;
use crate::searches::plan::{BlockPlan, RoutingPlan, Segment};
use crate::searches::slices::SliceSet;

/// Returns the routing plan of a service, at a given version or at the newest one that covers all slices.
pub fn plan(
    context: &Context,
    accepted: &AcceptedConfig,
    name: &str,
    version: Option<IndexVersion>,
) -> Option<Arc<RoutingPlan>> {
    let generation = context.leafs.generation();
    let resolved = accepted.service(name)?;
    let revision = accepted.raw.revision;
    let build = || build_plan(context, accepted, resolved, version);
    Some(context.plans.get_or_build(name, version, generation, revision, build))
}

/// Builds a plan from the current state.
fn build_plan(
    context: &Context,
    accepted: &AcceptedConfig,
    resolved: &ResolvedService,
    version: Option<IndexVersion>,
) -> RoutingPlan {
    let service = &resolved.service;
    let slices = SliceSet::from_range(service.slice_start, service.slice_end);
    let mut blocks = split_by_block(context, accepted, resolved, &slices);
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

/// Groups the backend servers of a service by block; each block gets one segment without slices, with all its replicas.
fn split_by_block(
    context: &Context,
    accepted: &AcceptedConfig,
    resolved: &ResolvedService,
    slices: &SliceSet,
) -> Vec<BlockPlan> {
    let leafs = context.leafs.all();
    let mut blocks: Vec<BlockPlan> = Vec::new();
    for &index in &resolved.leafs {
        let configured = &accepted.leafs[index];
        let Ok(leaf_index) = leafs.binary_search_by(|leaf| leaf.id.cmp(&configured.server.id))
        else {
            continue;
        };
        let block_index = match blocks.binary_search_by(|block| block.block.cmp(&configured.block))
        {
            Ok(position) => position,
            Err(position) => {
                let block = BlockPlan {
                    block: configured.block,
                    connected: context.connects_to_block(accepted, configured.block),
                    segments: vec![Segment { replicas: Vec::new(), slices: SliceSet::default() }],
                    slices: SliceSet::default(),
                };
                blocks.insert(position, block);
                position
            }
        };
        blocks[block_index].segments[0].replicas.push(Arc::clone(&leafs[leaf_index]));
        let published_slices =
            SliceSet::from_range(configured.server.slice_start, configured.server.slice_end);
        blocks[block_index].slices.insert_all(&published_slices.intersection(slices));
    }
    assign_slices_to_blocks(&mut blocks, slices);
    blocks
}

/// Assigns each slice to exactly one block, so that none is searched twice; the first block gets unpublished slices.
fn assign_slices_to_blocks(blocks: &mut [BlockPlan], slices: &SliceSet) {
    let mut assigned = SliceSet::default();
    for block in blocks.iter_mut() {
        block.slices = block.slices.difference(&assigned);
        assigned.insert_all(&block.slices);
    }
    if let Some(first) = blocks.first_mut() {
        first.slices.insert_all(&slices.difference(&assigned));
    }
}

/// Returns the newest version that covers all slices, else the one that covers most; 0 if none covers any.
fn choose_version(context: &Context, blocks: &[BlockPlan], slices: &SliceSet) -> IndexVersion {
    let mut versions: Vec<IndexVersion> = Vec::new();
    for block in blocks {
        if block.connected {
            for leaf in &block.segments[0].replicas {
                leaf.with_state(|state| versions.extend(&state.index_contents.versions));
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

/// Returns the versions at which the usable replicas of a block cover all slices published for it.
pub fn complete_versions(
    context: &Context,
    accepted: &AcceptedConfig,
    block: BlockId,
) -> Vec<IndexVersion> {
    let mut published = SliceSet::default();
    let mut leafs: Vec<Arc<Leaf>> = Vec::new();
    for configured in accepted.leafs.iter().filter(|configured| configured.block == block) {
        published.insert(configured.server.slice_start, configured.server.slice_end);
        leafs.extend(context.leafs.get(&configured.server.id));
    }
    let mut versions: Vec<IndexVersion> = Vec::new();
    for leaf in &leafs {
        leaf.with_state(|state| versions.extend(&state.index_contents.versions));
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

/// Splits slices into segments: the longest runs of slices that are held by the same usable replicas.
pub fn split_into_segments(
    replicas: &[Arc<Leaf>],
    version: IndexVersion,
    slices: &SliceSet,
) -> Vec<Segment> {
    let mut usable_replicas: Vec<(SliceSet, &Arc<Leaf>)> = Vec::new();
    let mut boundaries: Vec<Slice> = Vec::new();
    for leaf in replicas {
        let Some(held) = usable_slices(leaf, version) else { continue };
        let held = held.intersection(slices);
        if held.is_empty() {
            continue;
        }
        boundaries.extend(held.as_pairs().iter().flat_map(|&(start, end)| [start, end]));
        usable_replicas.push((held, leaf));
    }
    boundaries.extend(slices.as_pairs().iter().flat_map(|&(start, end)| [start, end]));
    boundaries.sort_unstable();
    boundaries.dedup();
    usable_replicas.sort_by_key(|(held, _)| held.as_pairs().first().copied());
    let mut result: Vec<Segment> = Vec::new();
    for pair in boundaries.windows(2) {
        let (start, end) = (pair[0], pair[1]);
        if !slices.contains(start) {
            continue;
        }
        let holders: Vec<Arc<Leaf>> = usable_replicas
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

/// Returns the slices that a backend server can search at a version, or none if it must not be called for that version.
fn usable_slices(leaf: &Leaf, version: IndexVersion) -> Option<SliceSet> {
    if leaf.is_leaving() {
        return None;
    }
    leaf.with_state(|state| {
        let holds = state.index_contents.versions.binary_search(&version).is_ok();
        let usable = holds && !state.cold && state.down_since.is_none();
        usable.then(|| state.index_contents.slices.clone())
    })
}

/// Returns whether two lists hold the same backend servers in the same order.
fn same_replicas(a: &[Arc<Leaf>], b: &[Arc<Leaf>]) -> bool {
    a.len() == b.len() && a.iter().zip(b).all(|(a, b)| Arc::ptr_eq(a, b))
}
