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

/// How often a change without an expected revision is tried again after it lost a race.
const RACES: u32 = 8;

/// Writes operators' changes, one after another, so that the changes of one instance do not race
/// each other.
#[derive(Actor)]
pub struct Applier {
    router: ActorRef<Router>,
    store: ActorRef<Store>,
}

impl Applier {
    /// Creates an applier that checks changes against the router's configuration.
    pub fn new(router: ActorRef<Router>, store: ActorRef<Store>) -> Applier {
        Applier { router, store }
    }

    async fn apply(&mut self, change: ApplyChanges) -> Result<Revision, ApplyError> {
        for _ in 0..RACES {
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
                    // Fails only while the instance is stopping; others read the log.
                    let _ = self.router.tell(Event::Records(vec![record])).await;
                    return Ok(revision);
                }
                Err(SendError::HandlerError(StoreError::Conflict { .. })) => {
                    self.catch_up(present).await?;
                }
                Err(SendError::HandlerError(error)) => return Err(refusal(&error)),
                Err(_) => return Err(ApplyError::OutcomeUnknown),
            }
        }
        let present = self.configuration().await?.revision;
        Err(ApplyError::Conflict { present })
    }

    async fn configuration(&self) -> Result<Arc<Configuration>, ApplyError> {
        let asked = self.router.ask(ReadConfiguration).await;
        asked.map_err(|_| ApplyError::Unavailable)
    }

    /// Reads what other instances have written. The store delivers it to the router before it
    /// answers.
    async fn catch_up(&self, after: Revision) -> Result<(), ApplyError> {
        match self.store.ask(ReadAfter(after)).await {
            Ok(_) => Ok(()),
            Err(_) => Err(ApplyError::Unavailable),
        }
    }
}

fn refusal(error: &StoreError) -> ApplyError {
    log::warn!("a change was not written: {error}");
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
