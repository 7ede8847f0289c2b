//! Access to the instances, shared by all commands.

use lovagespindle_decisions::config::Change;
use lovagespindle_decisions::ids::{
    OperationId,
    Revision, //
};
use lovagespindle_operators::client::{
    Client,
    Settings, //
};
use lovagespindle_operators::messages::ApplyChanges;
use rand_core::{
    OsRng,
    TryRngCore, //
};
use serde_json::json;

use crate::args::Globals;
use crate::describe::describe;
use crate::exit::Failure;
use crate::report::Report;

/// The client and the options that commands use.
pub(crate) struct Session {
    pub(crate) client: Client,
    /// Whether to print JSON.
    pub(crate) json: bool,
    /// Revision that the configuration must have for changes to be applied.
    pub(crate) expected: Option<Revision>,
    operation: Option<OperationId>,
}

impl Session {
    pub(crate) fn new(globals: Globals) -> Session {
        let settings = Settings {
            timeout: globals.timeout,
            ..Settings::default()
        };
        Session {
            client: Client::new(globals.instances, settings),
            json: globals.json,
            expected: globals.expected,
            operation: globals.operation,
        }
    }

    /// Applies one change.
    ///
    /// Returns an error if the change is rejected, no instance can be reached or the outcome is
    /// unknown.
    pub(crate) async fn change(&self, change: Change) -> Result<Report, Failure> {
        let operation = match self.operation {
            Some(operation) => operation,
            None => random_operation()?,
        };
        let text = describe(&change);
        let changes = ApplyChanges {
            operation,
            expected: self.expected,
            changes: vec![change],
        };
        let applied = self.client.apply(&changes).await;
        let revision = applied.map_err(|source| Failure::Apply { source, operation })?;
        Ok(Report {
            text: format!("{text}: revision {revision}\n"),
            json: json!({
                "revision": revision.0,
                "operation": format!("{:032x}", operation.0),
            }),
        })
    }
}

/// Returns a random operation id, or an error if the operating system provides no random bytes.
pub(crate) fn random_operation() -> Result<OperationId, Failure> {
    let mut bytes = [0; 16];
    OsRng.try_fill_bytes(&mut bytes).map_err(Failure::Random)?;
    Ok(OperationId(u128::from_ne_bytes(bytes)))
}
