//! Search of the segments of one block, by a VM that connects to its backend servers.

use std::sync::Arc;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;

use crate::error::{ErrorKind, Failure};
use crate::messages::{
    BlockAnswer, BlockSearch, LeafAnswer, MissingReason, MissingSlices, Outcome, PeerResponse,
    Refusal,
};
use crate::process::clock::deadline_instant;
use crate::process::context::Context;
use crate::searches::plan::Segment;
use crate::searches::planner::plan;
use crate::searches::segment_search::{SearchScope, SegmentResult, search_segment};
use crate::searches::slices::SliceSet;

/// Combined results of several segments or blocks.
#[derive(Debug, Default)]
pub struct BlockResult {
    pub answers: Vec<LeafAnswer>,
    pub missing: Vec<(MissingReason, SliceSet)>,
    pub overloaded: bool,
    pub suspect: bool,
    pub version_gone: bool,
}

impl BlockResult {
    /// Adds the result of one segment.
    pub fn add_segment(&mut self, result: SegmentResult) {
        self.answers.extend(result.answers);
        self.missing.extend(result.missing);
        self.overloaded |= result.overloaded;
        self.suspect |= result.suspect;
        self.version_gone |= result.version_gone;
    }

    /// Adds the result of another block.
    pub fn merge(&mut self, other: Self) {
        self.answers.extend(other.answers);
        self.missing.extend(other.missing);
        self.overloaded |= other.overloaded;
        self.suspect |= other.suspect;
        self.version_gone |= other.version_gone;
    }
}

/// Searches all segments concurrently and waits for all of them.
pub async fn search_segments(
    scope: &SearchScope<'_>,
    segments: &[Segment],
    may_retry: bool,
) -> BlockResult {
    let mut running: FuturesUnordered<_> =
        segments.iter().map(|segment| search_segment(scope, segment, may_retry)).collect();
    let mut result = BlockResult::default();
    while let Some(done) = running.next().await {
        result.add_segment(done);
    }
    result
}

/// Serves a block search for a VM that does not connect to the block itself.
pub async fn serve_relayed(context: &Arc<Context>, request: BlockSearch) -> PeerResponse {
    let Some(accepted) = context.config.accepted() else {
        return refused(Failure::new(ErrorKind::NotReady, "no configuration is accepted yet"));
    };
    let Some(plan) = plan(context, &accepted, &request.service, Some(request.version)) else {
        return refused(Failure::new(ErrorKind::UnknownService, request.service));
    };
    let Some(block) =
        plan.blocks.iter().find(|block| block.block == request.block && block.connected)
    else {
        return refused(Failure::new(ErrorKind::NoReplica, "this VM does not reach the block"));
    };
    let state = context.services.get_or_create(&request.service);
    let request_id = context.next_request_id();
    let span = crate::process::trace::child_span("relay.block", &request.traceparent);
    let scope = SearchScope {
        context,
        deadline: deadline_instant(&*context.clock, request.deadline_unix_ms),
        deadline_unix_ms: request.deadline_unix_ms,
        limit: request.limit,
        query: &request.query,
        request_id: &request_id,
        service: &request.service,
        state: &state,
        span: &span,
        version: request.version,
    };
    let result = search_segments(&scope, &block.segments, request.retry).await;
    let missing = result
        .missing
        .into_iter()
        .map(|(reason, slices)| MissingSlices { reason, slices: slices.to_ranges() })
        .collect();
    PeerResponse::Block(BlockAnswer {
        answers: result.answers,
        missing,
        suspect: result.suspect,
        version_gone: result.version_gone,
    })
}

/// Converts a failure to a response with outcome `NotRun`, because a refused block search has run nothing.
fn refused(failure: Failure) -> PeerResponse {
    PeerResponse::Refused(Refusal { outcome: Outcome::NotRun, ..failure.to_refusal() })
}
