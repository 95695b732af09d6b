//! From which VM news is fetched, without a network; named after the pattern.

use std::time::Duration;

use hawthornstand::gateway::pulls::{Pulls, Step};
use hawthornstand::gateway::server::Proximity;
use hawthornstand::ids::LinkId;
use tokio::time::Instant;

const NEAR: LinkId = 7;
const FAR: LinkId = 3;
const FARTHER: LinkId = 4;
/// Time between two looks of the tests.
const TICK: Duration = Duration::from_millis(10);

/// Looks at every link until one asks; returns it and when it asked.
fn first_to_ask(pulls: &Pulls, links: &[LinkId], own: u64, from: Instant) -> (LinkId, Duration) {
    for tick in 0..500 {
        let now = from + TICK * tick;
        for link in links {
            if pulls.step(*link, own, Duration::ZERO, now) == Step::Ask {
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
    let pulls = Pulls::default();
    let start = Instant::now();
    let (mut own, mut asked) = (1, Vec::new());
    for tick in 0..600_u32 {
        let now = start + TICK * tick;
        if tick % 20 == 0 && tick < 400 {
            let revision = u64::from(tick) / 20 + 2;
            for link in [FAR, FARTHER] {
                pulls.offer(link, Proximity::OtherRegion, revision);
            }
            pulls.offer(NEAR, Proximity::SameRegion, revision);
        }
        for link in [FAR, FARTHER, NEAR] {
            if pulls.step(link, own, Duration::ZERO, now) == Step::Ask {
                asked.push(link);
                own = u64::from(tick.min(399)) / 20 + 2;
                pulls.answered(link, now);
            }
        }
    }
    assert_eq!(own, 21);
    assert!(asked.len() <= 21, "asked {} times", asked.len());
    assert!(asked.iter().all(|link| *link == NEAR), "{asked:?}");
}

#[test]
fn vm_nearby_goes_before_one_that_offered_earlier() {
    let pulls = Pulls::default();
    let now = Instant::now();
    pulls.offer(FAR, Proximity::OtherRegion, 5);
    assert!(matches!(pulls.step(FAR, 4, Duration::ZERO, now), Step::LookAt(_)));
    pulls.offer(NEAR, Proximity::SameFailureDomain, 5);
    assert_eq!(first_to_ask(&pulls, &[FAR, NEAR], 4, now), (NEAR, Duration::ZERO));
}

#[test]
fn other_region_is_asked_soon_where_nobody_nearby_knows() {
    let pulls = Pulls::default();
    pulls.offer(FAR, Proximity::OtherRegion, 5);
    let (link, waited) = first_to_ask(&pulls, &[FAR], 4, Instant::now());
    assert_eq!(link, FAR);
    assert!(waited <= Duration::from_millis(260), "waited {waited:?}");
}

/// A VM that has just started cannot serve callers before it knows something.
#[test]
fn vm_that_knows_nothing_asks_at_once() {
    let pulls = Pulls::default();
    pulls.offer(FAR, Proximity::OtherRegion, 5);
    assert_eq!(pulls.step(FAR, 0, Duration::ZERO, Instant::now()), Step::Ask);
}

#[test]
fn vm_that_reads_the_store_gives_it_time() {
    let pulls = Pulls::default();
    let now = Instant::now();
    let patience = Duration::from_millis(300);
    pulls.offer(NEAR, Proximity::SameRegion, 5);
    assert_eq!(pulls.step(NEAR, 4, patience, now), Step::LookAt(now + patience));
    assert_eq!(pulls.step(NEAR, 5, patience, now + patience), Step::Idle);
}

/// A VM that is cut off or frozen while it is asked delays the news by less than a second.
#[test]
fn vm_that_does_not_answer_is_replaced() {
    let pulls = Pulls::default();
    let now = Instant::now();
    pulls.offer(NEAR, Proximity::SameRegion, 5);
    pulls.offer(FAR, Proximity::OtherRegion, 5);
    assert_eq!(first_to_ask(&pulls, &[NEAR, FAR], 4, now), (NEAR, Duration::ZERO));
    let (link, waited) = first_to_ask(&pulls, &[NEAR, FAR], 4, now + TICK);
    assert_eq!(link, FAR);
    assert!(waited <= Duration::from_secs(1), "waited {waited:?}");
}

#[test]
fn link_that_ends_takes_its_offer_along() {
    let pulls = Pulls::default();
    let now = Instant::now();
    pulls.offer(NEAR, Proximity::SameRegion, 5);
    assert_eq!(pulls.step(NEAR, 4, Duration::ZERO, now), Step::Ask);
    pulls.withdraw(NEAR);
    assert_eq!(pulls.step(FAR, 4, Duration::ZERO, now), Step::Idle);
    pulls.offer(FAR, Proximity::OtherRegion, 5);
    let (_, waited) = first_to_ask(&pulls, &[FAR], 4, now);
    assert!(waited <= Duration::from_millis(260), "waited {waited:?}");
}
