//! Contract with backend servers: each fault of a response, and the answer that the caller gets.

mod support;

use std::time::Duration;

use hawthornstand::backends::backend_client::CallError;
use hawthornstand::backends::connection_pool::ConnectError;
use hawthornstand::backends::leaf::Leaf;
use hawthornstand::messages::{
    LeafAnswer, LeafRefusal, LeafRefusalReason, LeafSearch, SearchAnswer,
};
use hawthornstand::searches::search;
use rstest::rstest;
use support::{answer, answer_for, context, range, search_of};

type SearchResult = Result<LeafAnswer, CallError>;

/// Searches two shards with two replicas each; the first call to shard 0 has the fault.
async fn search_with_fault(name: &'static str, delay_ms: u64) -> String {
    let first = std::sync::atomic::AtomicBool::new(true);
    let script = move |leaf: &Leaf, search: &LeafSearch| {
        let faulty =
            leaf.id.starts_with("leaf-0") && first.swap(false, std::sync::atomic::Ordering::SeqCst);
        if faulty {
            (Duration::from_millis(delay_ms), fault(name, search))
        } else {
            (Duration::ZERO, Ok(answer(search)))
        }
    };
    let (context, calls) = context(2, 2, &[1], "", Box::new(script));
    let search = search_of(&context, "q", false, 1000);
    let answer = search::run(&context, &search).await;
    let calls = calls.lock().unwrap().clone();
    let mut shards: Vec<String> =
        calls.iter().filter(|id| id.starts_with("leaf-")).map(|id| id[..6].to_string()).collect();
    shards.sort();
    match answer {
        Ok(answer) => format!("{}; calls: {}", describe(&answer), shards.join(" ")),
        Err(failure) => failure.to_string(),
    }
}

/// Formats an answer, after checking that its hits match its coverage and are of one version.
fn describe(answer: &SearchAnswer) -> String {
    let covered: Vec<String> =
        answer.coverage.covered.iter().map(|r| format!("{}..{}", r.start, r.end)).collect();
    let missing: Vec<String> =
        answer.coverage.missing.iter().map(|entry| entry.reason.to_string()).collect();
    let slices: u64 = answer.coverage.covered.iter().map(|r| r.end - r.start).sum();
    assert_eq!(answer.hits.len() as u64, slices, "one hit for each covered slice");
    assert!(
        answer.hits.iter().all(|hit| hit.record == format!("v{}", answer.version)),
        "one version"
    );
    format!("version {}, covered {}, missing {:?}", answer.version, covered.join(" "), missing)
}

fn refusal(reason: LeafRefusalReason, versions: &[u64]) -> SearchResult {
    Err(CallError::Refused(LeafRefusal { reason, versions: versions.to_vec() }))
}

/// Returns the result of the faulty call.
fn fault(name: &str, s: &LeafSearch) -> SearchResult {
    match name {
        "answers" => Ok(answer(s)),
        "answers_late" => Ok(answer(s)),
        "answers_other_slices" => Ok(answer_for(s.version, &[range(50, 60)])),
        "answers_fewer_slices" => Ok(answer_for(s.version, &[range(0, 4)])),
        "answers_more_slices" => Ok(answer_for(s.version, &[range(0, 20)])),
        "answers_no_slices" => Ok(answer_for(s.version, &[])),
        "answers_other_version" => Ok(answer_for(s.version + 1, &s.slices)),
        "answers_hits_outside_its_slices" => {
            Ok(LeafAnswer { slices: vec![range(0, 4)], ..answer(s) })
        }
        "answers_a_slice_twice" => Ok(answer_for(s.version, &[range(0, 10)])),
        "answers_inverted_range" => Ok(answer_for(s.version, &[range(9, 3)])),
        "malformed" => Err(CallError::Malformed("half an answer".to_string())),
        "connection_lost" => Err(CallError::Lost),
        "never_sent" => Err(CallError::NotSent(ConnectError::Failed)),
        "refuses_cold" => refusal(LeafRefusalReason::Cold, &[1]),
        "refuses_deadline" => refusal(LeafRefusalReason::Deadline, &[1]),
        "refuses_draining" => refusal(LeafRefusalReason::Draining, &[1]),
        "refuses_overloaded" => refusal(LeafRefusalReason::Overloaded, &[1]),
        "refuses_version" => refusal(LeafRefusalReason::Version, &[2]),
        other => panic!("unknown fault {other}"),
    }
}

