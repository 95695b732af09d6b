//! Runs a caller's non-idempotent request at most once.

use std::sync::Arc;

use tokio::sync::watch;
use tokio::time::Instant;

use crate::bookings::booking_run::{self, Booking};
use crate::bookings::ticket::{Ticket, fleet_hash};
use crate::bookings::ticket_store::{BookingResult, PendingResult, Redemption};
use crate::error::{ErrorKind, Failure};
use crate::fleet::peers::RequestError;
use crate::messages::{
    BookingReply, BookingRequest, ForwardedBooking, Outcome, PeerRequest, PeerResponse,
    RelayedBooking,
};
use crate::process::clock::deadline_instant;
use crate::process::context::Context;

/// Runs a booking, or waits for the run that its ticket already started on the VM that issued it.
pub async fn run(context: &Arc<Context>, booking: Booking) -> BookingResult {
    let Some(accepted) = context.config.accepted() else {
        return Err(Failure::new(ErrorKind::NotReady, "no configuration is accepted yet"));
    };
    if accepted.service(&booking.service).is_none() {
        return Err(Failure::new(ErrorKind::UnknownService, booking.service));
    }
    if booking.ticket.is_empty() {
        return Err(ticket_required(context));
    }
    let Some(ticket) = Ticket::parse(&booking.ticket) else {
        return Err(Failure::new(ErrorKind::TicketForged, "it is not well-formed"));
    };
    if ticket.fleet_hash != fleet_hash(&context.settings.fleet) {
        return Err(Failure::new(ErrorKind::TicketForged, "another fleet issued it"));
    }
    if ticket.boot_id == context.identity.boot_id {
        return redeem(context, &ticket, booking).await;
    }
    forward_to_issuer(context, &ticket, booking).await
}

/// Serves a booking that another VM forwarded because this VM issued its ticket.
pub async fn serve_forwarded(context: &Arc<Context>, forwarded: ForwardedBooking) -> PeerResponse {
    let booking = Booking {
        deadline_unix_ms: forwarded.deadline_unix_ms,
        request: BookingRequest { key: forwarded.key, payload: forwarded.payload },
        service: forwarded.service,
        ticket: forwarded.ticket,
        traceparent: forwarded.traceparent,
    };
    let result = match Ticket::parse(&booking.ticket) {
        Some(ticket) if ticket.boot_id == context.identity.boot_id => {
            redeem(context, &ticket, booking).await
        }
        Some(ticket) => Err(issuer_replaced(&ticket)),
        None => Err(Failure::new(ErrorKind::TicketForged, "it is not well-formed")),
    };
    to_response(result)
}

/// Serves a booking that another VM relayed because this VM connects to its shard.
pub async fn serve_relayed(context: &Arc<Context>, relayed: RelayedBooking) -> PeerResponse {
    let booking = Booking {
        deadline_unix_ms: relayed.deadline_unix_ms,
        request: BookingRequest { key: relayed.key, payload: relayed.payload },
        service: relayed.service,
        ticket: relayed.request_id,
        traceparent: relayed.traceparent,
    };
    to_response(booking_run::run(context, &booking, false).await)
}

/// Creates the refusal of a booking without a ticket; it carries a new ticket.
fn ticket_required(context: &Context) -> Failure {
    let ticket = context.tickets.issue(&*context.clock);
    let mut failure = Failure::new(
        ErrorKind::TicketRequired,
        "send the request again with the ticket given here",
    );
    failure.ticket = ticket.to_text();
    failure.settled_after_unix_ms = ticket.expires_unix_ms;
    failure
}

/// Redeems a ticket that this process issued and waits for the outcome.
async fn redeem(context: &Arc<Context>, ticket: &Ticket, booking: Booking) -> BookingResult {
    let fingerprint = booking.fingerprint();
    let deadline = deadline_instant(&*context.clock, booking.deadline_unix_ms);
    let pending = match context.tickets.redeem(ticket, fingerprint, &*context.clock)? {
        Redemption::Joined(pending) => {
            context.metrics.count("booking.joined");
            pending
        }
        Redemption::Run(sender, pending) => {
            let limited = Booking {
                deadline_unix_ms: booking.deadline_unix_ms.min(ticket.expires_unix_ms),
                ..booking
            };
            tokio::spawn(run_to_completion(Arc::clone(context), limited, ticket.clone(), sender));
            pending
        }
    };
    wait_for_result(ticket, pending, deadline).await
}

