//! Which backend servers are checked after calls to them were abandoned.

#[path = "support/gateway.rs"]
mod gateway_support;

use std::sync::Arc;
use std::time::Duration;

use gateway_support::{published_server, settings};
use hawthornstand::gateway::abandoned_calls::{AbandonedCalls, Due};
use hawthornstand::gateway::directory::Directory;
use hawthornstand::gateway::listing::Listing;
use hawthornstand::gateway::model::PublishedServer;
use hawthornstand::gateway::server::Server;
use tokio::time::Instant;

/// Fingerprint of a request whose call was abandoned.
const ABANDONED: u64 = 7;
/// Time for which the backend server may run the call.
const TIME_LEFT: Duration = Duration::from_secs(2);

/// A backend server with one abandoned call.
struct Watched {
    calls: AbandonedCalls,
    directory: Directory,
    abandoned_at: Instant,
    server: Arc<Server>,
}

impl Watched {
    fn new() -> Self {
        let directory = Directory::new(settings());
        directory.put(published_server("i-1"));
        let server = Arc::clone(&directory.service("portal").servers()[0]);
        let (calls, abandoned_at) = (AbandonedCalls::default(), Instant::now());
        calls.record(&server, ABANDONED, abandoned_at + TIME_LEFT);
        Self { calls, directory, abandoned_at, server }
    }

    /// Returns what is due at a time after the call was abandoned.
    fn due(&self, after: Duration) -> Vec<&'static str> {
        let due = self.calls.take_due(&self.directory, self.abandoned_at + after);
        let names = due.into_iter().map(|due| match due {
            Due::Check(_) => "check",
            Due::Ended(_) => "ended",
        });
        names.collect()
    }
}

#[tokio::test]
async fn server_is_checked_until_it_has_to_stop_the_call() {
    let watched = Watched::new();
    assert_eq!(watched.due(Duration::ZERO), ["check"]);
    assert!(watched.due(Duration::ZERO).is_empty(), "a check runs");
    watched.calls.end_check(&watched.server);
    assert_eq!(watched.due(TIME_LEFT), ["check"]);
    watched.calls.end_check(&watched.server);
    assert!(watched.due(TIME_LEFT * 2).is_empty());
    assert!(watched.calls.take(&watched.server).is_empty());
}

/// The later process is in the entry, so that no connection is needed to see it.
#[tokio::test]
async fn server_whose_entry_names_a_later_process_has_ended() {
    let watched = Watched::new();
    let later = PublishedServer { process_start_unix_ms: 2, ..published_server("i-1") };
    watched.directory.put(later);
    assert_eq!(watched.due(Duration::ZERO), ["ended"]);
    assert_eq!(watched.calls.take(&watched.server), [ABANDONED]);
}

/// Guards against a request being refused because servers left as planned while its callers left early.
#[tokio::test]
async fn server_that_leaves_as_planned_is_not_checked() {
    let watched = Watched::new();
    watched.server.set_listing(Listing::Leaving);
    assert!(watched.due(Duration::ZERO).is_empty());
    let later = PublishedServer { process_start_unix_ms: 2, ..published_server("i-1") };
    watched.directory.put(later);
    assert!(watched.due(Duration::ZERO).is_empty());
}

#[tokio::test]
async fn same_request_is_kept_once_for_a_server() {
    let watched = Watched::new();
    for _ in 0..3 {
        watched.calls.record(&watched.server, ABANDONED, watched.abandoned_at + TIME_LEFT);
    }
    assert_eq!(watched.calls.take(&watched.server), [ABANDONED]);
}

/// Callers that leave in large numbers must not use the memory of a VM.
#[tokio::test]
async fn number_of_calls_is_limited_and_the_last_to_end_are_kept() {
    let watched = Watched::new();
    for number in 0..1000 {
        let deadline = watched.abandoned_at + TIME_LEFT + Duration::from_millis(number);
        watched.calls.record(&watched.server, 1000 + number, deadline);
    }
    let kept = watched.calls.take(&watched.server);
    assert_eq!(kept.len(), 128);
    assert!(kept.contains(&1999) && !kept.contains(&ABANDONED));
}
