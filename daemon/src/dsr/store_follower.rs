//! Follows the platform's store and passes its news on.

use std::time::Duration;

use lovagespindle_decisions::dsr::news::{
    Bulletin,
    Document,
    Revision,
    Scope, //
};
use lovagespindle_platform::{
    Store,
    StoreError, //
};
use tokio::sync::{
    mpsc,
    watch, //
};
use tokio::time::{
    Instant,
    sleep,
    timeout, //
};

use crate::dsr::metrics::Latencies;
use crate::dsr::publisher::Order;
use crate::dsr::settings::StoreSettings;

/// How long the store may leave sent bytes unacknowledged before a connection breaks.
const SILENCE: Duration = Duration::from_millis(1_500);

/// How many revisions before the present one a fresh instance looks back for zones that came back.
/// The first covers two seconds of the fastest changes; a quiet store has forgotten all but the
/// last.
const LOOKS_BACK: [u64; 4] = [64, 16, 4, 1];

/// Why the store cannot be followed.
#[derive(Debug, thiserror::Error)]
enum FollowError {
    #[error(transparent)]
    Store(#[from] StoreError),
    #[error("the store did not answer in time")]
    Timeout(#[from] tokio::time::error::Elapsed),
}

/// Follows the store.
pub struct StoreFollower {
    /// The settings in force, and the latest ones.
    settings: StoreSettings,
    latest: watch::Receiver<StoreSettings>,
    publisher: mpsc::Sender<Order>,
    /// The revision up to which everything is known, from whatever source.
    known: watch::Receiver<Option<Revision>>,
    /// Whether this instance is to follow the store itself.
    duty: watch::Receiver<bool>,
    /// Shows whether the last call succeeded.
    connected: watch::Sender<bool>,
    /// Whether the history after what is known is lost.
    compacted: bool,
    pause: Duration,
    latencies: Latencies,
}

impl StoreFollower {
    /// Creates a follower that passes news on to the publisher.
    pub fn new(
        mut latest: watch::Receiver<StoreSettings>,
        publisher: mpsc::Sender<Order>,
        known: watch::Receiver<Option<Revision>>,
        duty: watch::Receiver<bool>,
        connected: watch::Sender<bool>,
        latencies: Latencies,
    ) -> StoreFollower {
        let settings = latest.borrow_and_update().clone();
        StoreFollower {
            pause: settings.first_pause,
            settings,
            latest,
            publisher,
            known,
            duty,
            connected,
            compacted: false,
            latencies,
        }
    }

    /// Follows the store until the publisher has ended.
    pub async fn run(mut self) {
        while !self.publisher.is_closed() {
            // Fails only when the process ends.
            let _ = self.duty.wait_for(|duty| *duty).await;
            self.settings = self.latest.borrow_and_update().clone();
            if let Err(error) = self.follow().await {
                self.fail(&error).await;
            }
        }
    }

    async fn fail(&mut self, error: &FollowError) {
        self.compacted |= matches!(error, FollowError::Store(StoreError::Compacted));
        let reason = error.to_string();
        if self.connected.send_replace(false) {
            log::warn!("event=store_lost reason={reason:?}");
        } else {
            log::info!("event=store_retry reason={reason:?}");
        }
        sleep(self.pause).await;
        self.pause = (self.pause * 2).min(self.settings.longest_pause);
    }

    /// Reads everything unless it is known, then watches for changes until a call fails or another
    /// instance does this.
    async fn follow(&mut self) -> Result<(), FollowError> {
        let patience = self.settings.answer_timeout;
        let connecting = Store::connect(self.settings.address, SILENCE);
        let mut store = timeout(patience, connecting).await??;
        let known = *self.known.borrow();
        let mut known = match known.filter(|_| !self.compacted) {
            Some(known) => known,
            None => self.read(&mut store).await?,
        };
        while *self.duty.borrow() && !self.latest.has_changed().unwrap_or(false) {
            let wait = self.settings.watch_wait;
            let page = timeout(wait + patience, store.watch(known, wait)).await??;
            self.tell(page.documents, page.revision, Scope::After(known))
                .await;
            let changed = known != page.revision;
            known = page.revision;
            if changed {
                sleep(self.settings.gather).await;
            }
        }
        Ok(())
    }

    async fn read(&mut self, store: &mut Store) -> Result<Revision, FollowError> {
        let patience = self.settings.answer_timeout;
        let asked = Instant::now();
        let mut page = timeout(patience, store.read(None)).await??;
        self.latencies.record_store(asked.elapsed());
        // Later pages may be newer; changes since the first are watched for.
        let at = page.revision;
        let mut documents = page.documents;
        while let Some(next) = page.next {
            page = timeout(patience, store.read(Some(&next))).await??;
            documents.append(&mut page.documents);
        }
        documents.append(&mut self.read_zone_returns(store, at).await?);
        self.tell(documents, at, Scope::All).await;
        self.compacted = false;
        Ok(at)
    }

    /// Reads which zones came back not long before `at`: their backend servers may be cold and not
    /// have said so. How far back the history goes is not known.
    async fn read_zone_returns(
        &self,
        store: &mut Store,
        at: Revision,
    ) -> Result<Vec<Document>, FollowError> {
        for back in LOOKS_BACK {
            let after = Revision(at.0.saturating_sub(back));
            let call = store.zone_changes(after);
            match timeout(self.settings.answer_timeout, call).await? {
                Ok(page) => {
                    let removed = |d: &Document| d.value.is_none() && d.revision <= at;
                    return Ok(page.documents.into_iter().filter(removed).collect());
                }
                Err(StoreError::Compacted) => {}
                Err(error) => return Err(error.into()),
            }
        }
        log::info!("event=history_unknown revision={}", at.0);
        Ok(Vec::new())
    }

    async fn tell(&mut self, documents: Vec<Document>, at: Revision, scope: Scope) {
        if !self.connected.send_replace(true) {
            log::info!("event=store_connected revision={}", at.0);
        }
        self.pause = self.settings.first_pause;
        let bulletin = Bulletin {
            documents,
            at,
            scope,
            age: Duration::ZERO,
        };
        // Fails only if the publisher has ended, which the caller finds out.
        let _ = self.publisher.send(Order::Learn(bulletin)).await;
    }
}
