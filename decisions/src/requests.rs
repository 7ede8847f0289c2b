//! Arena of requests in progress.

use slotmap::SlotMap;

use crate::flows::FlowKey;
use crate::ids::{
    BackendServerId,
    RequestId, //
};
use crate::packet::Packet;
use crate::time::Time;

slotmap::new_key_type! {
    pub struct RequestKey;
}

/// State of a request in progress.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Progress {
    /// It waits for a slot and has not been sent to the backend server.
    Queued {
        /// Time at which it is refused.
        until: Time,
    },
    /// It was sent to its backend server and takes a slot.
    Running,
    /// Its backend server was sent a [`Cancel`](crate::packet::PacketKind::Cancel) packet. It keeps
    /// its slot until it ends, at most until `until`.
    Cancelling {
        /// Time at which the slot is considered free.
        until: Time,
    },
}

impl Progress {
    /// Returns whether the request takes a slot, which is one unit of its backend server's
    /// concurrency limit.
    pub fn takes_slot(self) -> bool {
        !matches!(self, Progress::Queued { .. })
    }
}

/// A request in progress.
#[derive(Clone, Debug)]
pub struct Request {
    /// Identifier, unique in its flow.
    pub id: RequestId,
    pub flow: FlowKey,
    /// Backend server that it waits for or runs on.
    pub backend_server: BackendServerId,
    pub progress: Progress,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Time at which the caller stops waiting.
    pub deadline: Option<Time>,
    /// Latest attempt of the caller, 0 for the first.
    pub attempt: u8,
    /// Number of times it may have run: the sends by this instance without those that were refused,
    /// plus 1 if it may have run before this instance received it. At most 1 for a non-idempotent
    /// request.
    pub sends: u8,
    /// Time at which it arrived at this instance.
    pub received: Time,
    /// Time at which it was last sent. While it is queued, the time at which it arrived.
    pub sent: Time,
    /// Number of answer parts that this instance received.
    pub parts: u32,
    /// Position of its backend server in the candidate list.
    pub candidate: u8,
    /// Packet that started it, kept for retries until the first answer part.
    pub packet: Option<Packet>,
    /// Next request in the linked list of the flow's requests, which begins at
    /// [`crate::flows::Flow::requests`] and has the newest request first.
    pub next: Option<RequestKey>,
}

/// Arena of requests in progress.
#[derive(Default)]
pub struct Requests {
    requests: SlotMap<RequestKey, Request>,
}

impl Requests {
    pub fn insert(&mut self, request: Request) -> RequestKey {
        self.requests.insert(request)
    }

    pub fn get(&self, key: RequestKey) -> Option<&Request> {
        self.requests.get(key)
    }

    pub fn get_mut(&mut self, key: RequestKey) -> Option<&mut Request> {
        self.requests.get_mut(key)
    }

    pub fn remove(&mut self, key: RequestKey) -> Option<Request> {
        self.requests.remove(key)
    }

    pub fn iter(&self) -> impl Iterator<Item = (RequestKey, &Request)> {
        self.requests.iter()
    }

    /// Returns the key of the request `id` in a flow's linked list that begins at `head`.
    pub fn find(&self, head: Option<RequestKey>, id: RequestId) -> Option<RequestKey> {
        self.list(head)
            .find(|(_, request)| request.id == id)
            .map(|(key, _)| key)
    }

    /// Returns the requests of a flow's linked list that begins at `head`, in this order.
    pub fn list(&self, head: Option<RequestKey>) -> impl Iterator<Item = (RequestKey, &Request)> {
        let mut next = head;
        std::iter::from_fn(move || {
            let key = next?;
            let request = self.requests.get(key)?;
            next = request.next;
            Some((key, request))
        })
    }

    pub fn len(&self) -> usize {
        self.requests.len()
    }

    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }
}