#[rstest]
#[case("answers", 0)]
#[case("answers_late", 2000)]
#[case("answers_other_slices", 0)]
#[case("answers_fewer_slices", 0)]
#[case("answers_more_slices", 0)]
#[case("answers_no_slices", 0)]
#[case("answers_other_version", 0)]
#[case("answers_hits_outside_its_slices", 0)]
#[case("answers_a_slice_twice", 0)]
#[case("answers_inverted_range", 0)]
#[case("malformed", 0)]
#[case("connection_lost", 0)]
#[case("never_sent", 0)]
#[case("refuses_cold", 0)]
#[case("refuses_deadline", 0)]
#[case("refuses_draining", 0)]
#[case("refuses_overloaded", 0)]
#[case("refuses_version", 0)]
#[tokio::test(start_paused = true)]
async fn fault_of_one_call(#[case] name: &'static str, #[case] delay_ms: u64) {
    let answer = search_with_fault(name, delay_ms).await;
    insta::with_settings!({ omit_expression => true }, {
        insta::assert_snapshot!(format!("fault_{name}"), answer);
    });
}

#[tokio::test(start_paused = true)]
async fn search_restarts_on_the_newer_version_when_its_version_is_gone() {
    let script = |_: &Leaf, search: &LeafSearch| {
        let result = match search.version {
            1 => refusal(LeafRefusalReason::Version, &[2]),
            _ => Ok(answer(search)),
        };
        (Duration::ZERO, result)
    };
    let (context, _) = context(2, 2, &[1], "", Box::new(script));
    let search = search_of(&context, "q", true, 1000);
    let answer = search::run(&context, &search).await.expect("a complete answer");
    insta::assert_snapshot!(describe(&answer));
}

#[tokio::test(start_paused = true)]
async fn hedge_answers_when_the_first_attempt_hangs() {
    // All searches together end within the 10 s window of the budget, so that no used attempt becomes available again.
    const HANG: Duration = Duration::from_millis(500);
    let seen_queries = std::sync::Mutex::new(std::collections::BTreeSet::new());
    let script = move |_: &Leaf, search: &LeafSearch| {
        let first = seen_queries.lock().unwrap().insert(search.query.clone());
        (if first { HANG } else { Duration::from_millis(1) }, Ok(answer(search)))
    };
    let extra = "hedge:\n  policy: fixed\n  fixed_delay_ms: 20\nrouting:\n  policy: random\n";
    let (context, calls) = context(1, 2, &[1], extra, Box::new(script));
    let mut times = Vec::new();
    for number in 0..20 {
        let search = search_of(&context, &format!("q{number}"), true, 1000);
        let started = tokio::time::Instant::now();
        search::run(&context, &search).await.expect("a complete answer");
        times.push(started.elapsed());
    }
    // The budget allows three extra attempts before the request rate earns more; later slow calls are not hedged.
    let total = calls.lock().unwrap().len();
    assert_eq!(total, 23, "20 first attempts and the 3 extra ones that the budget allows");
    assert!(times[..3].iter().all(|time| *time < HANG / 10), "{times:?}");
    assert!(times[3..].iter().all(|time| *time >= HANG), "{times:?}");
}

#[tokio::test(start_paused = true)]
async fn final_refusal_comes_at_once() {
    let script =
        |_: &Leaf, _: &LeafSearch| (Duration::ZERO, refusal(LeafRefusalReason::Overloaded, &[1]));
    let (context, calls) =
        context(2, 2, &[1], "admission:\n  initial_limit: 1\n", Box::new(script));
    let search = |query: &str| search_of(&context, query, true, 10_000);
    let fingerprint = hawthornstand::ids::fingerprint("roster", "poison");
    context.quarantine.mark_quarantined(
        fingerprint,
        Duration::from_secs(60),
        tokio::time::Instant::now(),
    );
    let started = tokio::time::Instant::now();
    let mut lines = Vec::new();
    let mut refused = async |name: &str, query: &str| {
        let failure = search::run(&context, &search(query)).await.expect_err("a refusal");
        let calls = std::mem::take(&mut *calls.lock().unwrap()).len();
        let kind = failure.kind;
        lines.push(format!(
            "{name}: {kind:?}, {}, retry after {} ms, {calls} calls",
            failure.outcome, failure.retry_after_ms
        ));
    };
    refused("saturated backend servers", "q").await;
    refused("quarantined", "poison").await;
    let state = context.services.get_or_create("roster");
    let _permit = state
        .admission
        .try_acquire(hawthornstand::configuration::published::ServicePriority::Interactive, started)
        .ok();
    refused("limit reached", "q").await;
    assert_eq!(started.elapsed(), Duration::ZERO, "no answer waited for its deadline");
    insta::assert_snapshot!(lines.join("\n"));
}

#[tokio::test(start_paused = true)]
async fn replica_is_not_called_again_for_slices_it_lacked() {
    let script = |leaf: &Leaf, search: &LeafSearch| {
        let result = if leaf.id == "leaf-0-a" {
            answer_for(search.version, &[range(0, 4)])
        } else {
            answer(search)
        };
        (Duration::ZERO, Ok(result))
    };
    let (context, calls) = context(1, 2, &[1], "routing:\n  policy: random\n", Box::new(script));
    for number in 0..20 {
        let search = search_of(&context, &format!("q{number}"), true, 1000);
        search::run(&context, &search).await.expect("a complete answer");
    }
    let lacking = context.leafs.get(&"leaf-0-a".to_string()).expect("known");
    assert_eq!(lacking.with_state(|state| state.index_contents.slices.to_ranges()), [range(0, 4)]);
    // After the first answer, each search makes one call for each part: 40 in all, and at most one call in vain.
    assert!(calls.lock().unwrap().len() <= 41);
}

