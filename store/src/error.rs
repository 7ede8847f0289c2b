//! Errors of calls to the platform's key-value service.

use lovagespindle_decisions::config_error::ConfigError;
use lovagespindle_decisions::ids::Revision;

use crate::codec::DecodeError;

/// Why a call to the platform's key-value service failed.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The URL of the service is invalid.
    #[error("invalid URL of the platform: correct the setting `endpoint`")]
    Endpoint(#[source] tonic::transport::Error),
    /// The service is unavailable. An [`Append`](crate::store::Append) that returns this wrote
    /// nothing.
    #[error("the platform is unavailable: nothing was changed, try again later")]
    Unavailable(#[source] Box<tonic::Status>),
    /// A call timed out. An [`Append`](crate::store::Append) that returns this wrote nothing.
    #[error("the call to the platform timed out: nothing was changed, try again later")]
    Timeout,
    /// A write got no response, so the record may have been written.
    #[error(
        "it is unknown whether revision {revision} was written: \
         repeat the call with the same operation id"
    )]
    Unknown { revision: Revision },
    /// Another record was written first.
    #[error(
        "another change was written first, and the configuration is at revision {current}: \
         read it again and repeat the call with the same operation id"
    )]
    Conflict {
        /// The current revision of the configuration.
        current: Revision,
    },
    /// The service rejected the call.
    #[error("the platform rejected the call: {}", .0.message())]
    Refused(#[source] Box<tonic::Status>),
    /// The service sent a response that violates the protocol.
    #[error("the platform sent an unexpected response: check its version")]
    Protocol,
    /// A stored value cannot be decoded.
    #[error("the stored value of {key} is corrupt: {source}")]
    Corrupt { key: String, source: DecodeError },
    /// The stored configuration is invalid.
    #[error("the stored configuration is invalid: {0}")]
    Invalid(#[from] ConfigError),
    /// A change is missing from the log, and no snapshot contains it.
    #[error(
        "the change after revision {after} is missing from the stored log and from its snapshots: \
         restore the keys under config/ or start a new installation"
    )]
    Gap {
        /// The last revision before the gap.
        after: Revision,
    },
    /// The service no longer has the changes that a watch requested.
    #[error(
        "the platform no longer has the changes that the watch requested: the log is read instead"
    )]
    Compacted,
    /// The lease of the snapshot writer expired, so another instance may write the snapshot.
    #[error("the lease of the snapshot writer expired: another instance writes the snapshot")]
    LeaseLost,
    /// The instance is shutting down.
    #[error("the instance is shutting down: call another instance")]
    Stopping,
}

impl StoreError {
    /// Returns whether the service is unavailable or did not respond in time.
    pub fn is_outage(&self) -> bool {
        matches!(self, StoreError::Unavailable(_) | StoreError::Timeout)
    }
}

impl From<tonic::Status> for StoreError {
    fn from(status: tonic::Status) -> StoreError {
        use tonic::Code;
        match status.code() {
            Code::Unavailable
            | Code::Unknown
            | Code::Cancelled
            | Code::Aborted
            | Code::Internal
            | Code::DeadlineExceeded => StoreError::Unavailable(Box::new(status)),
            _ => StoreError::Refused(Box::new(status)),
        }
    }
}
