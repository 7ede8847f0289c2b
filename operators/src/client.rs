//! Client for operators that calls several instances.

use std::net::SocketAddr;
use std::time::Duration;

use lovagespindle_decisions::config::Configuration;
use lovagespindle_decisions::ids::Revision;
use lovagespindle_decisions::status::Status as InstanceStatus;
use tokio::task::JoinSet;

use crate::connection::{
    CallError,
    Connection,
    FlowQuery,
    Outcome,
    TimelineQuery, //
};
use crate::messages::{
    ApplyChanges,
    FlowExplanation, //
};
use crate::names::Names;
use crate::timeline::Entry;

#[derive(Clone, Debug)]
pub struct Settings {
    /// Timeout for connecting to one instance, and for each call to it.
    pub timeout: Duration,
    /// Maximum number of rounds in which a change is tried at every instance; at least 1.
    pub rounds: u32,
    /// Delay between rounds.
    pub retry_delay: Duration,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            timeout: Duration::from_secs(5),
            rounds: 3,
            retry_delay: Duration::from_millis(200),
        }
    }
}

/// Reason why a change is not known to have succeeded.
#[derive(Clone, Debug, thiserror::Error)]
pub enum ApplyFailure {
    /// Nothing was changed: the configuration is not at the expected revision.
    #[error("the configuration is already at revision {present}")]
    Conflict {
        /// Current revision of the configuration.
        present: Revision,
    },
    /// Nothing was changed: a change contradicts the configuration.
    #[error("{reason}")]
    Invalid {
        /// Zero-based position of the change.
        index: u32,
        reason: String,
    },
    /// Nothing was changed: the store responded to none of the instances that were called.
    #[error("the platform's store does not respond")]
    Unavailable,
    /// Nothing was changed: an instance refused the call.
    #[error("{0}")]
    Refused(CallError),
    /// Nothing was changed: no instance could be reached.
    #[error("{0}")]
    Unreachable(CallError),
    /// The change may have taken effect, or may still take effect.
    #[error("it is unknown whether the change took effect")]
    Unknown,
}

/// Reason why a read failed.
#[derive(Clone, Debug, thiserror::Error)]
pub enum ReadFailure {
    /// An instance refused the call.
    #[error("{0}")]
    Refused(CallError),
    /// No instance replied; holds the last error.
    #[error("{0}")]
    Unreachable(CallError),
}

/// Combined results of all attempts of one change.
#[derive(Default)]
struct Attempts {
    /// The outcome of an attempt that was sent is unknown; it may still take effect.
    lost: bool,
    /// An instance reported that the store does not respond.
    unavailable: bool,
    /// Last error of an instance that could not be reached.
    unreachable: Option<CallError>,
}

impl Attempts {
    fn into_failure(self) -> ApplyFailure {
        if self.lost {
            return ApplyFailure::Unknown;
        }
        if self.unavailable {
            return ApplyFailure::Unavailable;
        }
        ApplyFailure::Unreachable(self.unreachable.unwrap_or(CallError::NoInstance))
    }
}

/// Calls instances in order of preference, or all of them.
#[derive(Clone, Debug)]
pub struct Client {
    instances: Vec<SocketAddr>,
    settings: Settings,
}

impl Client {
    /// Creates a client of these instances, given in order of preference.
    pub fn new(instances: Vec<SocketAddr>, settings: Settings) -> Client {
        Client {
            instances,
            settings,
        }
    }

    pub fn instances(&self) -> &[SocketAddr] {
        &self.instances
    }

    /// Changes the configuration. If an instance does not reply, the next one is called with the
    /// same operation, so that the change takes effect at most once.
    ///
    /// Returns an error if no instance reports success; [`ApplyFailure::Unknown`] means that the
    /// change may still take effect.
    pub async fn apply(&self, changes: &ApplyChanges) -> Result<Revision, ApplyFailure> {
        let mut attempts = Attempts::default();
        for round in 0..self.settings.rounds.max(1) {
            if round > 0 {
                tokio::time::sleep(self.settings.retry_delay).await;
            }
            for instance in &self.instances {
                let outcome = self.attempt(*instance, changes).await;
                if let Some(result) = final_result(outcome, changes, &mut attempts) {
                    return result;
                }
            }
        }
        Err(attempts.into_failure())
    }

    async fn attempt(
        &self,
        instance: SocketAddr,
        changes: &ApplyChanges,
    ) -> Result<Outcome, CallError> {
        let mut connection = Connection::open(instance, self.settings.timeout).await?;
        connection.apply(changes).await
    }

