//! Resolves the names in requests.

use std::sync::Arc;

use lovagespindle_decisions::config::{
    Configuration,
    Service, //
};
use lovagespindle_decisions::config_error::Kind;
use lovagespindle_decisions::ids::{
    BackendServerId,
    FlowId,
    Revision,
    ServiceId,
    ZoneId, //
};
use uhlc::NTP64;

use crate::filter::{
    Filter,
    Selection, //
};
use crate::generated::v1;
use crate::names::resolve;

/// A name in a request does not exist in the configuration.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error(
    "{kind} {name} does not exist at revision {revision}: \
     correct the name, or give # and the identifier if it was deleted"
)]
pub struct UnknownName {
    pub kind: Kind,
    pub name: String,
    /// Revision of the configuration that was searched.
    pub revision: Revision,
}

/// Resolves a name; returns `None` if none is given, and an error if it does not exist.
fn find(
    configuration: &Configuration,
    kind: Kind,
    name: Option<&str>,
    lookup: impl FnOnce(&str) -> Option<u32>,
) -> Result<Option<u32>, UnknownName> {
    let Some(name) = name else {
        return Ok(None);
    };
    match resolve(name, lookup) {
        Some(id) => Ok(Some(id)),
        None => Err(UnknownName {
            kind,
            name: name.to_owned(),
            revision: configuration.revision,
        }),
    }
}

/// Returns the service of this name, or an error if it does not exist.
pub fn service<'a>(
    configuration: &'a Configuration,
    name: &str,
) -> Result<&'a Service, UnknownName> {
    let service = configuration.service_named(name);
    service.ok_or_else(|| UnknownName {
        kind: Kind::Service,
        name: name.to_owned(),
        revision: configuration.revision,
    })
}

/// Resolves the names of a filter. Returns an error if one does not exist.
pub fn selection(
    filter: v1::TimelineFilter,
    configuration: Arc<Configuration>,
) -> Result<Selection, UnknownName> {
    let c = configuration.as_ref();
    let service = find(c, Kind::Service, filter.service.as_deref(), |name| {
        c.service_named(name).map(|s| s.id.0)
    })?;
    let server = find(c, Kind::Server, filter.backend_server.as_deref(), |name| {
        c.server_named(name).map(|s| s.id.0)
    })?;
    let zone = find(c, Kind::Zone, filter.zone.as_deref(), |name| {
        c.zone_named(name).map(|z| z.id.0)
    })?;
    Ok(Selection {
        filter: Filter {
            service: service.map(ServiceId),
            server: server.map(BackendServerId),
            zone: zone.map(ZoneId),
            flow: filter.flow.map(|f| FlowId(f.into())),
            since: filter.since.map(NTP64),
            until: filter.until.map(NTP64),
        },
        configuration,
    })
}
