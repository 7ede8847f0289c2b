//! Selection of time line entries.

use std::sync::Arc;

use lovagespindle_decisions::config::Configuration;
use lovagespindle_decisions::ids::{
    BackendServerId,
    FlowId,
    ServiceId,
    ZoneId, //
};
use lovagespindle_decisions::state_change::StateChange;
use uhlc::NTP64;

use crate::timeline::Entry;

/// Which entries are wanted; an entry matches if it matches each field that is given.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Filter {
    /// Entries about the service, its flows or its backend servers.
    pub service: Option<ServiceId>,
    /// Entries about the backend server or its flows.
    pub server: Option<BackendServerId>,
    /// Entries about the zone's instances, backend servers or their flows.
    pub zone: Option<ZoneId>,
    /// Entries about the flow.
    pub flow: Option<FlowId>,
    /// The earliest time, inclusive.
    pub since: Option<NTP64>,
    /// The latest time, exclusive.
    pub until: Option<NTP64>,
}

/// What an occurrence is about, as far as it says so itself.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Subject {
    /// The service.
    pub service: Option<ServiceId>,
    /// The backend server.
    pub server: Option<BackendServerId>,
    /// The availability zone.
    pub zone: Option<ZoneId>,
    /// The flow.
    pub flow: Option<FlowId>,
}

impl Subject {
    /// Returns what `occurrence` is about.
    pub fn of(occurrence: &StateChange) -> Subject {
        match *occurrence {
            StateChange::Started
            | StateChange::Leaving
            | StateChange::Left
            | StateChange::Configured { .. }
            | StateChange::PlatformLost
            | StateChange::PlatformBack => Subject::default(),
            StateChange::Member { zone, .. } => Subject {
                zone: Some(zone),
                ..Subject::default()
            },
            StateChange::Acquired { backend_server, .. }
            | StateChange::Released { backend_server, .. }
            | StateChange::Fenced { backend_server }
            | StateChange::Unfenced { backend_server }
            | StateChange::ColdStart { backend_server }
            | StateChange::ServerDown { backend_server }
            | StateChange::ServerUp { backend_server } => Subject {
                server: Some(backend_server),
                ..Subject::default()
            },
            StateChange::FlowClosed {
                flow,
                service,
                backend_server,
                ..
            }
            | StateChange::FlowPlaced {
                flow,
                service,
                backend_server,
                ..
            } => Subject {
                service: Some(service),
                server: Some(backend_server),
                zone: None,
                flow: Some(flow),
            },
        }
    }

    /// Returns the identifiers that it consists of; they are unique across kinds.
    pub fn ids(self) -> impl Iterator<Item = u32> {
        let ids = [
            self.service.map(|s| s.0),
            self.server.map(|s| s.0),
            self.zone.map(|z| z.0),
        ];
        ids.into_iter().flatten()
    }
}

/// A filter together with the configuration that says which service and zone a backend server
/// belongs to. Entries about backend servers that were deleted match only by flow, by backend
/// server, or by the service that the entry names.
#[derive(Clone, Debug)]
pub struct Selection {
    /// Which entries are wanted.
    pub filter: Filter,
    /// The configuration.
    pub configuration: Arc<Configuration>,
}

impl Selection {
    /// Returns whether the entry is wanted.
    pub fn admits(&self, entry: &Entry) -> bool {
        let filter = &self.filter;
        let subject = Subject::of(&entry.occurrence);
        let time = entry.stamp.get_time();
        let service = || {
            let by_server = |s| self.configuration.server_service(s);
            subject
                .service
                .or_else(|| subject.server.and_then(by_server))
        };
        let zone = || {
            let by_server = |s| self.configuration.server_zone(s);
            subject.zone.or_else(|| subject.server.and_then(by_server))
        };
        filter.since.is_none_or(|since| *time >= since)
            && filter.until.is_none_or(|until| *time < until)
            && filter.flow.is_none_or(|f| subject.flow == Some(f))
            && filter.server.is_none_or(|s| subject.server == Some(s))
            && filter.service.is_none_or(|s| service() == Some(s))
            && filter.zone.is_none_or(|z| zone() == Some(z))
    }
}
