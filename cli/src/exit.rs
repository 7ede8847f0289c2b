//! Exit codes and the failures that lead to them.

use std::io;
use std::path::PathBuf;
use std::process::ExitCode;

use lovagespindle_decisions::config_error::ConfigError;
use lovagespindle_decisions::ids::{
    OperationId,
    Revision, //
};
use lovagespindle_operators::client::{
    ApplyFailure,
    ReadFailure, //
};
use lovagespindle_operators::plan::PlanError;

use crate::args::UsageError;

/// The exit codes, as documented in the operators' page.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u8)]
pub(crate) enum Exit {
    /// Done.
    Ok = 0,
    /// The system refused; nothing was changed.
    Refused = 1,
    /// The command line or a file is wrong; nothing was asked of the system.
    Usage = 2,
    /// No instance answered; nothing was changed.
    Unreachable = 3,
    /// It is unknown whether the change took effect.
    Unknown = 4,
    /// The configuration was changed by someone else; nothing was changed by this command.
    Conflict = 5,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> ExitCode {
        ExitCode::from(exit as u8)
    }
}

/// Why a command failed, and what to do next.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Failure {
    /// The command line is wrong.
    #[error("{0}\nRun `lovagespindle --help` for the commands and options.")]
    Usage(#[from] UsageError),
    /// A file cannot be read.
    #[error("{path}: {source}\nCorrect the path.", path = .path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// A file leads to no changes that can be applied.
    #[error("{path}: {source}", path = .path.display())]
    Plan {
        /// The file.
        path: PathBuf,
        /// Why.
        source: Box<PlanError>,
    },
    /// A change of a file does not fit the configuration.
    #[error("nothing was changed: {change}: {reason}\nCorrect the file and apply it again.")]
    Inapplicable {
        /// The change.
        change: String,
        /// Why it does not fit.
        reason: Box<ConfigError>,
    },
    /// A change was not made, or it is unknown whether it was.
    #[error("{}{source}\n{}", effect(source), next_step(source, *operation))]
    Apply {
        /// Why.
        source: ApplyFailure,
        /// The operation of the call.
        operation: OperationId,
    },
    /// A file was applied in part.
    #[error(
        "{done} of {total} changes were applied, up to revision {revision}; \
         the next call failed: {source}\n\
         Apply the file again: only what is missing will be applied."
    )]
    Partial {
        /// How many changes were applied.
        done: usize,
        /// How many there were.
        total: usize,
        /// The revision that they led to.
        revision: Revision,
        /// Why the next were not.
        source: ApplyFailure,
    },
    /// A file was not applied, or it is unknown whether it was.
    #[error("{effect}{0}\n{next}", effect = effect(.0), next = next_file_step(.0))]
    ApplyFile(ApplyFailure),
    /// Nothing could be read.
    #[error("{0}\n{next}", next = next_read_step(.0))]
    Read(#[from] ReadFailure),
    /// The operator declined.
    #[error("nothing was changed: not confirmed")]
    Declined,
    /// The followed time lines ended.
    #[error("no instance is followed any more\nRun the command again.")]
    FollowEnded,
    /// The output cannot be written.
    #[error("the output cannot be written: {0}")]
    Output(#[from] io::Error),
    /// The system gave no random numbers for an operation id.
    #[error("no random numbers: {0}\nGive --operation with an id of your own.")]
    Random(rand_core::OsError),
}

fn apply_exit(failure: &ApplyFailure) -> Exit {
    match failure {
        ApplyFailure::Conflict { .. } => Exit::Conflict,
        ApplyFailure::Invalid { .. } | ApplyFailure::Unavailable | ApplyFailure::Refused(_) => {
            Exit::Refused
        }
        ApplyFailure::Unreachable(_) => Exit::Unreachable,
        ApplyFailure::Unknown => Exit::Unknown,
    }
}

fn effect(failure: &ApplyFailure) -> &'static str {
    match failure {
        ApplyFailure::Unknown => "",
        _ => "nothing was changed: ",
    }
}

fn next_step(failure: &ApplyFailure, operation: OperationId) -> String {
    match failure {
        ApplyFailure::Unknown => format!(
            "Repeat the command with --operation {:032x}: it takes effect at most once.",
            operation.0
        ),
        other => next_file_step(other).to_owned(),
    }
}

fn next_file_step(failure: &ApplyFailure) -> &'static str {
    match failure {
        ApplyFailure::Conflict { .. } => {
            "Look at the present configuration and repeat the command if it is still wanted."
        }
        ApplyFailure::Invalid { .. } | ApplyFailure::Refused(_) => {
            "Correct the command; nothing has to be undone."
        }
        ApplyFailure::Unavailable => {
            "The configuration in force stays in force. Repeat the command when the platform \
             answers again; `lovagespindle status` shows platform_lost until then."
        }
        ApplyFailure::Unreachable(_) => "Check the addresses, or give other instances.",
        ApplyFailure::Unknown => "Apply the file again: only what is missing will be applied.",
    }
}

fn next_read_step(failure: &ReadFailure) -> &'static str {
    match failure {
        ReadFailure::Refused(_) => "Correct the command.",
        ReadFailure::Unreachable(_) => "Check the addresses, or give other instances.",
    }
}

impl Failure {
    /// Returns the exit code.
    pub(crate) fn exit(&self) -> Exit {
        match self {
            Failure::Usage(_) | Failure::File { .. } => Exit::Usage,
            Failure::Plan { source, .. } => match **source {
                PlanError::Moved { .. } | PlanError::AddressHeld { .. } => Exit::Refused,
                _ => Exit::Usage,
            },
            Failure::Apply { source, .. }
            | Failure::Partial { source, .. }
            | Failure::ApplyFile(source) => apply_exit(source),
            Failure::Read(ReadFailure::Unreachable(_)) | Failure::FollowEnded => Exit::Unreachable,
            Failure::Read(ReadFailure::Refused(_))
            | Failure::Inapplicable { .. }
            | Failure::Declined
            | Failure::Output(_)
            | Failure::Random(_) => Exit::Refused,
        }
    }
}
