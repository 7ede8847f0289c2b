//! Text descriptions of configuration changes.

use lovagespindle_decisions::config::{
    Change,
    Configuration, //
};

/// Returns a description of a change.
pub(crate) fn describe(change: &Change) -> String {
    match change {
        Change::CreateZone { name, region } => format!("create zone {name} in region {region}"),
        Change::SetZone { name, state } => format!("set zone {name} {state}"),
        Change::DeleteZone { name } => format!("delete zone {name}"),
        Change::PutService {
            name,
            address,
            idle,
        } => {
            let idle = humantime::format_duration(*idle);
            format!("put service {name} at {address}, idle {idle}")
        }
        Change::DeleteService { name } => format!("delete service {name}"),
        Change::CreatePool {
            name,
            service,
            zone,
        } => format!("create pool {name} of service {service} in zone {zone}"),
        Change::DeletePool { name } => format!("delete pool {name}"),
        Change::PutServer {
            name,
            pool,
            address,
            health,
            weight,
            slots,
            connections,
        } => format!(
            "put server {name} in pool {pool} at {address}, health {health}, weight {weight}, \
             slots {slots}, connections {connections}"
        ),
        Change::SetServer { name, state } => format!("set server {name} {state}"),
        Change::DeleteServer { name } => format!("delete server {name}"),
    }
}

/// Returns the sign of a change: `+` if it creates an object, `~` if it changes one and `-` if it
/// deletes one.
pub(crate) fn sign(current: &Configuration, change: &Change) -> char {
    let exists = match change {
        Change::CreateZone { .. } | Change::CreatePool { .. } => false,
        Change::PutService { name, .. } => current.service_named(name).is_some(),
        Change::PutServer { name, .. } => current.server_named(name).is_some(),
        Change::SetZone { .. } | Change::SetServer { .. } => true,
        Change::DeleteZone { .. }
        | Change::DeleteService { .. }
        | Change::DeletePool { .. }
        | Change::DeleteServer { .. } => return '-',
    };
    if exists { '~' } else { '+' }
}
