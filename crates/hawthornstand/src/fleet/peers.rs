//! Open links to other VMs, and the requests and facts sent over them.

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

/// Time for which a VM that failed to answer counts as unreachable and is not chosen, for example as a relay.
const UNREACHABLE_PERIOD: Duration = Duration::from_secs(3);

/// Errors of a request to another VM.
#[derive(Clone, Copy, Debug, displaydoc::Display, Eq, PartialEq, thiserror::Error)]
pub enum RequestError {
    /// the link was lost; the request may have arrived
    Lost,
    /// the request was not sent
    NotSent,
    /// no response before the deadline; the request may have arrived
    Timeout,
}

/// Open link to another VM.
pub struct Link {
    /// `Hello` frame of the other VM.
    pub hello: Hello,
    /// Whether this VM opened the link for a request and not as a gossip link.
    pub on_demand: bool,
    frames: mpsc::Sender<Frame>,
    heartbeat: Mutex<Option<(Heartbeat, Instant)>>,
    last_request_at: Mutex<Instant>,
    /// Sorted by request id.
    pending: Mutex<Vec<(u64, oneshot::Sender<PeerResponse>)>>,
}

impl Link {
    /// Creates a link after its handshake; frames are queued in `frames`.
    pub fn new(hello: Hello, on_demand: bool, frames: mpsc::Sender<Frame>) -> Self {
        Self {
            hello,
            on_demand,
            frames,
            heartbeat: Mutex::new(None),
            last_request_at: Mutex::new(Instant::now()),
            pending: Mutex::default(),
        }
    }

    /// Queues a frame; returns false if the queue is full or closed, and the frame is dropped.
    ///
    /// Later heartbeats make up for dropped gossip.
    pub fn enqueue(&self, frame: Frame) -> bool {
        self.frames.try_send(frame).is_ok()
    }

    /// Completes the pending request with a response; a late or repeated response is dropped.
    pub fn complete_request(&self, id: u64, response: PeerResponse) {
        let mut pending = lock(&self.pending);
        let Ok(index) = pending.binary_search_by_key(&id, |(other, _)| *other) else { return };
        let (_, sender) = pending.remove(index);
        drop(pending);
        // Sending fails if the requester has just stopped waiting.
        let _ = sender.send(response);
    }

    /// Fails every pending request with [`RequestError::Lost`].
    pub fn fail_pending(&self) {
        lock(&self.pending).clear();
    }

    /// Returns the number of pending requests.
    pub fn requests_in_flight(&self) -> u32 {
        lock(&self.pending).len() as u32
    }

    /// Stores the last heartbeat and when it arrived.
    pub fn record_heartbeat(&self, heartbeat: Heartbeat, now: Instant) {
        *lock(&self.heartbeat) = Some((heartbeat, now));
    }

    /// Returns the last heartbeat and when it arrived.
    pub fn heartbeat(&self) -> Option<(Heartbeat, Instant)> {
        lock(&self.heartbeat).clone()
    }

    /// Returns the time since the last request was sent; zero while requests are pending.
    pub fn idle_for(&self, now: Instant) -> Duration {
        if self.requests_in_flight() > 0 {
            return Duration::ZERO;
        }
        now.saturating_duration_since(*lock(&self.last_request_at))
    }
}

/// Guard that removes a pending request and cancels it on the other VM when its caller stops waiting.
struct PendingRequestGuard<'a> {
    done: bool,
    id: u64,
    link: &'a Link,
}

impl Drop for PendingRequestGuard<'_> {
    fn drop(&mut self) {
        if self.done {
            return;
        }
        let mut pending = lock(&self.link.pending);
        if let Ok(index) = pending.binary_search_by_key(&self.id, |(other, _)| *other) {
            pending.remove(index);
        }
        drop(pending);
        self.link.enqueue(Frame::Cancel { id: self.id });
    }
}

/// Opens a link when a request needs one.
pub trait Dial: Send + Sync {
    /// Opens a link to an address and, if that succeeds, adds it to [`Peers`].
    fn dial<'a>(&'a self, address: &'a str) -> BoxFuture<'a, ()>;
}

/// All links of this VM.
#[derive(Default)]
pub struct Peers {
    dialer: OnceLock<Box<dyn Dial>>,
    dialing: tokio::sync::Mutex<()>,
    /// Sorted by VM id; there may be two links to a VM.
    links: Mutex<Vec<Arc<Link>>>,
    next_request: AtomicU64,
    next_sequence: AtomicU64,
    /// Sorted by VM id.
    unreachable: Mutex<Vec<(VmId, Instant)>>,
}

impl Peers {
    /// Sets the dialer that opens links for requests; without one, requests use only links that are already open.
    pub fn set_dialer(&self, dialer: Box<dyn Dial>) {
        if self.dialer.set(dialer).is_err() {
            log::warn!("a dialer is already set; the second one is ignored");
        }
    }

