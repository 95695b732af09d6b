//! Limits the memory that the bodies of requests hold together.

use std::sync::{Arc, Mutex};

use bytes::Bytes;
use prometheus_client::metrics::counter::Counter;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::locks::lock;

/// Bytes of each body that do not count: short bodies are accepted whatever the others hold.
pub const UNCOUNTED_BYTES: usize = 4096;
/// Size of the blocks in which a body is received. Growing one buffer by copying would leave gaps of all sizes behind,
/// which an allocator keeps.
pub const BLOCK_BYTES: usize = 16 * 1024;
/// Bytes that a body has to receive until it counts as moving again, so that single bytes do not keep it.
const PROGRESS_BYTES: usize = 4096;

/// Number of a body in [`BodyMemory`].
type BodyId = u64;

/// The body was refused because those of all requests hold too much memory.
#[derive(Clone, Copy, Debug, displaydoc::Display, Eq, PartialEq, thiserror::Error)]
#[displaydoc("the bodies of all requests hold too much memory")]
pub struct BodyRefused;

/// Whether a body has received enough to count as moving.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Progress {
    Moved,
    TooLittle,
}

/// Memory of the bodies that are being received or belong to a running request.
///
/// If it is used up, the body that has not moved for the longest time is refused.
pub struct BodyMemory {
    bodies: Mutex<Bodies>,
    limit_bytes: usize,
    refused: Counter,
}

#[derive(Default)]
struct Bodies {
    held_bytes: usize,
    next_id: BodyId,
    /// Sorted by id.
    receiving: Vec<PartialBody>,
}

/// A body that is not complete.
struct PartialBody {
    /// All but the last are full.
    blocks: Vec<Vec<u8>>,
    id: BodyId,
    moved_at: Instant,
    received_since_moved_bytes: usize,
    refused: Arc<Notify>,
}

/// A body that is being received; its memory is released when this is dropped.
pub struct ReceivingBody<'a> {
    /// Holds a body that does not count yet.
    first: Vec<u8>,
    memory: &'a Arc<BodyMemory>,
    partial: Option<(BodyId, Arc<Notify>)>,
}

/// A complete body, whose memory is released with the last reference to its bytes.
struct HeldBody {
    bytes: Bytes,
    held_bytes: usize,
    memory: Arc<BodyMemory>,
}

impl AsRef<[u8]> for HeldBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for HeldBody {
    fn drop(&mut self) {
        lock(&self.memory.bodies).held_bytes -= self.held_bytes;
    }
}

impl BodyMemory {
    /// Creates the memory for bodies that hold `limit_bytes` together; `refused` counts the bodies that are refused.
    pub fn new(limit_bytes: usize, refused: Counter) -> Self {
        Self { bodies: Mutex::default(), limit_bytes, refused }
    }

    /// Returns the bytes that are held.
    pub fn held_bytes(&self) -> usize {
        lock(&self.bodies).held_bytes
    }

    /// Begins to receive a body that has at least `expected_bytes`.
    ///
    /// # Errors
    ///
    /// Returns an error if complete bodies leave no room for it.
    pub fn receive(
        self: &Arc<Self>,
        expected_bytes: u64,
    ) -> Result<ReceivingBody<'_>, BodyRefused> {
        if expected_bytes > UNCOUNTED_BYTES as u64 {
            let bodies = lock(&self.bodies);
            let complete_bytes = bodies.held_bytes - bodies.refusable_bytes(None);
            self.check_room(complete_bytes, 0, expected_bytes)?;
        }
        Ok(ReceivingBody { first: Vec::new(), memory: self, partial: None })
    }

    /// Holds a body that is complete.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no room for it.
    pub fn hold(self: &Arc<Self>, bytes: Bytes) -> Result<Bytes, BodyRefused> {
        let held_bytes = bytes.len();
        if held_bytes <= UNCOUNTED_BYTES {
            return Ok(bytes);
        }
        self.reserve(&mut lock(&self.bodies), None, held_bytes)?;
        Ok(Bytes::from_owner(HeldBody { bytes, held_bytes, memory: Arc::clone(self) }))
    }

    /// Checks whether bytes can be added to a body beside what cannot be refused any more, which includes its own bytes.
    fn check_room(
        &self,
        kept_bytes: usize,
        own_bytes: usize,
        added_bytes: u64,
    ) -> Result<(), BodyRefused> {
        // A body that is alone is received whatever the limit is.
        let is_alone = kept_bytes == own_bytes;
        if is_alone || (kept_bytes as u64).saturating_add(added_bytes) <= self.limit_bytes as u64 {
            return Ok(());
        }
        self.refused.inc();
        Err(BodyRefused)
    }

    /// Adds received bytes to the blocks of a body.
    fn fill_blocks(
        &self,
        bodies: &mut Bodies,
        id: BodyId,
        mut bytes: &[u8],
    ) -> Result<(), BodyRefused> {
        while !bytes.is_empty() {
            let body = bodies.get(id).ok_or(BodyRefused)?;
            if body.blocks.last().is_none_or(|block| block.len() == BLOCK_BYTES) {
                self.reserve(bodies, Some(id), BLOCK_BYTES)?;
                let block = Vec::with_capacity(BLOCK_BYTES);
                bodies.get_mut(id).ok_or(BodyRefused)?.blocks.push(block);
            }
            let body = bodies.get_mut(id).ok_or(BodyRefused)?;
            let Some(block) = body.blocks.last_mut() else { return Err(BodyRefused) };
            let (fitting, rest) = bytes.split_at(bytes.len().min(BLOCK_BYTES - block.len()));
            block.extend_from_slice(fitting);
            bytes = rest;
        }
        Ok(())
    }

    /// Adds bytes for the body `id`, or for a new one; refuses others if there is no room.
    fn reserve(
        &self,
        bodies: &mut Bodies,
        id: Option<BodyId>,
        added_bytes: usize,
    ) -> Result<(), BodyRefused> {
        let own_bytes = id.and_then(|id| bodies.get(id)).map_or(0, PartialBody::held_bytes);
        let kept_bytes = bodies.held_bytes - bodies.refusable_bytes(id);
        self.check_room(kept_bytes, own_bytes, added_bytes as u64)?;
        while bodies.held_bytes + added_bytes > self.limit_bytes {
            let others =
                bodies.receiving.iter().enumerate().filter(|(_, body)| Some(body.id) != id);
            let Some((index, _)) = others.min_by_key(|(_, body)| body.moved_at) else { break };
            let body = bodies.receiving.remove(index);
            bodies.held_bytes -= body.held_bytes();
            body.refused.notify_one();
            self.refused.inc();
        }
        bodies.held_bytes += added_bytes;
        Ok(())
    }
}

