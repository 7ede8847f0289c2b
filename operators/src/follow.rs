//! One reader that follows the time line.

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
    Selection,
    Subject, //
};
use crate::generated::v1;
use crate::generated::v1::follow_response::Item;
use crate::messages::{
    Followed,
    ReadConfiguration, //
};
use crate::names::Names;
use crate::timeline::Entry;

/// The reader ended its call.
struct ReaderClosed;

/// Sends the entries that one reader wants.
pub struct Follower {
    /// Which entries it wants.
    pub selection: Selection,
    /// Asked anew whenever a configuration comes into force.
    pub configuration: ReplyRecipient<ReadConfiguration, Arc<Configuration>>,
    /// Leads to the reader.
    pub sender: mpsc::Sender<Result<v1::FollowResponse, Status>>,
    /// Changes when the server stops.
    pub stopped: watch::Receiver<()>,
}

impl Follower {
    /// Runs until the reader goes, falls behind, or the server stops.
    pub async fn run(mut self, followed: Followed) {
        let mut stopped = self.stopped.clone();
        tokio::select! {
            _ = self.send_all(followed) => {}
            _ = stopped.changed() => {}
        }
    }

    async fn send_all(&mut self, mut followed: Followed) -> Result<(), ReaderClosed> {
        for entry in followed.past {
            self.send_entry(&entry).await?;
        }
        let caught_up = Item::CaughtUp(v1::CaughtUp {});
        self.send(caught_up, Names::default()).await?;
        let sender = self.sender.clone();
        loop {
            let next = tokio::select! {
                next = followed.live.recv() => next,
                () = sender.closed() => return Err(ReaderClosed),
            };
            match next {
                Ok(entry) => self.take(&entry).await?,
                Err(RecvError::Closed) => return Ok(()),
                Err(RecvError::Lagged(count)) => return self.cut_off(count).await,
            }
        }
    }

    async fn take(&mut self, entry: &Entry) -> Result<(), ReaderClosed> {
        if let StateChange::Configured { .. } = entry.occurrence
            && let Ok(configuration) = self.configuration.ask(ReadConfiguration).await
        {
            self.selection.configuration = configuration;
        }
        if self.selection.admits(entry) {
            self.send_entry(entry).await?;
        }
        Ok(())
    }

    async fn send_entry(&self, entry: &Entry) -> Result<(), ReaderClosed> {
        let ids = Subject::of(&entry.occurrence).ids();
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

    async fn cut_off(&self, count: u64) -> Result<(), ReaderClosed> {
        let status = Status::data_loss(format!(
            "{count} entries were missed because they were read too slowly: follow again"
        ));
        self.sender
            .send(Err(status))
            .await
            .map_err(|_| ReaderClosed)
    }
}
