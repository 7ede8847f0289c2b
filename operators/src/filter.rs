//! Filters for timeline entries.

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

/// Conditions on timeline entries. An entry has to meet every condition that is set.
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
    /// Earliest time, inclusive.
    pub since: Option<NTP64>,
    /// Latest time, exclusive.
    pub until: Option<NTP64>,
}

/// Objects that a state change itself names.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct EntrySubject {
    pub service: Option<ServiceId>,
    pub server: Option<BackendServerId>,
    pub zone: Option<ZoneId>,
    pub flow: Option<FlowId>,
}

impl EntrySubject {
    /// Returns the objects that `change` names.
    pub fn of(change: &StateChange) -> EntrySubject {
        match *change {
            StateChange::Started
            | StateChange::Leaving
            | StateChange::Left
            | StateChange::Configured { .. }
            | StateChange::PlatformLost
            | StateChange::PlatformBack => EntrySubject::default(),
            StateChange::Member { zone, .. } => EntrySubject {
                zone: Some(zone),
                ..EntrySubject::default()
            },
            StateChange::Acquired { backend_server, .. }
            | StateChange::Released { backend_server, .. }
            | StateChange::Fenced { backend_server }
            | StateChange::Unfenced { backend_server }
            | StateChange::ColdStart { backend_server }
            | StateChange::ServerDown { backend_server }
            | StateChange::ServerUp { backend_server } => EntrySubject {
                server: Some(backend_server),
                ..EntrySubject::default()
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
            } => EntrySubject {
                service: Some(service),
                server: Some(backend_server),
                zone: None,
                flow: Some(flow),
            },
        }
    }

    /// Returns the identifiers of the service, backend server and zone; they are unique across
    /// kinds of objects.
    pub fn ids(self) -> impl Iterator<Item = u32> {
        let ids = [
            self.service.map(|s| s.0),
            self.server.map(|s| s.0),
            self.zone.map(|z| z.0),
        ];
        ids.into_iter().flatten()
    }
}

/// A filter and the configuration that maps backend servers to their service and zone. An entry
/// about a deleted backend server matches only by flow, by backend server, or by the service that
/// the entry itself names.
#[derive(Clone, Debug)]
pub struct Selection {
    pub filter: Filter,
    pub configuration: Arc<Configuration>,
}

impl Selection {
    /// Returns whether the entry meets all conditions of the filter.
    pub fn matches(&self, entry: &Entry) -> bool {
        let filter = &self.filter;
        let subject = EntrySubject::of(&entry.change);
        let time = entry.timestamp.get_time();
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
