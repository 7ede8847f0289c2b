//! The command that applies a file with the whole wanted state.

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
    Wanted,
    difference, //
};
use pico_args::Arguments;
use serde_json::json;

use crate::args::{
    UsageError,
    free, //
};
use crate::describe::{
    describe,
    sign, //
};
use crate::exit::Failure;
use crate::report::Report;
use crate::session::{
    Session,
    draw, //
};

/// How to go on after the difference is known.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Mode {
    /// Ask at the terminal.
    Ask,
    /// Apply it.
    Yes,
    /// Only print it.
    Preview,
}

/// Applies a file.
#[derive(Debug)]
pub(crate) struct Command {
    path: PathBuf,
    mode: Mode,
}

impl Command {
    /// Takes the rest of the command line.
    pub(crate) fn parse(arguments: &mut Arguments) -> Result<Command, UsageError> {
        let yes = arguments.contains("--yes");
        let preview = arguments.contains("--preview");
        let path = free(arguments, "the file")?.into();
        let mode = match (yes, preview) {
            (true, true) => {
                return Err(UsageError::Exclusive {
                    first: "--yes",
                    second: "--preview",
                });
            }
            (true, false) => Mode::Yes,
            (false, true) => Mode::Preview,
            (false, false) if io::stdin().is_terminal() => Mode::Ask,
            (false, false) => return Err(UsageError::NoTerminal),
        };
        Ok(Command { path, mode })
    }

    /// Runs the command.
    pub(crate) async fn run(self, session: &Session) -> Result<Report, Failure> {
        let wanted = self.read()?;
        let present = session.client.configuration().await?;
        expect(session.expected, &present)?;
        let changes = difference(&present, &wanted).map_err(|e| self.plan(e))?;
        check(&present, &changes)?;
        let lines = changes
            .iter()
            .map(|c| format!("{} {}\n", sign(&present, c), describe(c)));
        let text: String = lines.collect();
        if changes.is_empty() || self.mode == Mode::Preview {
            return Ok(report(text, &changes, present.revision, false));
        }
        if self.mode == Mode::Ask && !confirmed(&text)? {
            return Err(Failure::Declined);
        }
        let revision = apply(session, &present, &changes).await?;
        let shown = if self.mode == Mode::Ask {
            String::new()
        } else {
            text
        };
        Ok(report(shown, &changes, revision, true))
    }

    fn read(&self) -> Result<Wanted, Failure> {
        let text = std::fs::read_to_string(&self.path).map_err(|source| Failure::File {
            path: self.path.clone(),
            source,
        })?;
        Wanted::parse(&text).map_err(|e| self.plan(e))
    }

    fn plan(&self, source: lovagespindle_operators::plan::PlanError) -> Failure {
        Failure::Plan {
            path: self.path.clone(),
            source: Box::new(source),
        }
    }
}

fn expect(expected: Option<Revision>, present: &Configuration) -> Result<(), Failure> {
    match expected {
        Some(expected) if expected != present.revision => {
            Err(Failure::ApplyFile(ApplyFailure::Conflict {
                present: present.revision,
            }))
        }
        Some(_) | None => Ok(()),
    }
}

/// Applies the changes to a copy, so that a mistake is found before anything is asked or changed.
fn check(present: &Configuration, changes: &[Change]) -> Result<(), Failure> {
    let mut copy = present.clone();
    for batch in changes.chunks(MAX_CHANGES) {
        let record = Record {
            revision: Revision(copy.revision.0 + 1),
            operation: draw()?,
            changes: batch.to_vec(),
        };
        let applied = copy.apply(&record);
        applied.map_err(|e| unfit(ApplyError::invalid(&copy, &record, e), batch))?;
    }
    Ok(())
}

fn unfit(error: ApplyError, batch: &[Change]) -> Failure {
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

/// Applies the changes in calls of at most [`MAX_CHANGES`], each to exactly the revision that the
/// one before led to, so that changes by others in between are noticed.
async fn apply(
    session: &Session,
    present: &Configuration,
    changes: &[Change],
) -> Result<Revision, Failure> {
    let mut revision = present.revision;
    for (batch, part) in changes.chunks(MAX_CHANGES).enumerate() {
        let call = ApplyChanges {
            operation: draw()?,
            expected: Some(revision),
            changes: part.to_vec(),
        };
        let applied = session.client.apply(&call).await;
        revision = applied.map_err(|source| match batch {
            0 => Failure::ApplyFile(source),
            _ => Failure::Partial {
                done: batch * MAX_CHANGES,
                total: changes.len(),
                revision,
                source,
            },
        })?;
    }
    Ok(revision)
}

fn confirmed(difference: &str) -> io::Result<bool> {
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
