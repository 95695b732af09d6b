//! Links to other VMs: who is linked, requests over links, and facts spread over them.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Duration;

use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use crate::backends::backend_client::BoxFuture;
use crate::ids::VmId;
use crate::locks::lock;
use crate::messages::{
    Fact, FactBody, Frame, Heartbeat, Hello, PeerRequest, PeerResponse, PeerVmList,
};

/// Time for which a VM that could not be reached is not tried again for requests.
const UNREACHABLE_PENALTY: Duration = Duration::from_secs(3);

/// Why a request to another VM has no answer.
#[derive(Clone, Copy, Debug, displaydoc::Display, Eq, PartialEq, thiserror::Error)]
pub enum RequestError {
    /// the link was lost; the request may have arrived
    Lost,
    /// nothing was sent
    NotSent,
    /// no answer within the deadline; the request may have arrived
    Timeout,
}

/// One open link.
pub struct Link {
    pub hello: Hello,
    /// Whether this VM opened it for a request rather than for gossip.
    pub on_demand: bool,
    frames: mpsc::Sender<Frame>,
    heartbeat: Mutex<Option<(Heartbeat, Instant)>>,
    last_used: Mutex<Instant>,
    /// Sorted by correlation id.
    pending: Mutex<Vec<(u64, oneshot::Sender<PeerResponse>)>>,
}

impl Link {
    /// Creates the state of a link whose greeting is done.
    pub fn new(hello: Hello, on_demand: bool, frames: mpsc::Sender<Frame>) -> Self {
        Self {
            hello,
            on_demand,
            frames,
            heartbeat: Mutex::new(None),
            last_used: Mutex::new(Instant::now()),
            pending: Mutex::default(),
        }
    }

    /// Queues a frame; a full queue drops it, which heartbeats make up for.
    pub fn offer(&self, frame: Frame) -> bool {
        self.frames.try_send(frame).is_ok()
    }

    /// Hands a response to the request that waits for it; a late or repeated one is dropped.
    pub fn complete(&self, id: u64, response: PeerResponse) {
        let mut pending = lock(&self.pending);
        let Ok(index) = pending.binary_search_by_key(&id, |(known, _)| *known) else { return };
        let (_, sender) = pending.remove(index);
        drop(pending);
        // The requester may have given up in this moment.
        let _ = sender.send(response);
    }

    /// Ends every waiting request as lost.
    pub fn fail_pending(&self) {
        lock(&self.pending).clear();
    }

    /// Returns the number of requests waiting for a response.
    pub fn requests_in_flight(&self) -> u32 {
        lock(&self.pending).len() as u32
    }

    /// Takes a heartbeat over.
    pub fn note_heartbeat(&self, heartbeat: Heartbeat, now: Instant) {
        *lock(&self.heartbeat) = Some((heartbeat, now));
    }

    /// Returns the last heartbeat and when it came.
    pub fn heartbeat(&self) -> Option<(Heartbeat, Instant)> {
        lock(&self.heartbeat).clone()
    }

    /// Returns how long the link has carried no request.
    pub fn idle_for(&self, now: Instant) -> Duration {
        if self.requests_in_flight() > 0 {
            return Duration::ZERO;
        }
        now.saturating_duration_since(*lock(&self.last_used))
    }
}

/// Removes a request that nobody waits for any more and withdraws it at the other side.
struct PendingGuard<'a> {
    done: bool,
    id: u64,
    link: &'a Link,
}

impl Drop for PendingGuard<'_> {
    fn drop(&mut self) {
        if self.done {
            return;
        }
        let mut pending = lock(&self.link.pending);
        if let Ok(index) = pending.binary_search_by_key(&self.id, |(known, _)| *known) {
            pending.remove(index);
        }
        drop(pending);
        self.link.offer(Frame::Cancel { id: self.id });
    }
}

/// Opens links when a request needs one.
pub trait Dial: Send + Sync {
    /// Opens a link to an address and adds it, if that succeeds.
    fn dial<'a>(&'a self, address: &'a str) -> BoxFuture<'a, ()>;
}

/// All links of this VM.
#[derive(Default)]
pub struct Peers {
    dialer: OnceLock<Box<dyn Dial>>,
    dialing: tokio::sync::Mutex<()>,
    /// Sorted by VM identity; two VMs may hold two links.
    links: Mutex<Vec<Arc<Link>>>,
    next_request: AtomicU64,
    next_sequence: AtomicU64,
    /// Sorted by VM identity.
    unreachable: Mutex<Vec<(VmId, Instant)>>,
}

impl Peers {
    /// Sets how links are opened for requests; without it only links that others opened are used.
    pub fn set_dialer(&self, dialer: Box<dyn Dial>) {
        if self.dialer.set(dialer).is_err() {
            log::warn!("links are opened in two ways; the first is used");
        }
    }

