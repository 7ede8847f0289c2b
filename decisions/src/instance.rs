//! The decision state of one instance.

use serde::Deserialize;

use crate::action::Action;
use crate::config::Configuration;
use crate::counter::Counters;
use crate::event::Event;
use crate::ids::{
    FlowId,
    ServiceId, //
};
use crate::peer::Member;
use crate::status::{
    Explanation,
    FlowHolding,
    Status, //
};
use crate::time::Time;

/// Settings of the decisions.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {}

/// The decision state of one instance.
pub struct Instance {
    member: Member,
    configuration: Configuration,
    counters: Counters,
}

impl Instance {
    /// Creates an instance without configuration; `seed` feeds its random numbers.
    pub fn new(member: Member, _settings: Settings, _seed: u64) -> Instance {
        Instance {
            member,
            configuration: Configuration::default(),
            counters: Counters::default(),
        }
    }

    /// Handles one event at `now` and appends what is to be done to `out`.
    ///
    /// `now` never goes back between calls.
    pub fn handle(&mut self, _now: Time, _event: Event, _out: &mut Vec<Action>) {}

    /// Returns when the instance wants [`Event::Tick`] at the latest.
    pub fn deadline(&self) -> Option<Time> {
        None
    }

    /// Returns the configuration in force.
    pub fn configuration(&self) -> &Configuration {
        &self.configuration
    }

    /// Returns the counters.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Returns what the instance tells operators about itself.
    pub fn status(&self, _now: Time) -> Status {
        Status {
            member: self.member,
            revision: self.configuration.revision,
            flows: 0,
            requests: 0,
            owned: Vec::new(),
            members: Vec::new(),
            flags: smallvec::SmallVec::new(),
        }
    }

    /// Explains where the packets of a flow go.
    pub fn explain(&self, service: ServiceId, _flow: FlowId) -> Explanation {
        Explanation {
            service,
            revision: self.configuration.revision,
            candidates: smallvec::SmallVec::new(),
            holding: FlowHolding::None,
        }
    }
}
