//! From which VM news is fetched, without a network; named after the pattern.

use std::time::Duration;

use hawthornstand::gateway::pulls::{PullScheduler, PullStep};
use hawthornstand::gateway::server::Proximity;
use hawthornstand::ids::LinkId;
use tokio::time::Instant;

const NEAR: LinkId = 7;
const FAR: LinkId = 3;
const FARTHER: LinkId = 4;
/// Time between two looks of the tests.
const TICK: Duration = Duration::from_millis(10);

/// Looks at every link until one asks; returns it and when it asked.
fn first_to_ask(
    pulls: &PullScheduler,
    links: &[LinkId],
    own: u64,
    from: Instant,
) -> (LinkId, Duration) {
    for tick in 0..500 {
        let now = from + TICK * tick;
        for link in links {
            if pulls.next_step(*link, own, Duration::ZERO, now) == PullStep::Pull {
                return (*link, now - from);
            }
        }
    }
    panic!("nobody asks");
}

/// A configuration changes five times a second for four seconds: it is fetched a few times over one link, not
/// once for each change and link.
#[test]
fn config_storm() {
    let pulls = PullScheduler::default();
    let start = Instant::now();
    let (mut own, mut asked) = (1, Vec::new());
    for tick in 0..600_u32 {
        let now = start + TICK * tick;
        if tick % 20 == 0 && tick < 400 {
            let revision = u64::from(tick) / 20 + 2;
            for link in [FAR, FARTHER] {
                pulls.record_offer(link, Proximity::OtherRegion, revision);
            }
            pulls.record_offer(NEAR, Proximity::SameRegion, revision);
        }
        for link in [FAR, FARTHER, NEAR] {
            if pulls.next_step(link, own, Duration::ZERO, now) == PullStep::Pull {
                asked.push(link);
                own = u64::from(tick.min(399)) / 20 + 2;
                pulls.record_answer(link, now);
            }
        }
    }
    assert_eq!(own, 21);
    assert!(asked.len() <= 21, "asked {} times", asked.len());
    assert!(asked.iter().all(|link| *link == NEAR), "{asked:?}");
}

#[test]
fn vm_nearby_goes_before_one_that_offered_earlier() {
    let pulls = PullScheduler::default();
    let now = Instant::now();
    pulls.record_offer(FAR, Proximity::OtherRegion, 5);
    assert!(matches!(pulls.next_step(FAR, 4, Duration::ZERO, now), PullStep::CheckAt(_)));
    pulls.record_offer(NEAR, Proximity::SameFailureDomain, 5);
    assert_eq!(first_to_ask(&pulls, &[FAR, NEAR], 4, now), (NEAR, Duration::ZERO));
}

#[test]
fn other_region_is_asked_soon_where_nobody_nearby_knows() {
    let pulls = PullScheduler::default();
    pulls.record_offer(FAR, Proximity::OtherRegion, 5);
    let (link, waited) = first_to_ask(&pulls, &[FAR], 4, Instant::now());
    assert_eq!(link, FAR);
    assert!(waited <= Duration::from_millis(260), "waited {waited:?}");
}

/// A VM that has just started cannot serve callers before it knows something.
#[test]
fn vm_that_knows_nothing_asks_at_once() {
    let pulls = PullScheduler::default();
    pulls.record_offer(FAR, Proximity::OtherRegion, 5);
    assert_eq!(pulls.next_step(FAR, 0, Duration::ZERO, Instant::now()), PullStep::Pull);
}

#[test]
fn vm_that_reads_the_store_gives_it_time() {
    let pulls = PullScheduler::default();
    let now = Instant::now();
    let patience = Duration::from_millis(300);
    pulls.record_offer(NEAR, Proximity::SameRegion, 5);
    assert_eq!(pulls.next_step(NEAR, 4, patience, now), PullStep::CheckAt(now + patience));
    assert_eq!(pulls.next_step(NEAR, 5, patience, now + patience), PullStep::Idle);
}

/// A VM that is cut off or frozen while it is asked delays the news by less than a second.
#[test]
fn vm_that_does_not_answer_is_replaced() {
    let pulls = PullScheduler::default();
    let now = Instant::now();
    pulls.record_offer(NEAR, Proximity::SameRegion, 5);
    pulls.record_offer(FAR, Proximity::OtherRegion, 5);
    assert_eq!(first_to_ask(&pulls, &[NEAR, FAR], 4, now), (NEAR, Duration::ZERO));
    let (link, waited) = first_to_ask(&pulls, &[NEAR, FAR], 4, now + TICK);
    assert_eq!(link, FAR);
    assert!(waited <= Duration::from_secs(1), "waited {waited:?}");
}

#[test]
fn link_that_ends_takes_its_offer_along() {
    let pulls = PullScheduler::default();
    let now = Instant::now();
    pulls.record_offer(NEAR, Proximity::SameRegion, 5);
    assert_eq!(pulls.next_step(NEAR, 4, Duration::ZERO, now), PullStep::Pull);
    pulls.remove_link(NEAR);
    assert_eq!(pulls.next_step(FAR, 4, Duration::ZERO, now), PullStep::Idle);
    pulls.record_offer(FAR, Proximity::OtherRegion, 5);
    let (_, waited) = first_to_ask(&pulls, &[FAR], 4, now);
    assert!(waited <= Duration::from_millis(260), "waited {waited:?}");
}
