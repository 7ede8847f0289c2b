//! The actor that writes operators' changes to the configuration log.

use std::sync::Arc;

use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::error::SendError;
use kameo::message::{
    Context,
    Message, //
};
use lovagespindle_decisions::Event;
use lovagespindle_decisions::config::{
    Configuration,
    Record, //
};
use lovagespindle_decisions::ids::Revision;
use lovagespindle_operators::messages::{
    ApplyChanges,
    ApplyError,
    ReadConfiguration, //
};
use lovagespindle_store::StoreError;
use lovagespindle_store::store::{
    Append,
    ReadAfter,
    Store, //
};

use crate::router::Router;

/// Number of attempts to append a change without an expected revision. An attempt fails if another
/// instance appends a record with the same revision first.
const MAX_ATTEMPTS: u32 = 8;

/// Writes operators' changes one after another, so that changes made through one instance do not
/// conflict with each other.
#[derive(Actor)]
pub struct Applier {
    router: ActorRef<Router>,
    store: ActorRef<Store>,
}

impl Applier {
    /// Creates an applier that validates changes against the router's configuration.
    pub fn new(router: ActorRef<Router>, store: ActorRef<Store>) -> Applier {
        Applier { router, store }
    }

    async fn apply(&mut self, change: ApplyChanges) -> Result<Revision, ApplyError> {
        for _ in 0..MAX_ATTEMPTS {
            let configuration = self.configuration().await?;
            if let Some(revision) = configuration.operation(change.operation) {
                return Ok(revision);
            }
            let present = configuration.revision;
            if change.expected.is_some_and(|expected| expected != present) {
                return Err(ApplyError::Conflict { present });
            }
            let record = Record {
                revision: Revision(present.0 + 1),
                operation: change.operation,
                changes: change.changes.clone(),
            };
            if let Err(reason) = configuration.check(&record) {
                return Err(ApplyError::invalid(&configuration, &record, reason));
            }
            match self.store.ask(Append(record.clone())).await {
                Ok(revision) => {
                    // Fails only while the instance is stopping; other instances read the log.
                    let _ = self.router.tell(Event::Records(vec![record])).await;
                    return Ok(revision);
                }
                Err(SendError::HandlerError(StoreError::Conflict { .. })) => {
                    self.catch_up(present).await?;
                }
                Err(SendError::HandlerError(error)) => return Err(apply_error(&error)),
                Err(_) => return Err(ApplyError::OutcomeUnknown),
            }
        }
        let present = self.configuration().await?.revision;
        Err(ApplyError::Conflict { present })
    }

    async fn configuration(&self) -> Result<Arc<Configuration>, ApplyError> {
        let reply = self.router.ask(ReadConfiguration).await;
        reply.map_err(|_| ApplyError::Unavailable)
    }

    /// Reads the records that other instances have written. The store actor delivers them to the
    /// router before it replies.
    async fn catch_up(&self, after: Revision) -> Result<(), ApplyError> {
        match self.store.ask(ReadAfter(after)).await {
            Ok(_) => Ok(()),
            Err(_) => Err(ApplyError::Unavailable),
        }
    }
}

fn apply_error(error: &StoreError) -> ApplyError {
    log::warn!("a configuration change failed or has an unknown outcome: {error}");
    match error {
        StoreError::Unknown { .. } => ApplyError::OutcomeUnknown,
        _ => ApplyError::Unavailable,
    }
}

impl Message<ApplyChanges> for Applier {
    type Reply = Result<Revision, ApplyError>;

    async fn handle(
        &mut self,
        change: ApplyChanges,
        _: &mut Context<Self, Self::Reply>,
    ) -> Self::Reply {
        self.apply(change).await
    }
}
