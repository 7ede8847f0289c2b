//! Reads and watches the platform's store, and sends its updates to the publisher.

use std::time::Duration;

use lovagespindle_datagram::Clock;
use lovagespindle_decisions::dsr::document_cache::Known;
use lovagespindle_decisions::dsr::freshness::Freshness;
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
use rand_core::{
    RngCore,
    SeedableRng, //
};
use rand_pcg::Pcg32;
use tokio::sync::{
    mpsc,
    watch, //
};
use tokio::time::{
    Instant,
    sleep,
    sleep_until,
    timeout, //
};

use crate::dsr::metrics::{
    Latencies,
    StoreCall,
    StoreCalls, //
};
use crate::dsr::publisher::PublisherCommand;
use crate::dsr::settings::{
    StoreAccess,
    StoreSettings, //
};

/// Time after which a connection breaks if the store does not acknowledge sent bytes.
const ACK_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Timeout of reading a page. It exceeds the timeout of other calls, as many instances read pages at
/// the same time after a common start.
const PAGE_TIMEOUT: Duration = Duration::from_secs(2);

/// Number of pages that an instance reads at its start, whatever its place in the zone. They hold
/// about a thousand backend servers; the rest comes from the parent.
const START_PAGES: u32 = 2;

/// Time after which the pages of a snapshot are read again from the first one. The store keeps the
/// changes since then for longer.
const MAX_SNAPSHOT_TIME: Duration = Duration::from_secs(8);

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

/// What an instance calls the store for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreUse {
    /// Reads the first pages, so that the instance serves soon after its start.
    Start,
    /// Reads and watches everything.
    Watch,
    /// Another instance does it.
    None,
}

/// A snapshot that is being read page by page.
struct Snapshot {
    documents: Vec<Document>,
    /// Revision of the first page. The watch starts there, so that no change between the pages is
    /// missed.
    at: Revision,
    /// Key after which the next page begins; `None` after the last page.
    next: Option<String>,
    /// Number of pages read so far.
    pages: u32,
    started: Instant,
}

/// What other tasks tell the watcher.
pub struct WatcherInputs {
    /// Latest settings.
    pub access: watch::Receiver<StoreAccess>,
    /// What the document cache holds.
    pub known: watch::Receiver<Option<Known>>,
    /// What this instance calls the store for.
    pub store_use: watch::Receiver<StoreUse>,
}

/// Watches the store while this instance is first in its zone, or has no other source. Also asks the
/// store once whenever no other instance confirmed the documents in time.
pub struct StoreWatcher {
    clock: Clock,
    freshness: Freshness,
    /// Active settings.
    settings: StoreSettings,
    /// Latest settings, which become active with the next connection.
    latest: watch::Receiver<StoreAccess>,
    publisher: mpsc::Sender<PublisherCommand>,
    /// What the document cache holds, from any source.
    known: watch::Receiver<Option<Known>>,
    /// What this instance calls the store for.
    store_use: watch::Receiver<StoreUse>,
    /// Set to whether the last call succeeded.
    connected: watch::Sender<bool>,
    /// Whether the store cannot tell the changes after the known revision: it no longer keeps them, or
    /// it was restored from a copy.
    outdated: bool,
    /// Whether the store is called because nobody confirmed the documents.
    asking: bool,
    /// The snapshot whose remaining pages are not read yet. A failed call does not drop it.
    snapshot: Option<Snapshot>,
    /// Whether what is needed at the start was read.
    started: bool,
    calls: StoreCalls,
    random: Pcg32,
    /// Delay before the next attempt after a failed call.
    retry_delay: Duration,
    latencies: Latencies,
}

impl StoreWatcher {
    /// Creates a watcher that sends updates to the publisher.
    pub fn new(
        clock: Clock,
        inputs: WatcherInputs,
        publisher: mpsc::Sender<PublisherCommand>,
        connected: watch::Sender<bool>,
        (latencies, calls): (Latencies, StoreCalls),
        seed: u64,
    ) -> StoreWatcher {
        let WatcherInputs {
            access: mut latest,
            known,
            store_use,
        } = inputs;
        let settings = latest.borrow_and_update().store.clone();
        let mut random = Pcg32::seed_from_u64(seed);
        let spread = f64::from(random.next_u32()) / f64::from(u32::MAX);
        StoreWatcher {
            clock,
            freshness: Freshness::new(spread),
            retry_delay: settings.first_pause,
            settings,
            latest,
            publisher,
            known,
            store_use,
            connected,
            outdated: false,
            asking: false,
            snapshot: None,
            started: false,
            calls,
            random,
            latencies,
        }
    }

