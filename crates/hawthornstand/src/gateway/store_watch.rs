//! Reads the published state from the store and keeps watching it.

use std::sync::Arc;
use std::time::Duration;

use crate::gateway::items::Update;
use crate::gateway::protocol::{PublishedStore, StoreError, StoreList};
use crate::gateway::state::State;
use crate::gateway::telemetry::Telemetry;
use crate::ids::Revision;

/// Wait of the watches of a VM that knows of no others.
const LONE_WAIT: Duration = Duration::from_millis(800);
/// Time between two looks whether this VM has to read.
const DUTY_CHECK: Duration = Duration::from_millis(250);
/// Wait of a watch while it is not known whether the store answers.
const TRIAL_WAIT: Duration = Duration::from_millis(100);
/// First and last pause after a failed read.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
const LAST_PAUSE: Duration = Duration::from_millis(1000);
/// Last pause of a VM that knows nothing yet and so serves nobody.
const LAST_PAUSE_AT_START: Duration = Duration::from_millis(250);
/// Time for which a watch may lag behind what another VM has told.
const MAX_LAG: Duration = Duration::from_millis(1500);
/// Time over which changes are gathered, so that a series of them costs one read: a tenth of the shortest time
/// within which the platform wants a change known.
const GATHER: Duration = Duration::from_millis(300);

/// Tells whether this VM reads the store itself.
pub trait ReadDuty: Send + Sync {
    /// Returns whether it reads now.
    fn reads(&self) -> bool;
    /// Returns the longest wait of one watch; a connection that fell silent shows at its end.
    fn watch_wait(&self) -> Duration;
}

/// Duty of a VM that knows of no others.
pub struct ReadsAlways;

impl ReadDuty for ReadsAlways {
    fn reads(&self) -> bool {
        true
    }

    fn watch_wait(&self) -> Duration {
        LONE_WAIT
    }
}

/// Reads until the process ends.
pub async fn run(
    state: Arc<State>,
    store: Arc<dyn PublishedStore>,
    duty: Arc<dyn ReadDuty>,
    telemetry: Arc<Telemetry>,
) {
    let mut known: Option<Revision> = None;
    let mut pause = FIRST_PAUSE;
    // Whether it is unknown if the store answers watches.
    let mut on_trial = false;
    loop {
        if known.is_some() && !duty.reads() {
            tokio::time::sleep(DUTY_CHECK.mul_f64(rand::random_range(0.5..1.5))).await;
            // What links have told needs no second reading.
            known = known.max(Some(state.as_of()));
            continue;
        }
        let after = known;
        telemetry.store_reads.inc();
        let read = match after {
            None => store.list().await,
            Some(revision) => {
                let wait = if on_trial { TRIAL_WAIT } else { duty.watch_wait() };
                watch(&state, &*store, revision, wait).await
            }
        };
        match read {
            Ok(list) => {
                on_trial = false;
                if state.set_store_away(false) {
                    log::info!(as_of = list.as_of; "store regained");
                }
                pause = FIRST_PAUSE;
                state.confirm(Duration::ZERO);
                let had_news = !list.changes.is_empty();
                known = Some(list.as_of.max(after.unwrap_or(0)));
                state.take_over(&to_update(list, after, state.store_was_away()), "store");
                if had_news && after.is_some() {
                    tokio::time::sleep(GATHER).await;
                }
            }
            Err(StoreError::WatchStalled) => {
                log::info!(after = after.unwrap_or(0); "watch is behind other VMs; it is opened again");
                on_trial = true;
            }
            Err(StoreError::HistoryGone) => {
                log::info!(after = after.unwrap_or(0); "store forgot its history; everything is read again");
                known = None;
            }
            Err(error) => {
                on_trial = true;
                if state.set_store_away(true) {
                    log::warn!(after = after.unwrap_or(0); "store lost: {error}; the last state is used");
                }
                tokio::time::sleep(pause.mul_f64(rand::random_range(0.5..1.0))).await;
                let last = if state.is_complete() { LAST_PAUSE } else { LAST_PAUSE_AT_START };
                pause = (pause * 2).min(last);
            }
        }
    }
}

/// Watches; gives up where other VMs know of later changes and the watch stays silent.
async fn watch(
    state: &State,
    store: &dyn PublishedStore,
    after: Revision,
    wait: Duration,
) -> Result<StoreList, StoreError> {
    let mut news = state.news();
    let overtaken = async {
        while *news.borrow_and_update() <= after {
            if news.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        }
        tokio::time::sleep(MAX_LAG).await;
    };
    tokio::select! {
        biased;
        list = store.watch(after, wait) => list,
        () = overtaken => Err(StoreError::WatchStalled),
    }
}

/// Returns what was read as an update of the state.
fn to_update(mut list: StoreList, after: Option<Revision>, after_outage: bool) -> Update {
    for change in &mut list.changes {
        change.after_outage = after_outage;
    }
    Update { after: after.unwrap_or(0), after_outage, as_of: list.as_of, changes: list.changes }
}
