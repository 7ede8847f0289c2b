//! Why a call to the platform's key-value service failed.

use lovagespindle_decisions::config_error::ConfigError;
use lovagespindle_decisions::ids::Revision;

use crate::codec::DecodeError;

/// Why a call to the platform's key-value service failed.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The URL of the service is not valid.
    #[error("the platform's endpoint is not a valid URL: correct the setting `endpoint`")]
    Endpoint(#[source] tonic::transport::Error),
    /// The service cannot be reached. Nothing was written.
    #[error("the platform does not answer: nothing was changed, try again later")]
    Unavailable(#[source] Box<tonic::Status>),
    /// A call took too long. Nothing was written.
    #[error("the platform did not answer in time: nothing was changed, try again later")]
    Timeout,
    /// The outcome of a write is unknown.
    #[error(
        "it is unknown whether revision {revision} was written: \
         repeat the call with the same operation id"
    )]
    Unknown {
        /// The revision of the record.
        revision: Revision,
    },
    /// Another change was first.
    #[error(
        "another change was first and the configuration is at revision {current}: \
         read it again and repeat the call with the same operation id"
    )]
    Conflict {
        /// The present revision.
        current: Revision,
    },
    /// The service refused the call.
    #[error("the platform refused the call: {}", .0.message())]
    Refused(#[source] Box<tonic::Status>),
    /// The service broke the protocol.
    #[error("the platform sent an answer that does not belong to the call: check its version")]
    Protocol,
    /// A stored value cannot be read.
    #[error("the stored value of {key} is corrupt: {source}")]
    Corrupt {
        /// The key.
        key: String,
        /// What is wrong.
        source: DecodeError,
    },
    /// A stored configuration is not valid.
    #[error("the stored configuration is not valid: {0}")]
    Invalid(#[from] ConfigError),
    /// The log has a gap and no snapshot covers it.
    #[error(
        "the stored log lacks the change after revision {after} and no snapshot covers it: \
         restore the keys under config/ or start a new installation"
    )]
    Gap {
        /// The last revision before the gap.
        after: Revision,
    },
    /// The service no longer has the changes that a watch asked for.
    #[error("the platform has dropped the changes that the watch asked for: they are read instead")]
    Compacted,
    /// Another instance took the role of writer over.
    #[error("the lease of the snapshot's writer lapsed: another instance writes the snapshot")]
    LeaseLost,
    /// The instance is stopping.
    #[error("the instance is stopping: call another instance")]
    Stopping,
}

impl StoreError {
    /// Returns whether the service may have failed to answer at all.
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
