//! Messages from the operators' server to the other actors of the daemon. Where a reply cannot
//! fail, the handler returns a `Result` with [`kameo::error::Infallible`].

use std::net::SocketAddr;

use lovagespindle_decisions::config::{
    Change,
    Configuration,
    Record, //
};
use lovagespindle_decisions::config_error::ConfigError;
use lovagespindle_decisions::ids::{
    FlowId,
    OperationId,
    Revision,
    ServiceId, //
};
use lovagespindle_decisions::status::Explanation;
use tokio::sync::broadcast;

use crate::filter::Selection;
use crate::timeline::Entry;

/// Changes the configuration; the reply is `Result<Revision, ApplyError>`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ApplyChanges {
    /// Random identifier chosen by the operator. A repeated operation takes effect once and returns
    /// the same revision; it is looked up before `expected` is compared.
    pub operation: OperationId,
    /// If set, the changes are applied only if the configuration is at this revision.
    pub expected: Option<Revision>,
    /// Applied in order, all or none; 1 to
    /// [`MAX_CHANGES`](lovagespindle_decisions::config::MAX_CHANGES) changes.
    pub changes: Vec<Change>,
}

/// Reason why changes were not applied.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum ApplyError {
    /// Nothing was changed: the configuration is not at the expected revision.
    #[error("the configuration is at revision {present}")]
    Conflict {
        /// Current revision of the configuration.
        present: Revision,
    },
    /// Nothing was changed: a change contradicts the configuration.
    #[error("change {index} is invalid: {reason}")]
    Invalid {
        /// Zero-based position of the change.
        index: u32,
        reason: ConfigError,
    },
    /// Nothing was changed: the store does not respond.
    #[error("the platform's store does not respond")]
    Unavailable,
    /// The write was sent to the store, but the response was lost.
    #[error("the response of the platform's store was lost")]
    OutcomeUnknown,
}

impl ApplyError {
    /// Returns the error for a record that the configuration rejected with `reason`, with the
    /// position of the first change that does not apply.
    pub fn invalid(configuration: &Configuration, record: &Record, reason: ConfigError) -> Self {
        let applies = |count: usize| {
            let prefix = Record {
                changes: record.changes[..count].to_vec(),
                ..record.clone()
            };
            configuration.check(&prefix).is_ok()
        };
        // If a prefix is rejected, so are all longer ones; a binary search finds the first change
        // that is rejected.
        let (mut accepted, mut rejected) = (0, record.changes.len());
        while rejected - accepted > 1 {
            let middle = accepted + (rejected - accepted) / 2;
            if applies(middle) {
                accepted = middle;
            } else {
                rejected = middle;
            }
        }
        ApplyError::Invalid {
            index: u32::try_from(accepted).unwrap_or(u32::MAX),
            reason,
        }
    }
}

/// Requests the active configuration; the reply is `Arc<Configuration>`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReadConfiguration;

/// Requests the status of the instance; the reply is `Status`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct GetStatus;

/// Requests where the packets of a flow are sent; the reply is [`FlowExplanation`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ExplainFlow {
    pub service: ServiceId,
    /// Address of the service.
    pub address: SocketAddr,
    pub caller: SocketAddr,
    /// Unique id that the fabric gave the flow.
    pub unique_id: u128,
}

/// Reply to [`ExplainFlow`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FlowExplanation {
    pub flow: FlowId,
    pub explanation: Explanation,
}

/// Requests the matching timeline entries, oldest first; the reply is `Vec<Entry>`.
#[derive(Clone, Debug)]
pub struct ReadTimeline(pub Selection);

/// Requests the matching timeline entries and all new ones; the reply is [`TimelineStream`].
#[derive(Clone, Debug)]
pub struct FollowTimeline(pub Selection);

/// Reply to [`FollowTimeline`]. No entry is missing between the two fields.
#[derive(Debug)]
pub struct TimelineStream {
    /// Matching entries, oldest first.
    pub history: Vec<Entry>,
    /// All new entries, without the filter applied.
    pub live: broadcast::Receiver<Entry>,
}
