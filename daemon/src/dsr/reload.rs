//! Takes over changed settings while the process runs.

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
    StoreSettings, //
};

/// Takes over changed settings.
pub struct Reloader {
    /// The settings file.
    pub path: PathBuf,
    /// The settings in force.
    pub settings: Settings,
    /// Decides by the settings.
    pub forwarder: ActorRef<Forwarder>,
    /// Knows the instances that the settings name.
    pub publisher: mpsc::Sender<PublisherCommand>,
    /// Shows the settings of the store.
    pub store: watch::Sender<StoreSettings>,
}

impl Reloader {
    /// Reads the file and takes over what changed. Settings that cannot be used leave those in
    /// force as they are.
    pub async fn reload(&mut self) {
        let read = Settings::read(&self.path);
        match read {
            Ok(settings) => self.take_over(settings).await,
            Err(error) => log::error!("event=reload_failed reason={:?}", error.to_string()),
        }
    }

    async fn take_over(&mut self, new: Settings) {
        let changed = changed(&self.settings, &new);
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
                "store" => drop(self.store.send_replace(new.store.clone())),
                // Both fail only if the process is about to end.
                "peers" => {
                    let seeds = new.peers.seeds.clone();
                    drop(self.publisher.send(PublisherCommand::SetSeeds(seeds)).await);
                }
                "decisions" => drop(self.forwarder.tell(new.decisions.clone()).await),
                _ => {}
            }
        }
        self.settings = new;
    }
}

/// Returns the names of the parts that differ.
fn changed(old: &Settings, new: &Settings) -> Vec<&'static str> {
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

/// Returns the contents of a file, to find out whether it changed without a signal. A file that
/// cannot be read counts as empty; the reload says why.
pub fn contents(path: &Path) -> Vec<u8> {
    std::fs::read(path).unwrap_or_default()
}