    /// Watches the store until the publisher has stopped.
    pub async fn run(mut self) {
        while !self.publisher.is_closed() {
            self.wait_until_needed().await;
            self.settings = self.latest.borrow_and_update().store.clone();
            if let Err(error) = self.watch().await {
                self.handle_failure(&error).await;
            }
        }
    }

    /// Waits until this instance has to call the store, or until the process exits.
    async fn wait_until_needed(&mut self) {
        self.asking = false;
        loop {
            let needed = match *self.store_use.borrow_and_update() {
                StoreUse::Start => !self.started,
                StoreUse::Watch => true,
                StoreUse::None => false,
            };
            if needed {
                return;
            }
            let known = *self.known.borrow_and_update();
            let bound = self.latest.borrow().max_age;
            let due = known.map(|known| self.freshness.call_at(known.confirmed, bound));
            let due = due.map(|due| self.clock.instant(due));
            let exits = tokio::select! {
                changed = self.store_use.changed() => changed.is_err(),
                changed = self.known.changed() => changed.is_err(),
                () = sleep_until(due.unwrap_or_else(Instant::now)), if due.is_some() => {
                    log::info!("event=store_asked reason=\"nobody confirmed the documents\"");
                    self.asking = true;
                    return;
                }
            };
            if exits {
                return;
            }
        }
    }

    async fn handle_failure(&mut self, error: &WatchError) {
        match error {
            WatchError::Store(StoreError::Restored(era)) => {
                log::warn!("event=store_restored era={era}");
                self.read_again();
            }
            WatchError::Store(StoreError::Compacted) => {
                log::info!("event=store_compacted");
                self.read_again();
            }
            WatchError::Store(_) | WatchError::Timeout(_) => {
                let reason = error.to_string();
                if self.connected.send_replace(false) {
                    log::warn!("event=store_lost reason={reason:?}");
                } else {
                    log::info!("event=store_retry reason={reason:?}");
                }
            }
        }
        // Half of the delay is random, so that instances do not retry together.
        let random = f64::from(self.random.next_u32()) / f64::from(u32::MAX);
        sleep(self.retry_delay.mul_f64(0.5 + random)).await;
        self.retry_delay = (self.retry_delay * 2).min(self.settings.longest_pause);
    }

    /// Lets the next call read all documents. The store answers, so there is no reason to wait for
    /// long.
    fn read_again(&mut self) {
        self.outdated = true;
        self.retry_delay = self.settings.first_pause;
    }

    /// Reads a snapshot unless the known revision is still usable, then watches for changes.
    /// Returns when another instance provides the updates or the settings change, at the earliest
    /// after one call. A failed call is an error.
    async fn watch(&mut self) -> Result<(), WatchError> {
        let call_timeout = self.settings.answer_timeout;
        let connecting = Store::connect(self.settings.address, ACK_TIMEOUT);
        let mut store = timeout(call_timeout, connecting).await??;
        let known = *self.known.borrow();
        let known = known.map(|known| known.revision);
        let (mut known, mut wait) = match known.filter(|_| !self.outdated) {
            // The documents may have been read a while ago. A call that does not wait confirms them
            // before other instances take them for stale.
            Some(known) => {
                self.snapshot = None;
                (known, Duration::ZERO)
            }
            None => match self.read_snapshot(&mut store).await? {
                Some(known) if self.is_watching() => (known, self.settings.watch_wait),
                Some(_) | None => {
                    self.started = true;
                    return Ok(());
                }
            },
        };
        loop {
            self.calls.add(StoreCall::Watch);
            let sent_at = Instant::now();
            let page = timeout(wait + call_timeout, store.watch(known, wait)).await??;
            self.started = true;
            let update = DocumentUpdate {
                documents: page.documents,
                revision: page.revision,
                kind: UpdateKind::Delta(known),
                // The store answers after `wait` at the latest; the rest was spent on the way.
                age: sent_at.elapsed().saturating_sub(wait),
            };
            self.publish(update).await;
            wait = self.settings.watch_wait;
            let changed = known != page.revision;
            known = page.revision;
            if !self.is_watching() || self.latest.has_changed().unwrap_or(false) {
                return Ok(());
            }
            if changed {
                sleep(self.settings.gather).await;
            }
        }
    }

