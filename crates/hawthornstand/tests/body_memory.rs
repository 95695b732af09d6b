//! The memory that bodies hold together: what counts, and which body is refused if it is used up.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hawthornstand::process::body_memory::{
    BLOCK_BYTES, BodyMemory, BodyRefused, ReceivingBody, UNCOUNTED_BYTES,
};
use prometheus_client::metrics::counter::Counter;

const LIMIT_BYTES: usize = 10 * BLOCK_BYTES;
const MAX_BODY_BYTES: usize = 4 * BLOCK_BYTES;

fn memory() -> (Arc<BodyMemory>, Counter) {
    let refused = Counter::default();
    (Arc::new(BodyMemory::new(LIMIT_BYTES, refused.clone())), refused)
}

/// Returns a body of which some bytes were received.
fn receive(memory: &Arc<BodyMemory>, bytes: usize) -> ReceivingBody<'_> {
    let mut body = memory.receive(0).expect("room for the body");
    body.append(&vec![b'x'; bytes]).expect("room for the body");
    body
}

/// Returns whether a body was refused.
async fn is_refused(body: &ReceivingBody<'_>) -> bool {
    tokio::time::timeout(Duration::from_millis(1), body.refused()).await.is_ok()
}

#[test]
fn bytes_received_one_by_one_are_kept_in_order_and_count_as_much_as_they_hold() {
    let (memory, _) = memory();
    let mut body = memory.receive(0).expect("room for the body");
    let sent: Vec<u8> = (0..20_000).map(|index| (index % 251) as u8).collect();
    for byte in &sent {
        body.append(&[*byte]).expect("room for the body");
    }
    assert_eq!(memory.held_bytes(), 2 * BLOCK_BYTES);
    let received = body.finish().expect("a body that was not refused");
    assert_eq!(received, sent);
    let part = received.slice(5..10);
    drop(received);
    assert_eq!(memory.held_bytes(), sent.len(), "a part keeps the whole body");
    drop(part);
    assert_eq!(memory.held_bytes(), 0);
}

#[test]
fn bodies_that_are_given_up_release_their_memory() {
    let (memory, _) = memory();
    let body = receive(&memory, BLOCK_BYTES + 1);
    assert_eq!(memory.held_bytes(), 2 * BLOCK_BYTES);
    drop(body);
    assert_eq!(memory.held_bytes(), 0);
}

#[tokio::test(start_paused = true)]
async fn body_that_has_not_moved_for_the_longest_time_is_refused_first() {
    let (memory, refused) = memory();
    let mut slow = receive(&memory, BLOCK_BYTES);
    tokio::time::advance(Duration::from_millis(10)).await;
    let mut stalled = receive(&memory, 3 * BLOCK_BYTES);
    tokio::time::advance(Duration::from_millis(10)).await;
    slow.append(&[b'x'; BLOCK_BYTES]).expect("room for the body");
    tokio::time::advance(Duration::from_millis(10)).await;
    let newest = receive(&memory, 4 * BLOCK_BYTES);
    assert_eq!(refused.get(), 0);
    let another = receive(&memory, 2 * BLOCK_BYTES);
    assert_eq!(refused.get(), 1);
    assert!(is_refused(&stalled).await);
    assert_eq!(stalled.append(b"x"), Err(BodyRefused));
    assert_eq!(stalled.finish(), Err(BodyRefused));
    for body in [slow, newest, another] {
        assert!(!is_refused(&body).await);
        body.finish().expect("a body that was not refused");
    }
}

// Guards against: a caller that sends single bytes keeps its memory while one that sends fast loses it.
#[tokio::test(start_paused = true)]
async fn single_bytes_do_not_count_as_progress() {
    let (memory, _) = memory();
    let mut dripping = receive(&memory, 3 * BLOCK_BYTES);
    tokio::time::advance(Duration::from_secs(1)).await;
    let fast = receive(&memory, 4 * BLOCK_BYTES);
    tokio::time::advance(Duration::from_millis(10)).await;
    dripping.append(b"x").expect("room for the body");
    let _another = receive(&memory, 4 * BLOCK_BYTES);
    assert!(is_refused(&dripping).await);
    assert!(!is_refused(&fast).await);
}

#[test]
fn complete_bodies_are_kept_and_a_body_beyond_them_is_refused() {
    let (memory, refused) = memory();
    let complete: Vec<Bytes> = (0..2)
        .map(|_| receive(&memory, 4 * BLOCK_BYTES).finish().expect("a complete body"))
        .collect();
    let partial = receive(&memory, BLOCK_BYTES);
    assert!(memory.receive(3 * BLOCK_BYTES as u64).is_err());
    assert_eq!(refused.get(), 1, "refusing the partial body would not make enough room");
    partial.finish().expect("a body that was not refused");
    // The length of this one is not known beforehand.
    let mut body = memory.receive(0).expect("room for the body");
    assert_eq!(body.append(&[b'x'; 3 * BLOCK_BYTES]), Err(BodyRefused));
    assert_eq!(refused.get(), 2);
    drop(complete);
    receive(&memory, 3 * BLOCK_BYTES).finish().expect("room for the body");
}

#[test]
fn short_bodies_are_accepted_whatever_the_others_hold() {
    let (memory, _) = memory();
    let _held: Vec<Bytes> = (0..2)
        .map(|_| receive(&memory, 4 * BLOCK_BYTES).finish().expect("a complete body"))
        .collect();
    let _partial = receive(&memory, 2 * BLOCK_BYTES);
    let held_bytes = memory.held_bytes();
    for _ in 0..100 {
        receive(&memory, UNCOUNTED_BYTES).finish().expect("a short body");
    }
    assert_eq!(memory.held_bytes(), held_bytes);
}

#[test]
fn body_that_is_alone_is_received_whatever_the_limit_is() {
    let memory = Arc::new(BodyMemory::new(1000, Counter::default()));
    let body = receive(&memory, MAX_BODY_BYTES);
    assert_eq!(body.finish().expect("a complete body").len(), MAX_BODY_BYTES);
}

#[test]
fn complete_body_of_another_vm_is_held_if_there_is_room() {
    let (memory, refused) = memory();
    let body = Bytes::from(vec![b'x'; LIMIT_BYTES / 2 + 1]);
    let held = memory.hold(body.clone()).expect("room for the body");
    assert_eq!(held, body);
    assert_eq!(memory.hold(body.clone()), Err(BodyRefused));
    assert_eq!(refused.get(), 1);
    drop(held);
    assert_eq!(memory.held_bytes(), 0);
    memory.hold(body).expect("room for the body");
}