/// Runs the booking of a spent ticket to its end, even if no caller waits for it any more.
async fn run_to_completion(
    context: Arc<Context>,
    booking: Booking,
    ticket: Ticket,
    sender: watch::Sender<Option<BookingResult>>,
) {
    let _running = context.track_request();
    let mut result = booking_run::run(&context, &booking, true).await;
    if let Err(failure) = &mut result {
        failure.settled_after_unix_ms = ticket.expires_unix_ms;
        failure.ticket = booking.ticket.clone();
    }
    let counter = match &result {
        Ok(_) => "booking.done",
        Err(failure) if failure.outcome == Outcome::NotRun => "booking.not_run",
        Err(_) => "booking.maybe_run",
    };
    context.metrics.count(counter);
    sender.send_replace(Some(result));
}

/// Waits for a result until the caller's deadline.
async fn wait_for_result(
    ticket: &Ticket,
    mut pending: PendingResult,
    deadline: Instant,
) -> BookingResult {
    let wait =
        async { pending.wait_for(Option::is_some).await.ok().and_then(|result| (*result).clone()) };
    match tokio::time::timeout_at(deadline, wait).await {
        Ok(Some(result)) => result,
        Ok(None) => Err(outcome_unknown(ticket, "its run ended without a result")),
        Err(_) => Err(outcome_unknown(ticket, "it is still running").with_retry_after_ms(100)),
    }
}

/// Forwards a booking to the process that issued its ticket.
async fn forward_to_issuer(
    context: &Arc<Context>,
    ticket: &Ticket,
    booking: Booking,
) -> BookingResult {
    context.metrics.count("booking.forwarded");
    let deadline = deadline_instant(&*context.clock, booking.deadline_unix_ms);
    let request = PeerRequest::ForwardedBooking(ForwardedBooking {
        deadline_unix_ms: booking.deadline_unix_ms,
        key: booking.request.key,
        payload: booking.request.payload,
        service: booking.service,
        ticket: booking.ticket,
        traceparent: booking.traceparent,
    });
    if ticket.vm_id == context.identity.vm_id {
        return Err(issuer_replaced(ticket));
    }
    match context.peers.request(&context.config.list(), &ticket.vm_id, request, deadline).await {
        Ok(PeerResponse::Booking(BookingReply::Done(answer))) => Ok(answer),
        Ok(PeerResponse::Booking(BookingReply::Refused(refusal))) => {
            Err(Failure::from_refusal(refusal))
        }
        Ok(_) => Err(outcome_unknown(ticket, "the issuer answered something else")),
        Err(RequestError::NotSent) => {
            Err(outcome_unknown(ticket, "the VM that issued it cannot be reached"))
        }
        Err(RequestError::Lost) => {
            Err(outcome_unknown(ticket, "the link to the VM that issued it was lost"))
        }
        Err(RequestError::Timeout) => {
            Err(outcome_unknown(ticket, "the VM that issued it did not answer in time"))
        }
    }
}

/// Wraps a result as a response between VMs.
fn to_response(result: BookingResult) -> PeerResponse {
    PeerResponse::Booking(match result {
        Ok(answer) => BookingReply::Done(answer),
        Err(failure) => BookingReply::Refused(failure.to_refusal()),
    })
}

/// Creates the failure for a booking whose outcome is not known at present.
fn outcome_unknown(ticket: &Ticket, why: &str) -> Failure {
    let mut failure =
        Failure::new(ErrorKind::OutcomeUnknown, why).settled_after(ticket.expires_unix_ms);
    failure.ticket = ticket.to_text();
    failure
}

/// Creates the failure for a ticket whose issuing process has been replaced.
fn issuer_replaced(ticket: &Ticket) -> Failure {
    outcome_unknown(ticket, "the VM that issued it was replaced; nothing runs it again")
}
