//! The `apply` command: applies a file with the complete desired state.

use std::io;
use std::io::{
    IsTerminal,
    Write, //
};
use std::path::PathBuf;

use lovagespindle_decisions::config::{
    Change,
    Configuration,
    MAX_CHANGES,
    Record, //
};
use lovagespindle_decisions::ids::Revision;
use lovagespindle_operators::client::ApplyFailure;
use lovagespindle_operators::messages::{
    ApplyChanges,
    ApplyError, //
};
use lovagespindle_operators::plan::{
    Desired,
    diff, //
};
use pico_args::Arguments;
use serde_json::json;

use crate::args::{
    UsageError,
    positional, //
};
use crate::describe::{
    describe,
    sign, //
};
use crate::exit::Failure;
use crate::report::Report;
use crate::session::{
    Session,
    random_operation, //
};

/// What to do with the computed changes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Mode {
    /// Apply them after confirmation at the terminal.
    Confirm,
    /// Apply them without confirmation.
    Apply,
    /// Only print them.
    Preview,
}

#[derive(Debug)]
pub(crate) struct Command {
    path: PathBuf,
    mode: Mode,
}

impl Command {
    /// Parses the remaining arguments.
    pub(crate) fn parse(arguments: &mut Arguments) -> Result<Command, UsageError> {
        let yes = arguments.contains("--yes");
        let preview = arguments.contains("--preview");
        let path = positional(arguments, "the file")?.into();
        let mode = match (yes, preview) {
            (true, true) => {
                return Err(UsageError::Exclusive {
                    first: "--yes",
                    second: "--preview",
                });
            }
            (true, false) => Mode::Apply,
            (false, true) => Mode::Preview,
            (false, false) if io::stdin().is_terminal() => Mode::Confirm,
            (false, false) => return Err(UsageError::NoTerminal),
        };
        Ok(Command { path, mode })
    }

    pub(crate) async fn run(self, session: &Session) -> Result<Report, Failure> {
        let desired = self.read()?;
        let current = session.client.configuration().await?;
        check_revision(session.expected, &current)?;
        let changes = diff(&current, &desired).map_err(|e| self.plan_failure(e))?;
        check_changes(&current, &changes)?;
        let lines = changes
            .iter()
            .map(|c| format!("{} {}\n", sign(&current, c), describe(c)));
        let text: String = lines.collect();
        if changes.is_empty() || self.mode == Mode::Preview {
            return Ok(report(text, &changes, current.revision, false));
        }
        if self.mode == Mode::Confirm && !confirm(&text)? {
            return Err(Failure::Declined);
        }
        let revision = apply(session, &current, &changes).await?;
        let shown = if self.mode == Mode::Confirm {
            String::new()
        } else {
            text
        };
        Ok(report(shown, &changes, revision, true))
    }

    fn read(&self) -> Result<Desired, Failure> {
        let text = std::fs::read_to_string(&self.path).map_err(|source| Failure::File {
            path: self.path.clone(),
            source,
        })?;
        Desired::parse(&text).map_err(|e| self.plan_failure(e))
    }

    fn plan_failure(&self, source: lovagespindle_operators::plan::PlanError) -> Failure {
        Failure::Plan {
            path: self.path.clone(),
            source: Box::new(source),
        }
    }
}

fn check_revision(expected: Option<Revision>, current: &Configuration) -> Result<(), Failure> {
    match expected {
        Some(expected) if expected != current.revision => {
            Err(Failure::ApplyFile(ApplyFailure::Conflict {
                present: current.revision,
            }))
        }
        Some(_) | None => Ok(()),
    }
}

/// Applies the changes to a copy of the configuration, so that an invalid change is reported before
/// the operator is asked for confirmation and before anything is changed.
fn check_changes(current: &Configuration, changes: &[Change]) -> Result<(), Failure> {
    let mut copy = current.clone();
    for batch in changes.chunks(MAX_CHANGES) {
        let record = Record {
            revision: Revision(copy.revision.0 + 1),
            operation: random_operation()?,
            changes: batch.to_vec(),
        };
        let applied = copy.apply(&record);
        applied.map_err(|e| inapplicable(ApplyError::invalid(&copy, &record, e), batch))?;
    }
    Ok(())
}

fn inapplicable(error: ApplyError, batch: &[Change]) -> Failure {
    match error {
        ApplyError::Invalid { index, reason } => Failure::Inapplicable {
            change: batch.get(index as usize).map_or_else(String::new, describe),
            reason: Box::new(reason),
        },
        ApplyError::Conflict { present } => Failure::ApplyFile(ApplyFailure::Conflict { present }),
        ApplyError::Unavailable => Failure::ApplyFile(ApplyFailure::Unavailable),
        ApplyError::OutcomeUnknown => Failure::ApplyFile(ApplyFailure::Unknown),
    }
}

/// Applies the changes in calls of at most [`MAX_CHANGES`]. Each call expects the revision that the
/// previous one returned, so that a concurrent change by another client causes a conflict.
async fn apply(
    session: &Session,
    current: &Configuration,
    changes: &[Change],
) -> Result<Revision, Failure> {
    let mut revision = current.revision;
    for (index, part) in changes.chunks(MAX_CHANGES).enumerate() {
        let call = ApplyChanges {
            operation: random_operation()?,
            expected: Some(revision),
            changes: part.to_vec(),
        };
        let applied = session.client.apply(&call).await;
        revision = applied.map_err(|source| match index {
            0 => Failure::ApplyFile(source),
            _ => Failure::Partial {
                done: index * MAX_CHANGES,
                total: changes.len(),
                revision,
                source,
            },
        })?;
    }
    Ok(revision)
}

fn confirm(difference: &str) -> io::Result<bool> {
    let mut err = io::stderr().lock();
    write!(err, "{difference}Apply? [y/N] ")?;
    err.flush()?;
    let mut answer = String::new();
    io::stdin().read_line(&mut answer)?;
    Ok(matches!(answer.trim(), "y" | "Y" | "yes"))
}

fn report(mut text: String, changes: &[Change], revision: Revision, applied: bool) -> Report {
    let count = changes.len();
    text.push_str(&match (count, applied) {
        (0, _) => format!("nothing to change at revision {revision}\n"),
        (_, true) => format!("{count} changes applied: revision {revision}\n"),
        (_, false) => format!("{count} changes to apply to revision {revision}\n"),
    });
    Report {
        text,
        json: json!({
            "applied": applied,
            "revision": revision.0,
            "changes": changes.iter().map(describe).collect::<Vec<_>>(),
        }),
    }
}
