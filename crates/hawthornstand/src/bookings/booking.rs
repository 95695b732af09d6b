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

/// Runs a booking, or joins the run that its ticket already started anywhere in the fleet.
pub async fn run(context: &Arc<Context>, booking: Booking) -> BookingResult {
    let Some(accepted) = context.config.accepted() else {
        return Err(Failure::new(ErrorKind::NotReady, "no configuration is accepted yet"));
    };
    if accepted.service(&booking.service).is_none() {
        return Err(Failure::new(ErrorKind::UnknownService, booking.service));
    }
    if booking.ticket.is_empty() {
        return Err(offer_ticket(context));
    }
    let Some(ticket) = Ticket::parse(&booking.ticket) else {
        return Err(Failure::new(ErrorKind::TicketForged, "it is not well-formed"));
    };
    if ticket.fleet != fleet_hash(&context.settings.fleet) {
        return Err(Failure::new(ErrorKind::TicketForged, "another fleet issued it"));
    }
    if ticket.boot_id == context.identity.boot_id {
        return redeem(context, &ticket, booking).await;
    }
    forward(context, &ticket, booking).await
}

/// Serves a booking that another VM passed on to the issuer of its ticket.
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
        Some(ticket) => Err(issuer_gone(&ticket)),
        None => Err(Failure::new(ErrorKind::TicketForged, "it is not well-formed")),
    };
    reply(result)
}

/// Serves a booking for which this VM holds the connection.
pub async fn serve_relayed(context: &Arc<Context>, relayed: RelayedBooking) -> PeerResponse {
    let booking = Booking {
        deadline_unix_ms: relayed.deadline_unix_ms,
        request: BookingRequest { key: relayed.key, payload: relayed.payload },
        service: relayed.service,
        ticket: relayed.request_id,
        traceparent: relayed.traceparent,
    };
    reply(booking_run::run(context, &booking, false).await)
}

/// Refuses a booking without a ticket and offers one.
fn offer_ticket(context: &Context) -> Failure {
    let ticket = context.tickets.issue(&*context.clock);
    let mut failure = Failure::new(
        ErrorKind::TicketRequired,
        "send the request again with the ticket given here",
    );
    failure.ticket = ticket.to_text();
    failure.settled_after_unix_ms = ticket.expires_unix_ms;
    failure
}

/// Presents a ticket of this incarnation and waits for its outcome.
async fn redeem(context: &Arc<Context>, ticket: &Ticket, booking: Booking) -> BookingResult {
    let print = booking.fingerprint();
    let deadline = deadline_instant(&*context.clock, booking.deadline_unix_ms);
    let pending = match context.tickets.redeem(ticket, print, &*context.clock)? {
        Redemption::Joined(pending) => {
            context.metrics.count("booking.joined");
            pending
        }
        Redemption::Run(sender, pending) => {
            let limited = Booking {
                deadline_unix_ms: booking.deadline_unix_ms.min(ticket.expires_unix_ms),
                ..booking
            };
            tokio::spawn(execute(Arc::clone(context), limited, ticket.clone(), sender));
            pending
        }
    };
    await_result(ticket, pending, deadline).await
}

/// Runs a spent ticket to its end, whoever still waits for it.
async fn execute(
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
async fn await_result(
    ticket: &Ticket,
    mut pending: PendingResult,
    deadline: Instant,
) -> BookingResult {
    let wait =
        async { pending.wait_for(Option::is_some).await.ok().and_then(|result| (*result).clone()) };
    match tokio::time::timeout_at(deadline, wait).await {
        Ok(Some(result)) => result,
        Ok(None) => Err(unknown(ticket, "its run ended without a result")),
        Err(_) => Err(unknown(ticket, "it is still running").with_retry_after_ms(100)),
    }
}

/// Passes a booking on to the incarnation that issued its ticket.
async fn forward(context: &Arc<Context>, ticket: &Ticket, booking: Booking) -> BookingResult {
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
        return Err(issuer_gone(ticket));
    }
    match context.peers.request(&context.config.list(), &ticket.vm_id, request, deadline).await {
        Ok(PeerResponse::Booking(BookingReply::Done(answer))) => Ok(answer),
        Ok(PeerResponse::Booking(BookingReply::Refused(refusal))) => {
            Err(Failure::from_refusal(refusal))
        }
        Ok(_) => Err(unknown(ticket, "the issuer answered something else")),
        Err(RequestError::NotSent) => {
            Err(unknown(ticket, "the VM that issued it cannot be reached"))
        }
        Err(RequestError::Lost) => {
            Err(unknown(ticket, "the link to the VM that issued it was lost"))
        }
        Err(RequestError::Timeout) => {
            Err(unknown(ticket, "the VM that issued it did not answer in time"))
        }
    }
}

/// Wraps a result as a response between VMs.
fn reply(result: BookingResult) -> PeerResponse {
    PeerResponse::Booking(match result {
        Ok(answer) => BookingReply::Done(answer),
        Err(failure) => BookingReply::Refused(failure.to_refusal()),
    })
}

/// Creates the answer for an outcome that cannot be known now.
fn unknown(ticket: &Ticket, why: &str) -> Failure {
    let mut failure =
        Failure::new(ErrorKind::OutcomeUnknown, why).settled_after(ticket.expires_unix_ms);
    failure.ticket = ticket.to_text();
    failure
}

/// Creates the answer for a ticket whose issuer has been replaced.
fn issuer_gone(ticket: &Ticket) -> Failure {
    unknown(ticket, "the VM that issued it was replaced; nothing runs it again")
}
