//! One reader that follows the time line.

use std::sync::Arc;

use kameo::actor::ReplyRecipient;
use lovagespindle_decisions::config::Configuration;
use lovagespindle_decisions::occurrence::Occurrence;
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

/// The reader is gone.
struct Gone;

/// Sends the entries that one reader wants.
pub(crate) struct Follower {
    pub(crate) selection: Selection,
    pub(crate) configuration: ReplyRecipient<ReadConfiguration, Arc<Configuration>>,
    pub(crate) sender: mpsc::Sender<Result<v1::FollowResponse, Status>>,
    /// Changes when the server stops.
    pub(crate) stopped: watch::Receiver<()>,
}

impl Follower {
    /// Runs until the reader goes, falls behind, or the server stops.
    pub(crate) async fn run(mut self, followed: Followed) {
        let mut stopped = self.stopped.clone();
        tokio::select! {
            _ = self.send_all(followed) => {}
            _ = stopped.changed() => {}
        }
    }

    async fn send_all(&mut self, mut followed: Followed) -> Result<(), Gone> {
        for entry in followed.past {
            self.send_entry(&entry).await?;
        }
        let caught_up = Item::CaughtUp(v1::CaughtUp {});
        self.send(caught_up, Names::default()).await?;
        let sender = self.sender.clone();
        loop {
            let next = tokio::select! {
                next = followed.live.recv() => next,
                () = sender.closed() => return Err(Gone),
            };
            match next {
                Ok(entry) => self.take(&entry).await?,
                Err(RecvError::Closed) => return Ok(()),
                Err(RecvError::Lagged(count)) => return self.cut_off(count).await,
            }
        }
    }

    async fn take(&mut self, entry: &Entry) -> Result<(), Gone> {
        if let Occurrence::Configured { .. } = entry.occurrence
            && let Ok(configuration) = self.configuration.ask(ReadConfiguration).await
        {
            self.selection.configuration = configuration;
        }
        if self.selection.admits(entry) {
            self.send_entry(entry).await?;
        }
        Ok(())
    }

    async fn send_entry(&self, entry: &Entry) -> Result<(), Gone> {
        let ids = Subject::of(&entry.occurrence).ids();
        let names = Names::collect(&self.selection.configuration, ids);
        self.send(Item::Entry(entry.into()), names).await
    }

    async fn send(&self, item: Item, names: Names) -> Result<(), Gone> {
        let response = v1::FollowResponse {
            item: Some(item),
            names: names.0,
        };
        self.sender.send(Ok(response)).await.map_err(|_| Gone)
    }

    async fn cut_off(&self, count: u64) -> Result<(), Gone> {
        let status = Status::data_loss(format!(
            "{count} entries were missed because they were read too slowly: follow again"
        ));
        self.sender.send(Err(status)).await.map_err(|_| Gone)
    }
}
