//! Answers a request on this VM or, while that reaches too few backend servers, on another one.

use std::future::Future;
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::error::{ErrorKind, Failure};
use crate::gateway::reach::needs::Needs;
use crate::gateway::relays::links::RelayLinks;
use crate::gateway::relays::offer::{Offer, OfferResult, RequestAnswer};
use crate::messages::Outcome;

/// Time between two rounds of offers of a request that is running.
const ROUND_INTERVAL: Duration = Duration::from_millis(100);
/// Rounds of offers of a request that is running.
const MAX_ROUNDS: u32 = 3;
/// Time without contact to any backend server after which no answer is expected any more.
const MAX_SILENCE: Duration = Duration::from_millis(450);
/// Time after which a caller may come back whose request no VM could run: by then other VMs are tried, or this one has
/// links to more of them.
const RETRY_AFTER: Duration = Duration::from_millis(250);

/// Answers a request. `local` sends it to backend servers from this VM.
///
/// # Errors
///
/// Returns the failure that is reported to the caller.
pub async fn run(
    offer: Offer<'_>,
    links: Option<&Arc<RelayLinks>>,
    local: impl Future<Output = Result<RequestAnswer, Failure>>,
) -> Result<RequestAnswer, Failure> {
    let needs = offer.needs;
    let Some(links) = links.filter(|_| !offer.request.is_trial) else { return local.await };
    if needs.are_lost() {
        match hand_over(offer, links, 0).await {
            OfferResult::Answered(answer) => return Ok(answer),
            OfferResult::Failed(failure) => return Err(failure),
            OfferResult::NotAnswered { attempts: 0 } if is_silent(needs) => return Err(not_taken()),
            // The backend servers may only pause, or this VM is the only one.
            OfferResult::NotAnswered { attempts: 0 } => {
                return wait_while_reached(needs, pin!(local)).await;
            }
            OfferResult::NotAnswered { .. } => return Err(lost()),
        }
    }
    let mut local = pin!(local);
    let finished = tokio::select! {
        biased;
        result = &mut local => Some(result),
        () = needs.lost() => None,
    };
    match finished {
        Some(Err(failure)) if failure.outcome == Outcome::NotRun && needs.are_lost() => {
            match hand_over(offer, links, 0).await {
                OfferResult::Answered(answer) => Ok(answer),
                OfferResult::Failed(failure) => Err(failure),
                OfferResult::NotAnswered { attempts: 0 } => Err(failure),
                OfferResult::NotAnswered { .. } => Err(lost()),
            }
        }
        Some(result) => result,
        None if offer.is_idempotent() => race(offer, links, local.as_mut()).await,
        // Once the outcomes are sealed, the attempts of this VM are never sent.
        None if offer.request.attempt_outcomes.seal_if_not_run() => {
            match hand_over(offer, links, 0).await {
                OfferResult::Answered(answer) => Ok(answer),
                OfferResult::Failed(failure) => Err(failure),
                OfferResult::NotAnswered { attempts: 0 } => Err(not_taken()),
                OfferResult::NotAnswered { .. } => Err(lost()),
            }
        }
        None => local.await,
    }
}

/// Hands over a request that is running here, and returns the first answer.
async fn race(
    offer: Offer<'_>,
    links: &Arc<RelayLinks>,
    mut local: Pin<&mut impl Future<Output = Result<RequestAnswer, Failure>>>,
) -> Result<RequestAnswer, Failure> {
    let needs = offer.needs;
    if !needs.take_extra_attempts() {
        return wait_while_reached(needs, local).await;
    }
    let mut local_failure = None;
    let outcomes = &offer.request.attempt_outcomes;
    let max_attempts = offer.route.max_attempts;
    for _ in 0..MAX_ROUNDS {
        let granted = outcomes.grant_attempts(max_attempts);
        if granted == 0 {
            break;
        }
        let attempts = max_attempts - granted;
        let mut offered = pin!(hand_over(offer, links, attempts));
        let result = loop {
            tokio::select! {
                biased;
                result = &mut offered => break result,
                result = &mut local, if local_failure.is_none() => match result {
                    Ok(answer) => return Ok(answer),
                    Err(failure) => local_failure = Some(failure),
                },
            }
        };
        match result {
            OfferResult::Answered(answer) => return Ok(answer),
            OfferResult::Failed(failure) if failure.outcome == Outcome::NotRun => {
                outcomes.take_back_attempts(granted);
            }
            OfferResult::NotAnswered { attempts: after } if after == attempts => {
                outcomes.take_back_attempts(granted);
            }
            OfferResult::Failed(_) | OfferResult::NotAnswered { .. } => {}
        }
        tokio::select! {
            biased;
            result = &mut local, if local_failure.is_none() => return result,
            () = tokio::time::sleep(ROUND_INTERVAL) => {}
        }
        if offer.time_budget.is_spent() || !needs.are_lost() {
            break;
        }
    }
    if let Some(failure) = local_failure {
        return Err(failure);
    }
    wait_while_reached(needs, local).await
}

/// Waits for the answer of this VM until none is expected any more.
async fn wait_while_reached(
    needs: Needs<'_>,
    mut local: Pin<&mut impl Future<Output = Result<RequestAnswer, Failure>>>,
) -> Result<RequestAnswer, Failure> {
    loop {
        if is_silent(needs) {
            return Err(lost());
        }
        tokio::select! {
            biased;
            result = &mut local => return result,
            () = tokio::time::sleep(ROUND_INTERVAL) => {}
        }
    }
}

/// Returns whether this VM has had no contact to any backend server for so long that no answer is expected any more.
fn is_silent(needs: Needs<'_>) -> bool {
    needs.contact.lost_for(Instant::now()).is_some_and(|time| time >= MAX_SILENCE)
}

/// Offers a request to other VMs, apart from the attempts of this VM.
async fn hand_over(offer: Offer<'_>, links: &Arc<RelayLinks>, attempts: u32) -> OfferResult {
    let request = offer.without_outcomes();
    let outcomes = &offer.request.attempt_outcomes;
    outcomes.begin_offer();
    let result = links.hand_over(&Offer { request: &request, ..offer }, attempts).await;
    match &result {
        // A backend server that answered was not crashed by the request.
        OfferResult::Answered(answer) if answer.is_success() => outcomes.record_answered(),
        OfferResult::NotAnswered { attempts: after } if *after == attempts => {
            outcomes.record_offer_not_run();
        }
        OfferResult::Failed(failure) if failure.outcome == Outcome::NotRun => {
            outcomes.record_offer_not_run();
        }
        OfferResult::Answered(_) | OfferResult::Failed(_) | OfferResult::NotAnswered { .. } => {}
    }
    result
}

/// Returns the failure of a request that no VM has run.
fn not_taken() -> Failure {
    let message = "no backend server responds to this VM, and no other VM took the request";
    Failure::new(ErrorKind::NoReplica, message).with_retry_after_ms(RETRY_AFTER.as_millis() as u64)
}

/// Returns the failure of a request that may have run here or on another VM.
fn lost() -> Failure {
    let message =
        "the connection was lost to the backend servers, or to the VM that took the request";
    Failure::new(ErrorKind::OutcomeUnknown, message)
        .with_retry_after_ms(RETRY_AFTER.as_millis() as u64)
}
