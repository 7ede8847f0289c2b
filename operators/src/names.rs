//! Maps identifiers of configured objects to their names.

use std::collections::BTreeMap;

use lovagespindle_decisions::config::Configuration;
use lovagespindle_decisions::ids::{
    BackendServerId,
    ServiceId,
    ZoneId, //
};

/// Names by identifier; identifiers are unique across kinds.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Names(pub BTreeMap<u32, String>);

impl Names {
    /// Collects the names of all `ids` that exist in the configuration.
    pub fn collect(configuration: &Configuration, ids: impl Iterator<Item = u32>) -> Names {
        let named = |id| Some((id, find(configuration, id)?.to_owned()));
        Names(ids.filter_map(named).collect())
    }

    /// Returns the name of an object, or `#` followed by its identifier if the name is unknown.
    pub fn get(&self, id: u32) -> String {
        match self.0.get(&id) {
            Some(name) => name.clone(),
            None => format!("#{id}"),
        }
    }
}

fn find(configuration: &Configuration, id: u32) -> Option<&str> {
    let server = configuration.servers.get(&BackendServerId(id));
    let service = configuration.services.get(&ServiceId(id));
    let zone = configuration.zones.get(&ZoneId(id));
    server
        .map(|s| s.name.as_str())
        .or_else(|| service.map(|s| s.name.as_str()))
        .or_else(|| zone.map(|z| z.name.as_str()))
}

/// Returns the identifier given as `#` and a number, or else the one that `lookup` finds for the
/// name.
pub fn resolve(text: &str, lookup: impl FnOnce(&str) -> Option<u32>) -> Option<u32> {
    match text.strip_prefix('#') {
        Some(number) => number.parse().ok(),
        None => lookup(text),
    }
}