    /// Sends a request to a VM, over an open link or a new one, and waits for its response.
    pub async fn request(
        &self,
        list: &PeerVmList,
        vm_id: &VmId,
        request: PeerRequest,
        deadline: Instant,
    ) -> Result<PeerResponse, RequestError> {
        let opened = tokio::time::timeout_at(deadline, self.link_to(list, vm_id)).await;
        let Ok(Some(link)) = opened else {
            self.note_unreachable(vm_id);
            return Err(RequestError::NotSent);
        };
        let id = self.next_request.fetch_add(1, Ordering::Relaxed);
        let (sender, receiver) = oneshot::channel();
        {
            let mut pending = lock(&link.pending);
            let index = pending.partition_point(|(known, _)| *known < id);
            pending.insert(index, (id, sender));
        }
        let mut guard = PendingGuard { done: false, id, link: &link };
        *lock(&link.last_used) = Instant::now();
        if !link.offer(Frame::Request { id, request }) {
            return Err(RequestError::NotSent);
        }
        match tokio::time::timeout_at(deadline, receiver).await {
            Ok(Ok(response)) => {
                guard.done = true;
                Ok(response)
            }
            Ok(Err(_)) => {
                guard.done = true;
                self.note_unreachable(vm_id);
                Err(RequestError::Lost)
            }
            Err(_) => {
                self.note_unreachable(vm_id);
                Err(RequestError::Timeout)
            }
        }
    }

    /// Spreads facts that this VM states first.
    pub fn broadcast_facts(&self, bodies: Vec<FactBody>) {
        let facts = bodies.into_iter().map(|body| self.state_fact(body)).collect();
        self.broadcast(&Frame::Facts { facts }, None);
    }

    /// Gives a fact its origin and number; the origin is left to the receiver's link where it is 0.
    pub fn state_fact(&self, body: FactBody) -> Fact {
        Fact { body, origin: 0, sequence: self.next_sequence.fetch_add(1, Ordering::Relaxed) + 1 }
    }

    /// Queues a frame on every link, but for one VM.
    pub fn broadcast(&self, frame: &Frame, except: Option<&VmId>) {
        let mut last_sent: Option<VmId> = None;
        for link in self.all() {
            let vm_id = &link.hello.vm_id;
            if Some(vm_id) == except || last_sent.as_ref() == Some(vm_id) {
                continue;
            }
            if link.offer(frame.clone()) {
                last_sent = Some(vm_id.clone());
            }
        }
    }

    /// Registers a link.
    pub fn add(&self, link: Arc<Link>) {
        self.forget_unreachable(&link.hello.vm_id);
        let mut links = lock(&self.links);
        let index = links.partition_point(|known| known.hello.vm_id <= link.hello.vm_id);
        links.insert(index, link);
    }

    /// Removes a link and ends its waiting requests.
    pub fn remove(&self, link: &Arc<Link>) {
        lock(&self.links).retain(|known| !Arc::ptr_eq(known, link));
        link.fail_pending();
    }

    /// Returns every open link, sorted by VM.
    pub fn all(&self) -> Vec<Arc<Link>> {
        lock(&self.links).clone()
    }

    /// Returns an open link to a VM.
    pub fn find(&self, vm_id: &str) -> Option<Arc<Link>> {
        let links = lock(&self.links);
        let index = links.partition_point(|link| link.hello.vm_id.as_str() <= vm_id);
        let link = links.get(index.checked_sub(1)?)?;
        (link.hello.vm_id == vm_id).then(|| Arc::clone(link))
    }

    /// Returns whether a VM failed to answer a moment ago.
    pub fn is_unreachable(&self, vm_id: &str) -> bool {
        let unreachable = lock(&self.unreachable);
        let Ok(index) = unreachable.binary_search_by(|(known, _)| known.as_str().cmp(vm_id)) else {
            return false;
        };
        unreachable[index].1.elapsed() < UNREACHABLE_PENALTY
    }

    /// Notes that a VM failed to answer.
    pub fn note_unreachable(&self, vm_id: &str) {
        let mut unreachable = lock(&self.unreachable);
        match unreachable.binary_search_by(|(known, _)| known.as_str().cmp(vm_id)) {
            Ok(index) => unreachable[index].1 = Instant::now(),
            Err(index) => unreachable.insert(index, (vm_id.to_string(), Instant::now())),
        }
    }

    /// Returns the requests waiting for a VM.
    pub fn requests_in_flight(&self, vm_id: &str) -> u32 {
        self.find(vm_id).map_or(0, |link| link.requests_in_flight())
    }

    /// Returns an open link, dialing the VM if it is listed.
    async fn link_to(&self, list: &PeerVmList, vm_id: &VmId) -> Option<Arc<Link>> {
        if let Some(link) = self.find(vm_id) {
            return Some(link);
        }
        let index = list.vms.binary_search_by(|vm| vm.id.cmp(vm_id)).ok()?;
        if !list.vms[index].entry {
            return None;
        }
        let _dialing = self.dialing.lock().await;
        if let Some(link) = self.find(vm_id) {
            return Some(link);
        }
        self.dialer.get()?.dial(&list.vms[index].address).await;
        self.find(vm_id)
    }

    /// Forgets that a VM failed to answer.
    fn forget_unreachable(&self, vm_id: &str) {
        lock(&self.unreachable).retain(|(known, _)| known != vm_id);
    }
}