    fn is_watching(&self) -> bool {
        *self.store_use.borrow() == StoreUse::Watch
    }

    /// Reads a snapshot, or the pages of it that are missing. Returns its revision, or `None` if
    /// another instance provides the rest.
    ///
    /// The first page is published at once: it holds the routes and up to 500 backend servers, with
    /// which the instance can serve.
    async fn read_snapshot(&mut self, store: &mut Store) -> Result<Option<Revision>, WatchError> {
        let expired = |snapshot: &mut Snapshot| snapshot.started.elapsed() >= MAX_SNAPSHOT_TIME;
        self.snapshot.take_if(expired);
        if self.snapshot.is_none() {
            self.read_first_page(store).await?;
        }
        loop {
            let Some(snapshot) = &self.snapshot else {
                return Ok(None);
            };
            let Some(next) = snapshot.next.clone() else {
                break;
            };
            let starting = *self.store_use.borrow() == StoreUse::Start;
            let first_pages = starting && snapshot.pages < START_PAGES;
            if !(self.is_watching() || self.asking || first_pages) {
                return Ok(None);
            }
            self.calls.add(StoreCall::Page);
            let page = timeout(PAGE_TIMEOUT, store.read(Some(&next))).await??;
            if page.revision.era != snapshot.at.era {
                self.snapshot = None;
                return Err(StoreError::Restored(page.revision.era).into());
            }
            if let Some(snapshot) = &mut self.snapshot {
                snapshot.documents.extend(page.documents);
                snapshot.next = page.next;
                snapshot.pages += 1;
            }
        }
        let Some(snapshot) = self.snapshot.take() else {
            return Ok(None);
        };
        let update = DocumentUpdate {
            documents: snapshot.documents,
            revision: snapshot.at,
            kind: UpdateKind::Snapshot,
            age: snapshot.started.elapsed(),
        };
        self.publish(update).await;
        self.outdated = false;
        Ok(Some(snapshot.at))
    }

    async fn read_first_page(&mut self, store: &mut Store) -> Result<(), WatchError> {
        let started = Instant::now();
        self.calls.add(StoreCall::FirstPage);
        let page = timeout(PAGE_TIMEOUT, store.read(None)).await??;
        self.latencies.record_store(started.elapsed());
        let mut documents = page.documents;
        let restored = self.read_restored_zones(store, page.revision).await?;
        documents.extend(restored);
        // An instance that serves already keeps its view until the snapshot is complete.
        if page.next.is_some() && self.known.borrow().is_none() {
            self.publish_part(documents.clone(), page.revision).await;
        }
        self.snapshot = Some(Snapshot {
            documents,
            at: page.revision,
            next: page.next,
            pages: 1,
            started,
        });
        Ok(())
    }

    async fn publish_part(&mut self, documents: Vec<Document>, revision: Revision) {
        self.set_connected(revision);
        let update = DocumentUpdate {
            documents,
            revision,
            kind: UpdateKind::Part,
            age: Duration::ZERO,
        };
        // Fails only if the publisher has stopped, which `run` checks.
        let _ = self
            .publisher
            .send(PublisherCommand::ApplyPart(update))
            .await;
    }

    fn set_connected(&mut self, revision: Revision) {
        if !self.connected.send_replace(true) {
            log::info!("event=store_connected revision={revision}");
        }
        self.retry_delay = self.settings.first_pause;
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
            let after = Revision {
                number: at.number.saturating_sub(back),
                ..at
            };
            self.calls.add(StoreCall::History);
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
        log::info!("event=history_unknown revision={at}");
        Ok(Vec::new())
    }

    async fn publish(&mut self, update: DocumentUpdate) {
        self.set_connected(update.revision);
        // Fails only if the publisher has stopped, which `run` checks.
        let _ = self.publisher.send(PublisherCommand::Apply(update)).await;
    }
}
