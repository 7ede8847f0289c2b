//! Follows the platform's store and passes its news on.

use std::time::Duration;

use kameo::actor::ActorRef;
use lovagespindle_decisions::dsr::news::{
    News,
    Revision, //
};
use lovagespindle_platform::{
    Store,
    StoreError, //
};
use tokio::time::{
    sleep,
    timeout, //
};

use crate::dsr::forwarder::Forwarder;
use crate::dsr::settings::StoreSettings;

/// How long the store may leave sent bytes unacknowledged before a connection breaks.
const SILENCE: Duration = Duration::from_millis(1_500);

/// Why the store cannot be followed.
#[derive(Debug, thiserror::Error)]
enum FollowError {
    #[error(transparent)]
    Store(#[from] StoreError),
    #[error("the store did not answer in time")]
    Timeout(#[from] tokio::time::error::Elapsed),
}

/// Follows the store.
pub struct Follower {
    settings: StoreSettings,
    forwarder: ActorRef<Forwarder>,
    /// The revision up to which everything is known, unless the history is lost.
    known: Option<Revision>,
    /// Whether the last call succeeded.
    connected: bool,
    pause: Duration,
}

impl Follower {
    /// Creates a follower that passes news on to the forwarder.
    pub fn new(settings: StoreSettings, forwarder: ActorRef<Forwarder>) -> Follower {
        Follower {
            pause: settings.first_pause,
            settings,
            forwarder,
            known: None,
            connected: false,
        }
    }

    /// Follows the store until the forwarder has ended.
    pub async fn run(mut self) {
        while self.forwarder.is_alive() {
            if let Err(error) = self.follow().await {
                self.fail(&error).await;
            }
        }
    }

    async fn fail(&mut self, error: &FollowError) {
        if matches!(error, FollowError::Store(StoreError::Compacted)) {
            self.known = None;
        }
        if self.connected {
            self.connected = false;
            log::warn!("event=store_lost reason={:?}", error.to_string());
        } else {
            log::debug!("event=store_retry reason={:?}", error.to_string());
        }
        sleep(self.pause).await;
        self.pause = (self.pause * 2).min(self.settings.longest_pause);
    }

    /// Reads everything unless it is known, then watches for changes until a call fails.
    async fn follow(&mut self) -> Result<(), FollowError> {
        let patience = self.settings.answer_timeout;
        let connecting = Store::connect(self.settings.address, SILENCE);
        let mut store = timeout(patience, connecting).await??;
        let mut known = match self.known {
            Some(known) => known,
            None => self.read(&mut store).await?,
        };
        loop {
            let wait = self.settings.watch_wait;
            let page = timeout(wait + patience, store.watch(known, wait)).await??;
            self.report(&page.unreadable);
            known = page.at;
            self.tell(News {
                changes: page.changes,
                at: known,
                full: false,
            })
            .await;
        }
    }

    async fn read(&mut self, store: &mut Store) -> Result<Revision, FollowError> {
        let patience = self.settings.answer_timeout;
        let mut news = News {
            full: true,
            ..News::default()
        };
        let mut after: Option<String> = None;
        loop {
            let page = timeout(patience, store.read(after.as_deref())).await??;
            self.report(&page.unreadable);
            // Later pages may be newer; changes since the first are watched for.
            if after.is_none() {
                news.at = page.at;
            }
            news.changes.extend(page.changes);
            match page.next {
                Some(next) => after = Some(next),
                None => break,
            }
        }
        let at = news.at;
        self.tell(news).await;
        Ok(at)
    }

    fn report(&self, unreadable: &[(String, String)]) {
        for (key, reason) in unreadable {
            log::warn!("event=document_unreadable key={key:?} reason={reason:?}");
        }
    }

    async fn tell(&mut self, news: News) {
        if !self.connected {
            self.connected = true;
            log::info!("event=store_connected revision={}", news.at.0);
        }
        self.pause = self.settings.first_pause;
        self.known = Some(news.at);
        // Fails only if the forwarder has ended, which the caller finds out.
        let _ = self.forwarder.tell(news).await;
    }
}