    /// Sends a request to a VM, over an open link or a new one, and waits for the response.
    ///
    /// A VM that fails to answer is marked as unreachable.
    pub async fn request(
        &self,
        list: &PeerVmList,
        vm_id: &VmId,
        request: PeerRequest,
        deadline: Instant,
    ) -> Result<PeerResponse, RequestError> {
        let opened = tokio::time::timeout_at(deadline, self.find_or_dial(list, vm_id)).await;
        let Ok(Some(link)) = opened else {
            self.mark_unreachable(vm_id);
            return Err(RequestError::NotSent);
        };
        let id = self.next_request.fetch_add(1, Ordering::Relaxed);
        let (sender, receiver) = oneshot::channel();
        {
            let mut pending = lock(&link.pending);
            let index = pending.partition_point(|(other, _)| *other < id);
            pending.insert(index, (id, sender));
        }
        let mut guard = PendingRequestGuard { done: false, id, link: &link };
        *lock(&link.last_request_at) = Instant::now();
        if !link.enqueue(Frame::Request { id, request }) {
            return Err(RequestError::NotSent);
        }
        match tokio::time::timeout_at(deadline, receiver).await {
            Ok(Ok(response)) => {
                guard.done = true;
                Ok(response)
            }
            Ok(Err(_)) => {
                guard.done = true;
                self.mark_unreachable(vm_id);
                Err(RequestError::Lost)
            }
            Err(_) => {
                self.mark_unreachable(vm_id);
                Err(RequestError::Timeout)
            }
        }
    }

    /// Sends new facts of this VM to all linked VMs.
    pub fn broadcast_facts(&self, bodies: Vec<FactBody>) {
        let facts = bodies.into_iter().map(|body| self.new_fact(body)).collect();
        self.broadcast(&Frame::Facts { facts }, None);
    }

    /// Creates a fact with the next sequence number.
    ///
    /// The origin 0 stands for the sender of the link over which the fact arrives; the receiver fills it in.
    pub fn new_fact(&self, body: FactBody) -> Fact {
        Fact { body, origin: 0, sequence: self.next_sequence.fetch_add(1, Ordering::Relaxed) + 1 }
    }

    /// Queues a frame once for every linked VM except the given one.
    pub fn broadcast(&self, frame: &Frame, except: Option<&VmId>) {
        let mut last_sent: Option<VmId> = None;
        for link in self.all() {
            let vm_id = &link.hello.vm_id;
            if Some(vm_id) == except || last_sent.as_ref() == Some(vm_id) {
                continue;
            }
            if link.enqueue(frame.clone()) {
                last_sent = Some(vm_id.clone());
            }
        }
    }

    /// Adds a link; its VM no longer counts as unreachable.
    pub fn add(&self, link: Arc<Link>) {
        self.clear_unreachable(&link.hello.vm_id);
        let mut links = lock(&self.links);
        let index = links.partition_point(|other| other.hello.vm_id <= link.hello.vm_id);
        links.insert(index, link);
    }

    /// Removes a link and fails its pending requests.
    pub fn remove(&self, link: &Arc<Link>) {
        lock(&self.links).retain(|other| !Arc::ptr_eq(other, link));
        link.fail_pending();
    }

    /// Returns every open link, sorted by VM id.
    pub fn all(&self) -> Vec<Arc<Link>> {
        lock(&self.links).clone()
    }

    /// Returns an open link to a VM, the last one added if there are two.
    pub fn find(&self, vm_id: &str) -> Option<Arc<Link>> {
        let links = lock(&self.links);
        let index = links.partition_point(|link| link.hello.vm_id.as_str() <= vm_id);
        let link = links.get(index.checked_sub(1)?)?;
        (link.hello.vm_id == vm_id).then(|| Arc::clone(link))
    }

    /// Returns whether a VM failed to answer within the last `UNREACHABLE_PERIOD`.
    pub fn is_unreachable(&self, vm_id: &str) -> bool {
        let unreachable = lock(&self.unreachable);
        let Ok(index) = unreachable.binary_search_by(|(other, _)| other.as_str().cmp(vm_id)) else {
            return false;
        };
        unreachable[index].1.elapsed() < UNREACHABLE_PERIOD
    }

    /// Marks a VM as unreachable.
    pub fn mark_unreachable(&self, vm_id: &str) {
        let mut unreachable = lock(&self.unreachable);
        match unreachable.binary_search_by(|(other, _)| other.as_str().cmp(vm_id)) {
            Ok(index) => unreachable[index].1 = Instant::now(),
            Err(index) => unreachable.insert(index, (vm_id.to_string(), Instant::now())),
        }
    }

    /// Returns the number of pending requests to a VM.
    pub fn requests_in_flight(&self, vm_id: &str) -> u32 {
        self.find(vm_id).map_or(0, |link| link.requests_in_flight())
    }

    /// Returns an open link to a VM, or opens one if the list contains the VM as an entry VM.
    ///
    /// Links are opened one at a time, so that concurrent requests do not open several to the same VM.
    async fn find_or_dial(&self, list: &PeerVmList, vm_id: &VmId) -> Option<Arc<Link>> {
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

    /// Removes the mark that a VM is unreachable.
    fn clear_unreachable(&self, vm_id: &str) {
        lock(&self.unreachable).retain(|(other, _)| other != vm_id);
    }
}
