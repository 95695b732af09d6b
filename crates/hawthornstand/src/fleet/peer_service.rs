//! Serves requests from other VMs.

use std::sync::Arc;

use crate::bookings::booking;
use crate::error::{ErrorKind, Failure};
use crate::messages::{PeerRequest, PeerResponse};
use crate::policy::lone_run;
use crate::process::context::Context;
use crate::searches::block_search;

/// Serves one request.
pub async fn serve(context: &Arc<Context>, request: PeerRequest) -> PeerResponse {
    context.metrics.count("peer.requests");
    match request {
        PeerRequest::BlockSearch(request) => block_search::serve_relayed(context, request).await,
        PeerRequest::ForwardedBooking(request) => booking::serve_forwarded(context, request).await,
        PeerRequest::LoneRun(request) => lone_run::serve(context, request).await,
        PeerRequest::RelayedBooking(request) => booking::serve_relayed(context, request).await,
    }
}

/// Returns the refusal of a request above the limit of concurrent requests of one link.
pub fn overloaded() -> PeerResponse {
    PeerResponse::Refused(
        Failure::new(ErrorKind::Overloaded, "too many requests on one link").to_refusal(),
    )
}
