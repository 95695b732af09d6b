//! How much memory the answers of backend servers may hold together.

use std::sync::Arc;

use hawthornstand::gateway::answer_memory::{AnswerMemory, AnswerPermit};

const KIB: usize = 1024;
const MIB: usize = 1024 * KIB;

/// Pattern: backend servers of many shards send bodies without end.
#[test]
fn endless_answers_are_cut_off_together() {
    let memory = Arc::new(AnswerMemory::default());
    let mut permits: Vec<AnswerPermit> =
        (0..200).map(|_| AnswerPermit::new(Arc::clone(&memory))).collect();
    let mut held = 0;
    for _ in 0..100 {
        for permit in &mut permits {
            held += if permit.grow(16 * KIB) { 16 * KIB } else { 0 };
        }
    }
    assert!(held <= 12 * MIB + 200 * 64 * KIB, "{held} bytes held");
}

#[test]
fn usual_answer_is_read_while_endless_ones_hold_all_memory() {
    let memory = Arc::new(AnswerMemory::default());
    let mut endless = AnswerPermit::new(Arc::clone(&memory));
    for _ in 0..1000 {
        endless.grow(64 * KIB);
    }
    let mut usual = AnswerPermit::new(Arc::clone(&memory));
    assert!(usual.grow(18_000));
    let mut long = AnswerPermit::new(Arc::clone(&memory));
    assert!(!long.grow(MIB));
    drop(endless);
    assert!(long.grow(MIB), "the memory of a dropped answer is free again");
}