impl PartialBody {
    fn held_bytes(&self) -> usize {
        self.blocks.len() * BLOCK_BYTES
    }

    fn length_bytes(&self) -> usize {
        self.blocks.iter().map(Vec::len).sum()
    }
}

impl Bodies {
    /// Returns the bytes of the bodies that can still be refused, except one.
    fn refusable_bytes(&self, except: Option<BodyId>) -> usize {
        let others = self.receiving.iter().filter(|body| Some(body.id) != except);
        others.map(PartialBody::held_bytes).sum()
    }

    /// Returns a body; none if it was refused.
    fn get(&self, id: BodyId) -> Option<&PartialBody> {
        let index = self.receiving.binary_search_by_key(&id, |body| body.id).ok()?;
        self.receiving.get(index)
    }

    /// Returns a body; none if it was refused.
    fn get_mut(&mut self, id: BodyId) -> Option<&mut PartialBody> {
        let index = self.receiving.binary_search_by_key(&id, |body| body.id).ok()?;
        self.receiving.get_mut(index)
    }

    /// Removes a body; none if it was refused. Its bytes still count.
    fn remove(&mut self, id: BodyId) -> Option<PartialBody> {
        let index = self.receiving.binary_search_by_key(&id, |body| body.id).ok()?;
        Some(self.receiving.remove(index))
    }
}

impl ReceivingBody<'_> {
    /// Adds received bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if the body was refused.
    pub fn append(&mut self, bytes: &[u8]) -> Result<Progress, BodyRefused> {
        if self.partial.is_none() && self.first.len() + bytes.len() <= UNCOUNTED_BYTES {
            self.first.extend_from_slice(bytes);
            return Ok(Progress::TooLittle);
        }
        let memory = self.memory;
        let mut bodies = lock(&memory.bodies);
        let first = std::mem::take(&mut self.first);
        let id = match &self.partial {
            Some((id, _)) => *id,
            None => self.begin_counting(&mut bodies),
        };
        memory.fill_blocks(&mut bodies, id, &first)?;
        memory.fill_blocks(&mut bodies, id, bytes)?;
        let body = bodies.get_mut(id).ok_or(BodyRefused)?;
        body.received_since_moved_bytes += bytes.len();
        if body.received_since_moved_bytes < PROGRESS_BYTES {
            return Ok(Progress::TooLittle);
        }
        (body.moved_at, body.received_since_moved_bytes) = (Instant::now(), 0);
        Ok(Progress::Moved)
    }

    /// Adds the body to those that count, without bytes.
    fn begin_counting(&mut self, bodies: &mut Bodies) -> BodyId {
        let (id, refused) = (bodies.next_id, Arc::new(Notify::new()));
        bodies.next_id += 1;
        bodies.receiving.push(PartialBody {
            blocks: Vec::new(),
            id,
            moved_at: Instant::now(),
            received_since_moved_bytes: 0,
            refused: Arc::clone(&refused),
        });
        self.partial = Some((id, refused));
        id
    }

    /// Waits until the body is refused.
    pub async fn refused(&self) {
        match &self.partial {
            Some((_, refused)) => refused.notified().await,
            None => std::future::pending().await,
        }
    }

    /// Returns the complete body.
    ///
    /// # Errors
    ///
    /// Returns an error if the body was refused.
    pub fn finish(mut self) -> Result<Bytes, BodyRefused> {
        let Some((id, _)) = self.partial.take() else {
            return Ok(std::mem::take(&mut self.first).into());
        };
        let body = {
            let mut bodies = lock(&self.memory.bodies);
            let body = bodies.remove(id).ok_or(BodyRefused)?;
            bodies.held_bytes -= body.held_bytes() - body.length_bytes();
            body
        };
        let held_bytes = body.length_bytes();
        let bytes = body.blocks.concat().into();
        Ok(Bytes::from_owner(HeldBody { bytes, held_bytes, memory: Arc::clone(self.memory) }))
    }
}

impl Drop for ReceivingBody<'_> {
    fn drop(&mut self) {
        let Some((id, _)) = self.partial.take() else { return };
        let mut bodies = lock(&self.memory.bodies);
        if let Some(body) = bodies.remove(id) {
            bodies.held_bytes -= body.held_bytes();
        }
    }
}
