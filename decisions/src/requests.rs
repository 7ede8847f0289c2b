//! The arena of requests in progress.

use slotmap::SlotMap;

use crate::flows::FlowKey;
use crate::ids::{
    BackendServerId,
    RequestId, //
};
use crate::packet::Packet;
use crate::time::Time;

slotmap::new_key_type! {
    /// Key of a request in [`Requests`].
    pub struct RequestKey;
}

/// How far a request has come.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Progress {
    /// It waits for a slot; no backend server has seen it. Given up at `until`.
    Queued {
        /// When it is refused.
        until: Time,
    },
    /// Its backend server has it.
    Running,
    /// Its backend server was told to stop it. The slot is free at `until` at the latest.
    Cancelling {
        /// When the slot is taken for free.
        until: Time,
    },
}

impl Progress {
    /// Returns whether the request takes a slot.
    pub fn takes_slot(self) -> bool {
        !matches!(self, Progress::Queued { .. })
    }
}

/// A request in progress.
#[derive(Clone, Debug)]
pub struct Request {
    /// The request, unique in its flow.
    pub id: RequestId,
    /// Its flow.
    pub flow: FlowKey,
    /// The backend server that it waits for or runs on.
    pub backend_server: BackendServerId,
    /// How far it has come.
    pub progress: Progress,
    /// Whether running it twice does no harm.
    pub idempotent: bool,
    /// When its caller stops waiting.
    pub deadline: Option<Time>,
    /// The latest attempt of the caller.
    pub attempt: u8,
    /// How often it was sent to a backend server. At most 1 for a non-idempotent request, unless
    /// each earlier one was refused.
    pub sends: u8,
    /// When it arrived here.
    pub received: Time,
    /// When it was sent last.
    pub sent: Time,
    /// How many answer parts were passed on.
    pub parts: u32,
    /// The position of its backend server in the candidate list, for the next try.
    pub candidate: u8,
    /// The packet that started it. Kept until the first answer part, for another try.
    pub packet: Option<Packet>,
    /// The next request of the same flow.
    pub next: Option<RequestKey>,
}

/// The arena of requests in progress.
#[derive(Default)]
pub struct Requests {
    requests: SlotMap<RequestKey, Request>,
}

impl Requests {
    /// Adds a request.
    pub fn insert(&mut self, request: Request) -> RequestKey {
        self.requests.insert(request)
    }

    /// Returns a request.
    pub fn get(&self, key: RequestKey) -> Option<&Request> {
        self.requests.get(key)
    }

    /// Returns a request for change.
    pub fn get_mut(&mut self, key: RequestKey) -> Option<&mut Request> {
        self.requests.get_mut(key)
    }

    /// Removes a request.
    pub fn remove(&mut self, key: RequestKey) -> Option<Request> {
        self.requests.remove(key)
    }

    /// Returns all requests.
    pub fn iter(&self) -> impl Iterator<Item = (RequestKey, &Request)> {
        self.requests.iter()
    }

    /// Finds a request in the list that begins at `head`.
    pub fn find(&self, head: Option<RequestKey>, id: RequestId) -> Option<RequestKey> {
        self.list(head)
            .find(|(_, request)| request.id == id)
            .map(|(key, _)| key)
    }

    /// Returns the requests of the list that begins at `head`.
    pub fn list(&self, head: Option<RequestKey>) -> impl Iterator<Item = (RequestKey, &Request)> {
        let mut next = head;
        std::iter::from_fn(move || {
            let key = next?;
            let request = self.requests.get(key)?;
            next = request.next;
            Some((key, request))
        })
    }

    /// Returns how many requests there are.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Returns whether there is no request.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }
}
