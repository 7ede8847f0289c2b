//! Reads and watches the platform's store, and sends its updates to the publisher.

use std::time::Duration;

use lovagespindle_decisions::dsr::store_update::{
    Document,
    DocumentUpdate,
    Revision,
    UpdateKind, //
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
use crate::dsr::publisher::PublisherCommand;
use crate::dsr::settings::StoreSettings;

/// Time after which a connection breaks if the store does not acknowledge sent bytes.
const ACK_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Numbers of revisions before the current one in which a new instance looks for restored zones.
/// They are tried in order until one lies in the history that the store still keeps. The first
/// covers two seconds of the highest rate of changes; where changes are rare, only the last one may
/// lie in the history.
const LOOKBACKS: [u64; 4] = [64, 16, 4, 1];

/// Error that ends a connection to the store.
#[derive(Debug, thiserror::Error)]
enum WatchError {
    #[error(transparent)]
    Store(#[from] StoreError),
    #[error("the store did not answer in time")]
    Timeout(#[from] tokio::time::error::Elapsed),
}

/// Watches the store while this instance is the leader of its zone.
pub struct StoreWatcher {
    /// Active settings.
    settings: StoreSettings,
    /// Latest settings, which become active with the next connection.
    latest: watch::Receiver<StoreSettings>,
    publisher: mpsc::Sender<PublisherCommand>,
    /// Revision up to which the document cache is complete, from any source.
    known: watch::Receiver<Option<Revision>>,
    /// Whether this instance watches the store for its zone.
    is_leader: watch::Receiver<bool>,
    /// Set to whether the last call succeeded.
    connected: watch::Sender<bool>,
    /// Whether the store no longer keeps the changes after the known revision.
    compacted: bool,
    /// Delay before the next attempt after a failed call.
    retry_delay: Duration,
    latencies: Latencies,
}

impl StoreWatcher {
    /// Creates a watcher that sends updates to the publisher.
    pub fn new(
        mut latest: watch::Receiver<StoreSettings>,
        publisher: mpsc::Sender<PublisherCommand>,
        known: watch::Receiver<Option<Revision>>,
        is_leader: watch::Receiver<bool>,
        connected: watch::Sender<bool>,
        latencies: Latencies,
    ) -> StoreWatcher {
        let settings = latest.borrow_and_update().clone();
        StoreWatcher {
            retry_delay: settings.first_pause,
            settings,
            latest,
            publisher,
            known,
            is_leader,
            connected,
            compacted: false,
            latencies,
        }
    }

    /// Watches the store until the publisher has stopped.
    pub async fn run(mut self) {
        while !self.publisher.is_closed() {
            // Fails only while the process exits.
            let _ = self.is_leader.wait_for(|is_leader| *is_leader).await;
            self.settings = self.latest.borrow_and_update().clone();
            if let Err(error) = self.watch().await {
                self.handle_failure(&error).await;
            }
        }
    }

    async fn handle_failure(&mut self, error: &WatchError) {
        self.compacted |= matches!(error, WatchError::Store(StoreError::Compacted));
        let reason = error.to_string();
        if self.connected.send_replace(false) {
            log::warn!("event=store_lost reason={reason:?}");
        } else {
            log::info!("event=store_retry reason={reason:?}");
        }
        sleep(self.retry_delay).await;
        self.retry_delay = (self.retry_delay * 2).min(self.settings.longest_pause);
    }

    /// Reads a snapshot unless the known revision is still usable, then watches for changes.
    /// Returns when another instance becomes the leader or the settings change. A failed call is an
    /// error.
    async fn watch(&mut self) -> Result<(), WatchError> {
        let call_timeout = self.settings.answer_timeout;
        let connecting = Store::connect(self.settings.address, ACK_TIMEOUT);
        let mut store = timeout(call_timeout, connecting).await??;
        let known = *self.known.borrow();
        let mut known = match known.filter(|_| !self.compacted) {
            Some(known) => known,
            None => self.read_snapshot(&mut store).await?,
        };
        while *self.is_leader.borrow() && !self.latest.has_changed().unwrap_or(false) {
            let wait = self.settings.watch_wait;
            let page = timeout(wait + call_timeout, store.watch(known, wait)).await??;
            self.publish(page.documents, page.revision, UpdateKind::Delta(known))
                .await;
            let changed = known != page.revision;
            known = page.revision;
            if changed {
                sleep(self.settings.gather).await;
            }
        }
        Ok(())
    }

    async fn read_snapshot(&mut self, store: &mut Store) -> Result<Revision, WatchError> {
        let call_timeout = self.settings.answer_timeout;
        let started = Instant::now();
        let mut page = timeout(call_timeout, store.read(None)).await??;
        self.latencies.record_store(started.elapsed());
        // Later pages may be newer. The watch starts at the revision of the first page, so that no
        // change between the pages is missed.
        let at = page.revision;
        let mut documents = page.documents;
        while let Some(next) = page.next {
            page = timeout(call_timeout, store.read(Some(&next))).await??;
            documents.append(&mut page.documents);
        }
        documents.append(&mut self.read_restored_zones(store, at).await?);
        self.publish(documents, at, UpdateKind::Snapshot).await;
        self.compacted = false;
        Ok(at)
    }

    /// Reads which zones were restored shortly before `at`, because their backend servers may be
    /// cold without an entry that says so. How far back the history goes is unknown; if no lookback
    /// lies in it, no zone is returned.
    async fn read_restored_zones(
        &self,
        store: &mut Store,
        at: Revision,
    ) -> Result<Vec<Document>, WatchError> {
        for back in LOOKBACKS {
            let after = Revision(at.0.saturating_sub(back));
            let call = store.zone_changes(after);
            match timeout(self.settings.answer_timeout, call).await? {
                Ok(page) => {
                    let is_restored = |d: &Document| d.value.is_none() && d.revision <= at;
                    return Ok(page.documents.into_iter().filter(is_restored).collect());
                }
                Err(StoreError::Compacted) => {}
                Err(error) => return Err(error.into()),
            }
        }
        log::info!("event=history_unknown revision={}", at.0);
        Ok(Vec::new())
    }

    async fn publish(&mut self, documents: Vec<Document>, revision: Revision, kind: UpdateKind) {
        if !self.connected.send_replace(true) {
            log::info!("event=store_connected revision={}", revision.0);
        }
        self.retry_delay = self.settings.first_pause;
        let update = DocumentUpdate {
            documents,
            revision,
            kind,
            age: Duration::ZERO,
        };
        // Fails only if the publisher has stopped, which `run` checks.
        let _ = self.publisher.send(PublisherCommand::Apply(update)).await;
    }
}
