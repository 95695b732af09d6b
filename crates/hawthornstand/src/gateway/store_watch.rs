//! Reads the published state from the store and keeps watching it.

use std::sync::Arc;
use std::time::Duration;

use crate::gateway::items::Update;
use crate::gateway::speech::{PublishedStore, StoreError, StoreList};
use crate::gateway::state::State;
use crate::gateway::telemetry::Telemetry;
use crate::ids::Revision;

/// Longest wait of one watch; a lost connection shows at its end.
const WATCH_WAIT: Duration = Duration::from_secs(10);
/// First and last pause after a failed read.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
const LAST_PAUSE: Duration = Duration::from_millis(1000);
/// Time for which a watch may lag behind what another VM has told.
const MAX_LAG: Duration = Duration::from_millis(1500);
/// Time over which changes are gathered, so that a series of them costs one read.
const GATHER: Duration = Duration::from_millis(100);

/// Reads until the process ends.
pub async fn run(state: Arc<State>, store: Arc<dyn PublishedStore>, telemetry: Arc<Telemetry>) {
    let mut known: Option<Revision> = None;
    let mut pause = FIRST_PAUSE;
    loop {
        let after = known;
        let read = match after {
            None => {
                telemetry.store_reads.inc();
                store.list().await
            }
            Some(revision) => {
                telemetry.store_reads.inc();
                watch(&state, &*store, revision).await
            }
        };
        match read {
            Ok(list) => {
                if state.set_store_away(false) {
                    log::info!(as_of = list.as_of; "store regained");
                }
                pause = FIRST_PAUSE;
                let had_news = !list.changes.is_empty();
                known = Some(list.as_of.max(after.unwrap_or(0)));
                state.take_over(&to_update(list, after), "store");
                if had_news && after.is_some() {
                    tokio::time::sleep(GATHER).await;
                }
            }
            Err(StoreError::HistoryGone) => {
                log::info!(after = after.unwrap_or(0); "store forgot its history; everything is read again");
                known = None;
            }
            Err(error) => {
                if state.set_store_away(true) {
                    log::warn!(after = after.unwrap_or(0); "store lost: {error}; the last state is used");
                }
                tokio::time::sleep(pause.mul_f64(rand::random_range(0.5..1.0))).await;
                pause = (pause * 2).min(LAST_PAUSE);
            }
        }
    }
}

/// Watches; gives up where other VMs know of later changes and the watch stays silent.
async fn watch(
    state: &State,
    store: &dyn PublishedStore,
    after: Revision,
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
        list = store.watch(after, WATCH_WAIT) => list,
        () = overtaken => Err(StoreError::Unreachable("the watch is behind other VMs".to_string())),
    }
}

/// Returns what was read as an update of the state.
fn to_update(list: StoreList, after: Option<Revision>) -> Update {
    Update {
        after: after.unwrap_or(0),
        as_of: list.as_of,
        changes: list.changes,
        store_was_away: false,
    }
}
