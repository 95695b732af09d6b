//! Verdicts on suspect requests: a harmless one beside one that crashes backend servers, and one whose owner has stopped.
//!
//! Lone runs that share a backend server would blame its crash on both requests; a VM that only waits for the owner's
//! verdict would never get one.

mod support;

use std::collections::BTreeSet;
use std::sync::Mutex;
use std::time::Duration;

use hawthornstand::backends::backend_client::CallError;
use hawthornstand::backends::leaf::Leaf;
use hawthornstand::ids::fingerprint;
use hawthornstand::messages::{LeafSearch, LoneVerdict};
use hawthornstand::policy::lone_run;
use hawthornstand::policy::quarantine::QuarantineStatus;
use rstest::rstest;
use support::{answer, context};
use tokio::time::Instant;

#[rstest]
#[case::poison_first(["poison", "harmless"], [LoneVerdict::Quarantined, LoneVerdict::Cleared])]
#[case::poison_second(["harmless", "poison"], [LoneVerdict::Cleared, LoneVerdict::Quarantined])]
#[tokio::test(start_paused = true)]
async fn suspect_beside_a_poison_request_is_cleared(
    #[case] queries: [&str; 2],
    #[case] verdicts: [LoneVerdict; 2],
) {
    let crashed = Mutex::new(BTreeSet::new());
    let script = move |leaf: &Leaf, search: &LeafSearch| {
        let mut crashed = crashed.lock().unwrap();
        if search.query == "poison" {
            crashed.insert(leaf.id.clone());
        }
        let lost = crashed.contains(&leaf.id);
        let result = if lost { Err(CallError::Lost) } else { Ok(answer(search)) };
        (Duration::from_millis(10), result)
    };
    let (context, _) = context(1, 2, &[1], "", Box::new(script));
    let deadline = Instant::now() + Duration::from_secs(5);
    for query in queries {
        context.report_suspect("roster", query);
    }
    let (first, second) = tokio::join!(
        lone_run::resolve_suspect(&context, "roster", queries[0], deadline),
        lone_run::resolve_suspect(&context, "roster", queries[1], deadline),
    );
    assert_eq!([first, second], verdicts);
}

#[tokio::test(start_paused = true)]
async fn suspect_whose_owner_has_stopped_runs_alone_from_this_vm() {
    let script = |_: &Leaf, search: &LeafSearch| (Duration::from_millis(10), Ok(answer(search)));
    let (context, _) = context(1, 2, &[1], "", Box::new(script));
    let now = Instant::now();
    let stopped = "entry-stopped".to_string();
    let suspect = fingerprint("roster", "waiter");
    context.quarantine.mark_suspect(suspect, &stopped, Duration::from_secs(30), now);
    let verdict =
        lone_run::resolve_suspect(&context, "roster", "waiter", now + Duration::from_secs(5)).await;
    assert_eq!(verdict, LoneVerdict::Cleared);
    assert_eq!(context.quarantine.status(suspect, Instant::now()), QuarantineStatus::Clear);
}
