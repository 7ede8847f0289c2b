//! Watches the configuration log.

use kameo::actor::Recipient;
use log::debug;
use lovagespindle_decisions::Event;
use lovagespindle_decisions::config::Record;
use lovagespindle_decisions::ids::Revision;

use crate::backoff::Backoff;
use crate::client::Client;
use crate::error::StoreError;
use crate::generated::etcdserverpb::watch_request::RequestUnion;
use crate::generated::etcdserverpb::{
    WatchCreateRequest,
    WatchRequest,
    WatchResponse, //
};
use crate::generated::mvccpb::event::EventType;
use crate::keys;
use crate::read::{
    self,
    decode_change, //
};
use crate::store::deliver;

/// Delivers the records of the configuration log when they are written.
pub(crate) struct Watcher {
    pub(crate) client: Client,
    pub(crate) recipient: Recipient<Event>,
    pub(crate) backoff: Backoff,
    /// The last revision that was delivered.
    pub(crate) last: Revision,
    /// The store revision up to which all changes were delivered; `None` if the log must be read.
    pub(crate) store_revision: Option<i64>,
}

impl Watcher {
    /// Watches the log and reopens a broken watch, until the recipient has stopped.
    pub(crate) async fn run(mut self) {
        loop {
            match self.watch_log().await {
                Ok(()) => return,
                Err(StoreError::Compacted | StoreError::Gap { .. }) => self.store_revision = None,
                Err(error) => debug!("the watch on the configuration log failed: {error}"),
            }
            self.backoff.wait().await;
        }
    }

    /// Delivers records until the recipient has stopped or the watch fails.
    async fn watch_log(&mut self) -> Result<(), StoreError> {
        let store_revision = match self.store_revision {
            Some(store_revision) => store_revision,
            None => self.read().await?,
        };
        let mut watch = self
            .client
            .watch(create(store_revision.saturating_add(1)))
            .await?;
        self.backoff.reset();
        while let Some(response) = self.next(&mut watch.responses).await? {
            if response.canceled {
                return Err(StoreError::Compacted);
            }
            if !self.deliver_response(response).await? {
                return Ok(());
            }
        }
        self.client.report_broken_watch().await;
        Err(StoreError::Protocol)
    }

    async fn next(
        &self,
        responses: &mut tonic::Streaming<WatchResponse>,
    ) -> Result<Option<WatchResponse>, StoreError> {
        match responses.message().await {
            Ok(response) => Ok(response),
            Err(status) => {
                self.client.report_broken_watch().await;
                Err(status.into())
            }
        }
    }

    /// Reads and delivers the records after the last delivered one. Returns the store revision.
    async fn read(&mut self) -> Result<i64, StoreError> {
        let result = read::read_after(&self.client, self.last).await?;
        let store_revision = result.store_revision;
        if let Some(last) = deliver(&self.recipient, result).await {
            self.last = last;
        }
        self.store_revision = Some(store_revision);
        Ok(store_revision)
    }

    /// Delivers the records of a response. Returns `false` if the recipient has stopped.
    async fn deliver_response(&mut self, response: WatchResponse) -> Result<bool, StoreError> {
        let mut records: Vec<Record> = Vec::new();
        let mut last = self.last;
        // The revision in the header may be ahead of the events that were sent so far.
        let mut store_revision = self.store_revision;
        for event in response.events {
            let Some(kv) = event.kv else {
                return Err(StoreError::Protocol);
            };
            store_revision = store_revision.max(Some(kv.mod_revision));
            if event.r#type != i32::from(EventType::Put) {
                continue;
            }
            let record = decode_change(&kv)?;
            if record.revision <= last {
                continue;
            }
            if record.revision.0 != last.0 + 1 {
                return Err(StoreError::Gap { after: last });
            }
            last = record.revision;
            records.push(record);
        }
        self.store_revision = store_revision;
        self.last = last;
        if records.is_empty() {
            return Ok(true);
        }
        Ok(self.recipient.tell(Event::Records(records)).await.is_ok())
    }
}

fn create(start: i64) -> WatchRequest {
    WatchRequest {
        request_union: Some(RequestUnion::CreateRequest(WatchCreateRequest {
            key: keys::changes(),
            range_end: keys::changes_end(),
            start_revision: start,
        })),
    }
}
