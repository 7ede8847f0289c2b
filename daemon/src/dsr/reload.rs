//! Reloads the settings file while the process runs.

use std::path::{
    Path,
    PathBuf, //
};

use kameo::actor::ActorRef;
use tokio::sync::{
    mpsc,
    watch, //
};

use crate::dsr::forwarder::Forwarder;
use crate::dsr::publisher::PublisherCommand;
use crate::dsr::settings::{
    Settings,
    StoreAccess, //
};

/// Applies changed settings to the running tasks.
pub struct Reloader {
    /// Path of the settings file.
    pub path: PathBuf,
    /// Active settings.
    pub settings: Settings,
    /// Receives the settings of the decisions.
    pub forwarder: ActorRef<Forwarder>,
    /// Receives the seeds.
    pub publisher: mpsc::Sender<PublisherCommand>,
    /// Receives the settings of the store.
    pub store: watch::Sender<StoreAccess>,
}

impl Reloader {
    /// Reads the file and applies what changed. If the file is not valid, the active settings stay.
    pub async fn reload(&mut self) {
        let read = Settings::read(&self.path);
        match read {
            Ok(settings) => self.apply(settings).await,
            Err(error) => log::error!("event=reload_failed reason={:?}", error.to_string()),
        }
    }

    async fn apply(&mut self, new: Settings) {
        let changed = changed_parts(&self.settings, &new);
        let list = match changed.is_empty() {
            true => "nothing".to_owned(),
            false => changed.join(","),
        };
        log::info!("event=reload changed={list}");
        for part in changed {
            match part {
                "instance" | "listen" => {
                    log::warn!("event=reload_ignored part={part} reason=\"needs a restart\"");
                }
                "log" => log::set_max_level(new.log.level),
                "store" => drop(self.store.send_replace(StoreAccess::from(&new))),
                // The two calls below fail only while the process exits.
                "peers" => {
                    let seeds = new.peers.seeds.clone();
                    drop(self.publisher.send(PublisherCommand::SetSeeds(seeds)).await);
                }
                "decisions" => {
                    self.store.send_replace(StoreAccess::from(&new));
                    drop(self.forwarder.tell(new.decisions.clone()).await);
                }
                _ => {}
            }
        }
        self.settings = new;
    }
}

/// Returns the names of the tables that differ.
fn changed_parts(old: &Settings, new: &Settings) -> Vec<&'static str> {
    let parts = [
        ("instance", old.instance != new.instance),
        ("listen", old.listen != new.listen),
        ("store", old.store != new.store),
        ("peers", old.peers != new.peers),
        ("shutdown", old.shutdown != new.shutdown),
        ("log", old.log != new.log),
        ("decisions", old.decisions != new.decisions),
    ];
    let differing = parts.iter().filter(|(_, differs)| *differs);
    differing.map(|(part, _)| *part).collect()
}

/// Returns the contents of a file, to detect changes without a signal. A file that cannot be read
/// counts as empty; the reload that follows logs the reason.
pub fn read_contents(path: &Path) -> Vec<u8> {
    std::fs::read(path).unwrap_or_default()
}
