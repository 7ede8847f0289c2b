//! What happens on a day.

use std::path::{
    Path,
    PathBuf, //
};

use serde::Deserialize;

use super::site::Site;
use crate::prelude::Dice;

/// A disturbance, or a change by operators.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, strum::Display, strum::EnumIter)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Fault {
    /// Backend servers stop, and start again after the span, cold.
    ServerCrash,
    /// Backend servers fall silent for good.
    ServerGone,
    /// Backend servers are replaced one after the other.
    Release,
    /// Backend servers end, and their addresses go to servers of another service.
    AddressReuse,
    /// Backend servers drain and leave.
    ScaleIn,
    /// Cold backend servers are added.
    ScaleOut,
    /// Instances are killed, and start again after half a second.
    Kill,
    /// Instances lose power for the span.
    PowerLoss,
    /// Instances stand still for the span.
    Freeze,
    /// Instances are shut down and started, one after the other.
    RollingRestart,
    /// Instances are added.
    AddInstances,
    /// A zone is cut off from the other zones.
    ZoneCut,
    /// Instances are cut off from the backend servers of all zones.
    ServerCut,
    /// Instances are cut off from the store.
    StoreCut,
    /// The store refuses all calls.
    StoreDown,
    /// The store answers nothing.
    StoreSilent,
    /// As [`Fault::StoreDown`], and entries of backend servers lapse meanwhile.
    StoreLapse,
    /// The store takes fifty times as long to answer.
    StoreSlow,
    /// The store forgets its history.
    StoreCompact,
    /// The store is down, and comes back with its contents of some seconds before. Its writers write
    /// again what was lost.
    StoreRestored,
    /// Links lose a thirtieth of the packets.
    Lossy,
    /// Routes are added and removed.
    ConfigChange,
    /// A zone is taken out of service, and brought back with cold backend servers.
    Evacuate,
}

/// A fault at a time.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Trouble {
    /// Seconds from the start of traffic.
    pub at: f64,
    /// What happens.
    pub fault: Fault,
    /// Seconds that it lasts.
    #[serde(default = "span")]
    pub lasts: f64,
    /// The part of the things that it concerns.
    #[serde(default = "part")]
    pub share: f64,
}

fn span() -> f64 {
    4.0
}

fn part() -> f64 {
    0.2
}

/// A day.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Day {
    /// Its name.
    pub name: String,
    /// What happens, in any order.
    #[serde(default)]
    pub troubles: Vec<Trouble>,
    /// Whether all instances lose power at the end for a second and a half.
    #[serde(default)]
    pub closing: bool,
}

/// Why a day cannot be played.
#[derive(Debug, thiserror::Error)]
pub enum DayError {
    /// The file cannot be read.
    #[error("day file {0:?} cannot be read: {1}")]
    Read(PathBuf, std::io::Error),
    /// The file is not valid.
    #[error("day file {0:?} is not valid: {1}")]
    Parse(PathBuf, toml::de::Error),
}

impl Day {
    /// Reads a day from a TOML file.
    pub fn load(path: &Path) -> Result<Day, DayError> {
        let text = std::fs::read_to_string(path);
        let text = text.map_err(|error| DayError::Read(path.to_owned(), error))?;
        toml::from_str(&text).map_err(|error| DayError::Parse(path.to_owned(), error))
    }

    /// Returns a day without troubles.
    pub fn quiet() -> Day {
        Day {
            name: "quiet".to_owned(),
            troubles: Vec::new(),
            closing: false,
        }
    }

    /// Draws a day as [`Day::drawn`], on which the store is also restored from a copy.
    pub fn drawn_with_restoration(site: &Site, seed: u64) -> Day {
        let mut day = Day::drawn(site, seed);
        let mut dice = Dice::new(seed);
        let end = site.length.as_secs_f64() - 16.0;
        day.troubles.push(Trouble {
            at: 6.0 + end * dice.unit(),
            fault: Fault::StoreRestored,
            lasts: 0.2 + 3.0 * dice.unit(),
            share: part(),
        });
        day
    }

    /// Draws a day with a few troubles, some of them at once.
    pub fn drawn(site: &Site, seed: u64) -> Day {
        use strum::IntoEnumIterator;
        let mut dice = Dice::new(!seed);
        // Restorations have days of their own, so that the drawn days stay the same.
        let faults = Fault::iter().filter(|fault| *fault != Fault::StoreRestored);
        let faults: Vec<Fault> = faults.collect();
        let end = site.length.as_secs_f64() - 12.0;
        let mut troubles = Vec::new();
        for _ in 0..3 + dice.below(5) {
            troubles.push(Trouble {
                at: 2.0 + end * dice.unit(),
                fault: faults[dice.below(faults.len())],
                lasts: 2.0 + 4.0 * dice.unit(),
                share: 0.1 + 0.4 * dice.unit(),
            });
        }
        Day {
            name: format!("drawn-{seed}"),
            troubles,
            closing: dice.chance(0.5),
        }
    }
}
