//! Watches of the stand-in platform.

use bytes::Bytes;
use lovagespindle_store::generated::etcdserverpb::{
    ResponseHeader,
    WatchCreateRequest,
    WatchResponse, //
};
use lovagespindle_store::generated::mvccpb::Event;
use tokio::sync::mpsc;
use tonic::Status;

pub(crate) type Responses = mpsc::UnboundedSender<Result<WatchResponse, Status>>;

struct Watch {
    key: Bytes,
    end: Bytes,
    responses: Responses,
}

impl Watch {
    fn covers(&self, event: &Event) -> bool {
        let Some(kv) = &event.kv else {
            return false;
        };
        match self.end.is_empty() {
            true => kv.key == self.key,
            false => kv.key >= self.key && kv.key < self.end,
        }
    }

    /// Sends the events in the range of the watch and returns their number.
    fn send(&self, revision: i64, events: &[Event]) -> u64 {
        let events = events.iter().filter(|e| self.covers(e));
        let events: Vec<_> = events.cloned().collect();
        let sent = events.len() as u64;
        if !events.is_empty() {
            let header = Some(ResponseHeader { revision });
            // Fails only if the client has closed the stream.
            let _ = self.responses.send(Ok(WatchResponse {
                header,
                events,
                ..WatchResponse::default()
            }));
        }
        sent
    }
}

/// Open watches, and the history from which new ones can start.
#[derive(Default)]
pub(crate) struct Watches {
    watches: Vec<Watch>,
    history: Vec<(i64, Vec<Event>)>,
    /// Revision up to which the history has been discarded.
    compacted: i64,
}

impl Watches {
    /// Opens a watch and returns the number of past events sent to it.
    ///
    /// Cancels the watch if it starts at a compacted revision.
    pub(crate) fn open(
        &mut self,
        revision: i64,
        create: WatchCreateRequest,
        responses: Responses,
    ) -> u64 {
        let start = match create.start_revision {
            0 => revision + 1,
            start => start,
        };
        let refused = start <= self.compacted;
        let confirmation = WatchResponse {
            header: Some(ResponseHeader { revision }),
            created: true,
            canceled: refused,
            compact_revision: if refused { self.compacted + 1 } else { 0 },
            ..WatchResponse::default()
        };
        // Fails only if the client has closed the stream.
        let _ = responses.send(Ok(confirmation));
        if refused {
            return 0;
        }
        let watch = Watch {
            key: create.key,
            end: create.range_end,
            responses,
        };
        let past = self.history.iter().filter(|(r, _)| *r >= start);
        let sent = past.map(|(r, events)| watch.send(*r, events)).sum();
        self.watches.push(watch);
        sent
    }

    /// Sends the events of a call to all watches and returns the number of events sent.
    pub(crate) fn publish(&mut self, revision: i64, events: Vec<Event>) -> u64 {
        let watches = self.watches.iter();
        let sent = watches.map(|w| w.send(revision, &events)).sum();
        self.history.push((revision, events));
        sent
    }

    pub(crate) fn compact(&mut self, revision: i64) {
        self.history.clear();
        self.compacted = revision;
    }

    pub(crate) fn close_all(&mut self) {
        for watch in self.watches.drain(..) {
            let broken = Status::unavailable("the connection broke");
            // Fails only if the client has closed the stream.
            let _ = watch.responses.send(Err(broken));
        }
    }

    pub(crate) fn waiting(&mut self) -> usize {
        self.watches.retain(|w| !w.responses.is_closed());
        self.watches.len()
    }
}
