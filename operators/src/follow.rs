//! Streams the timeline to one reader.

use std::sync::Arc;

use kameo::actor::ReplyRecipient;
use lovagespindle_decisions::config::Configuration;
use lovagespindle_decisions::state_change::StateChange;
use tokio::sync::broadcast::error::RecvError;
use tokio::sync::{
    mpsc,
    watch, //
};
use tonic::Status;

use crate::filter::{
    EntrySubject,
    Selection, //
};
use crate::generated::v1;
use crate::generated::v1::follow_response::Item;
use crate::messages::{
    ReadConfiguration,
    TimelineStream, //
};
use crate::names::Names;
use crate::timeline::Entry;

/// Signals that the reader ended its call.
struct ReaderClosed;

/// Task that sends the matching entries to one reader.
pub struct Follower {
    pub selection: Selection,
    /// Source of the configuration, read again whenever a new one becomes active.
    pub configuration: ReplyRecipient<ReadConfiguration, Arc<Configuration>>,
    pub sender: mpsc::Sender<Result<v1::FollowResponse, Status>>,
    /// Changes when the server stops.
    pub stopped: watch::Receiver<()>,
}

impl Follower {
    /// Runs until the reader ends its call or falls behind, or the server stops.
    pub async fn run(mut self, stream: TimelineStream) {
        let mut stopped = self.stopped.clone();
        tokio::select! {
            _ = self.send_all(stream) => {}
            _ = stopped.changed() => {}
        }
    }

    async fn send_all(&mut self, mut stream: TimelineStream) -> Result<(), ReaderClosed> {
        for entry in stream.history {
            self.send_entry(&entry).await?;
        }
        let caught_up = Item::CaughtUp(v1::CaughtUp {});
        self.send(caught_up, Names::default()).await?;
        let sender = self.sender.clone();
        loop {
            let next = tokio::select! {
                next = stream.live.recv() => next,
                () = sender.closed() => return Err(ReaderClosed),
            };
            match next {
                Ok(entry) => self.send_if_matching(&entry).await?,
                Err(RecvError::Closed) => return Ok(()),
                Err(RecvError::Lagged(count)) => return self.close_lagging(count).await,
            }
        }
    }

    async fn send_if_matching(&mut self, entry: &Entry) -> Result<(), ReaderClosed> {
        if let StateChange::Configured { .. } = entry.change
            && let Ok(configuration) = self.configuration.ask(ReadConfiguration).await
        {
            self.selection.configuration = configuration;
        }
        if self.selection.matches(entry) {
            self.send_entry(entry).await?;
        }
        Ok(())
    }

    async fn send_entry(&self, entry: &Entry) -> Result<(), ReaderClosed> {
        let ids = EntrySubject::of(&entry.change).ids();
        let names = Names::collect(&self.selection.configuration, ids);
        self.send(Item::Entry(entry.into()), names).await
    }

    async fn send(&self, item: Item, names: Names) -> Result<(), ReaderClosed> {
        let response = v1::FollowResponse {
            item: Some(item),
            names: names.0,
        };
        self.sender
            .send(Ok(response))
            .await
            .map_err(|_| ReaderClosed)
    }

    async fn close_lagging(&self, count: u64) -> Result<(), ReaderClosed> {
        let status = Status::data_loss(format!(
            "{count} entries were missed because they were read too slowly: follow again"
        ));
        self.sender
            .send(Err(status))
            .await
            .map_err(|_| ReaderClosed)
    }
}