#[tokio::test(start_paused = true)]
async fn every_backend_server_is_probed_in_turn() {
    let script = |_: &Leaf, search: &LeafSearch| (Duration::ZERO, Ok(answer(search)));
    let (context, calls) = context(1000, 1, &[1], "", Box::new(script));
    tokio::spawn(hawthornstand::backends::health_prober::run(std::sync::Arc::clone(&context)));
    tokio::time::sleep(Duration::from_secs(10)).await;
    let mut probed: Vec<String> = calls.lock().unwrap().clone();
    probed.sort();
    probed.dedup();
    assert_eq!(probed.len(), 1000);
}

#[tokio::test(start_paused = true)]
async fn cancelled_calls_keep_the_hedge_delay_from_falling() {
    // One call in ten takes 20 to 200 ms, the others 5 ms: the 95th percentile lies near 110 ms.
    let number = std::sync::atomic::AtomicU64::new(0);
    let script = move |_: &Leaf, search: &LeafSearch| {
        let number = number.fetch_add(1, std::sync::atomic::Ordering::SeqCst);
        let time_ms = if number.is_multiple_of(10) { 20 + (number / 10 * 37) % 180 } else { 5 };
        (Duration::from_millis(time_ms), Ok(answer(search)))
    };
    let extra = "budget:\n  extra_percent: 100\nhedge:\n  min_delay_ms: 1\n";
    let (context, _) = context(1, 2, &[1], extra, Box::new(script));
    let state = context.services.get_or_create("roster");
    for number in 0..2000 {
        let search = search_of(&context, &format!("q{number}"), true, 1000);
        search::run(&context, &search).await.expect("a complete answer");
        if number % 100 == 99 {
            state.latency.refresh(0.95, number % 500 == 499);
        }
    }
    let delay = state.latency.quantile().expect("enough samples");
    assert!(
        delay >= Duration::from_millis(10),
        "the hedge delay fell to {delay:?}, which is near the latency of fast calls"
    );
}

#[tokio::test(start_paused = true)]
async fn distant_replicas_are_neither_preferred_nor_hedged_to() {
    // Replica a is near and takes 4 to 11 ms, longer than the hedge delay at times; replica b is far and takes 45 ms.
    let number = std::sync::atomic::AtomicU64::new(0);
    let script = move |leaf: &Leaf, search: &LeafSearch| {
        let number = number.fetch_add(1, std::sync::atomic::Ordering::SeqCst);
        let time_ms = if leaf.id == "leaf-0-b" { 45 } else { 4 + number % 8 };
        (Duration::from_millis(time_ms), Ok(answer(search)))
    };
    let (context, calls) =
        context(1, 2, &[1], "hedge:\n  policy: fixed\n  fixed_delay_ms: 6\n", Box::new(script));
    for (id, time_ms) in [("leaf-0-a", 1), ("leaf-0-b", 41)] {
        context
            .leafs
            .get(&id.to_string())
            .expect("known")
            .seed_latency(Duration::from_millis(time_ms));
    }
    for number in 0..200 {
        search::run(&context, &search_of(&context, &format!("q{number}"), true, 1000))
            .await
            .expect("complete");
    }
    let far = calls.lock().unwrap().iter().filter(|id| *id == "leaf-0-b").count();
    assert_eq!(far, 0, "calls to the distant replica");
}

#[tokio::test(start_paused = true)]
async fn losing_the_near_replicas_does_not_shrink_the_concurrency_limit() {
    let near_is_lost = std::sync::Arc::new(std::sync::atomic::AtomicBool::new(false));
    let lost = std::sync::Arc::clone(&near_is_lost);
    let script = move |leaf: &Leaf, search: &LeafSearch| match leaf.id.as_str() {
        "leaf-0-a" if lost.load(std::sync::atomic::Ordering::SeqCst) => {
            (Duration::ZERO, Err(CallError::NotSent(ConnectError::Failed)))
        }
        "leaf-0-a" => (Duration::from_millis(5), Ok(answer(search))),
        _ => (Duration::from_millis(45), Ok(answer(search))),
    };
    let (context, _) = context(1, 2, &[1], "", Box::new(script));
    for number in 0..400 {
        if number == 200 {
            near_is_lost.store(true, std::sync::atomic::Ordering::SeqCst);
        }
        search::run(&context, &search_of(&context, &format!("q{number}"), true, 1000))
            .await
            .expect("complete");
    }
    let (limit, _, refused) = context.services.get_or_create("roster").admission.usage();
    assert!(limit >= 32.0 && refused == 0, "limit {limit}, {refused} refused");
}
