//! Log lines for changes of state.

use lovagespindle_decisions::occurrence::Occurrence;

/// Writes a log line for a change of state. What can happen to every flow is only counted and kept
/// on the time line.
pub fn log(occurrence: &Occurrence) {
    match occurrence {
        Occurrence::Started => log::info!("instance started"),
        Occurrence::Leaving => log::info!("graceful shutdown began"),
        Occurrence::Left => log::info!("everything is handed over"),
        Occurrence::Member {
            instance,
            zone,
            state,
        } => log::info!("member {instance:x?} of zone {zone} is {state}"),
        Occurrence::Configured { revision } => {
            log::info!("configuration {revision} is in force");
        }
        Occurrence::Acquired {
            backend_server,
            flows,
        } => log::info!("acquired backend server {backend_server} with {flows} flows"),
        Occurrence::Released {
            backend_server,
            owner,
        } => log::info!("released backend server {backend_server} to {owner:x?}"),
        Occurrence::Fenced { backend_server } => {
            log::warn!("lease of backend server {backend_server} lapsed");
        }
        Occurrence::Unfenced { backend_server } => {
            log::info!("lease of backend server {backend_server} is renewed");
        }
        Occurrence::ColdStart { backend_server } => {
            log::warn!("backend server {backend_server} started again");
        }
        Occurrence::ServerDown { backend_server } => {
            log::warn!("backend server {backend_server} is taken for failed");
        }
        Occurrence::ServerUp { backend_server } => {
            log::info!("backend server {backend_server} works again");
        }
        Occurrence::PlatformLost => log::warn!("platform does not answer"),
        Occurrence::PlatformBack => log::info!("platform answers again"),
        Occurrence::FlowClosed { .. } | Occurrence::FlowPlaced { .. } => {}
    }
}
