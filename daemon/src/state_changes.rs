//! Logs state changes of the instance.

use lovagespindle_decisions::state_change::StateChange;

/// Logs a state change. Changes of single flows are too frequent for the log; they are only counted
/// and appended to the timeline.
pub fn log(change: &StateChange) {
    match change {
        StateChange::Started => log::info!("instance started"),
        StateChange::Leaving => log::info!("graceful shutdown started"),
        StateChange::Left => log::info!("graceful shutdown finished"),
        StateChange::Member {
            instance,
            zone,
            state,
        } => log::info!("member {instance:x?} of zone {zone} is {state}"),
        StateChange::Configured { revision } => {
            log::info!("configuration {revision} is active");
        }
        StateChange::Acquired {
            backend_server,
            flows,
        } => log::info!("acquired backend server {backend_server} with {flows} flows"),
        StateChange::Released {
            backend_server,
            owner,
        } => log::info!("released backend server {backend_server} to {owner:x?}"),
        StateChange::Fenced { backend_server } => {
            log::warn!("lease of backend server {backend_server} expired");
        }
        StateChange::Unfenced { backend_server } => {
            log::info!("lease of backend server {backend_server} was renewed");
        }
        StateChange::ColdStart { backend_server } => {
            log::warn!("backend server {backend_server} restarted unexpectedly");
        }
        StateChange::ServerDown { backend_server } => {
            log::warn!("backend server {backend_server} is marked down");
        }
        StateChange::ServerUp { backend_server } => {
            log::info!("backend server {backend_server} is marked up");
        }
        StateChange::PlatformLost => log::warn!("platform does not answer"),
        StateChange::PlatformBack => log::info!("platform answers again"),
        StateChange::FlowClosed { .. } | StateChange::FlowPlaced { .. } => {}
    }
}