    /// Returns the configuration of the first instance that replies. Returns an error if none
    /// replies or one refuses the call.
    pub async fn configuration(&self) -> Result<Configuration, ReadFailure> {
        self.call_first(async |mut c| c.configuration().await).await
    }

    /// Explains a flow from the state of the first instance that replies. Returns an error if none
    /// replies or one refuses the call.
    pub async fn explain(
        &self,
        query: &FlowQuery,
    ) -> Result<(FlowExplanation, Names), ReadFailure> {
        self.call_first(async |mut c| c.explain(query).await).await
    }

    async fn call_first<T>(
        &self,
        call: impl AsyncFn(Connection) -> Result<T, CallError>,
    ) -> Result<T, ReadFailure> {
        let mut last = None;
        for instance in &self.instances {
            let result = match Connection::open(*instance, self.settings.timeout).await {
                Ok(connection) => call(connection).await,
                Err(e) => Err(e),
            };
            match result {
                Ok(reply) => return Ok(reply),
                Err(e @ CallError::Refused { .. }) => return Err(ReadFailure::Refused(e)),
                Err(e) => last = Some(e),
            }
        }
        Err(ReadFailure::Unreachable(
            last.unwrap_or(CallError::NoInstance),
        ))
    }

    /// Returns the status of each instance, in order of instances.
    pub async fn status(&self) -> Vec<(SocketAddr, Result<(InstanceStatus, Names), CallError>)> {
        self.call_each(|instance, timeout| async move {
            Connection::open(instance, timeout).await?.status().await
        })
        .await
    }

    /// Returns the matching timeline entries of each instance, in order of instances.
    pub async fn timeline(
        &self,
        query: &TimelineQuery,
    ) -> Vec<(SocketAddr, Result<(Vec<Entry>, Names), CallError>)> {
        self.call_each(|instance, timeout| {
            let query = query.clone();
            async move {
                let mut connection = Connection::open(instance, timeout).await?;
                connection.timeline(&query).await
            }
        })
        .await
    }

    /// Calls all instances concurrently.
    async fn call_each<T, F>(
        &self,
        call: impl Fn(SocketAddr, Duration) -> F,
    ) -> Vec<(SocketAddr, Result<T, CallError>)>
    where
        T: Send + 'static,
        F: Future<Output = Result<T, CallError>> + Send + 'static,
    {
        let mut calls = JoinSet::new();
        for (position, instance) in self.instances.iter().enumerate() {
            let (instance, call) = (*instance, call(*instance, self.settings.timeout));
            calls.spawn(async move { (position, instance, call.await) });
        }
        let mut replies = calls.join_all().await;
        replies.sort_by_key(|(position, ..)| *position);
        let replies = replies.into_iter();
        replies
            .map(|(_, instance, reply)| (instance, reply))
            .collect()
    }

    /// Streams the timeline of one instance. Returns an error if it cannot be reached or does not
    /// accept the call.
    pub async fn follow(
        &self,
        instance: SocketAddr,
        query: &TimelineQuery,
    ) -> Result<crate::connection::Follow, CallError> {
        let connection = Connection::open(instance, self.settings.timeout).await?;
        connection.follow(query).await
    }
}

/// Returns the final result if the outcome of an attempt decides the change, and otherwise records
/// the outcome in `attempts`.
///
/// After a lost attempt, a rejection is final only if a revision was expected: without one, the
/// lost attempt may still arrive and apply to a later configuration.
fn final_result(
    outcome: Result<Outcome, CallError>,
    changes: &ApplyChanges,
    attempts: &mut Attempts,
) -> Option<Result<Revision, ApplyFailure>> {
    let open = attempts.lost && changes.expected.is_none();
    let rejected = |failure| Some(Err(if open { ApplyFailure::Unknown } else { failure }));
    match outcome {
        Ok(Outcome::Applied(revision)) => return Some(Ok(revision)),
        Ok(Outcome::Conflict(present)) => {
            return rejected(ApplyFailure::Conflict { present });
        }
        Ok(Outcome::Invalid { index, reason }) => {
            return rejected(ApplyFailure::Invalid { index, reason });
        }
        Err(CallError::Refused { .. }) if attempts.lost => return Some(Err(ApplyFailure::Unknown)),
        Err(e @ CallError::Refused { .. }) => return Some(Err(ApplyFailure::Refused(e))),
        Ok(Outcome::Unavailable) => attempts.unavailable = true,
        Ok(Outcome::Unknown) => attempts.lost = true,
        Err(CallError::Lost { .. } | CallError::Decode { .. }) => attempts.lost = true,
        Err(
            e @ (CallError::Unreachable { .. }
            | CallError::ConnectTimeout { .. }
            | CallError::NoInstance),
        ) => attempts.unreachable = Some(e),
    }
    None
}
