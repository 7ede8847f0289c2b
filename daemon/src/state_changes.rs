//! Log lines for changes of state.

use lovagespindle_decisions::state_change::StateChange;

/// Writes a log line for a change of state. What can happen to every flow is only counted and kept
/// on the time line.
pub fn log(change: &StateChange) {
    match change {
        StateChange::Started => log::info!("instance started"),
        StateChange::Leaving => log::info!("graceful shutdown began"),
        StateChange::Left => log::info!("everything is handed over"),
        StateChange::Member {
            instance,
            zone,
            state,
        } => log::info!("member {instance:x?} of zone {zone} is {state}"),
        StateChange::Configured { revision } => {
            log::info!("configuration {revision} is in force");
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
            log::warn!("lease of backend server {backend_server} lapsed");
        }
        StateChange::Unfenced { backend_server } => {
            log::info!("lease of backend server {backend_server} is renewed");
        }
        StateChange::ColdStart { backend_server } => {
            log::warn!("backend server {backend_server} started again");
        }
        StateChange::ServerDown { backend_server } => {
            log::warn!("backend server {backend_server} is taken for failed");
        }
        StateChange::ServerUp { backend_server } => {
            log::info!("backend server {backend_server} works again");
        }
        StateChange::PlatformLost => log::warn!("platform does not answer"),
        StateChange::PlatformBack => log::info!("platform answers again"),
        StateChange::FlowClosed { .. } | StateChange::FlowPlaced { .. } => {}
    }
}
