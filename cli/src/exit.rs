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

/// Exit codes of the command; scripts rely on the numbers.
///
/// "Nothing was changed" does not hold for [`Failure::Partial`], because earlier calls for the file
/// took effect, or for [`Failure::Output`], which can follow a change that took effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u8)]
pub(crate) enum Exit {
    Ok = 0,
    /// The request was rejected or not confirmed, or the command failed locally; nothing was
    /// changed.
    Refused = 1,
    /// The command line or a file is invalid; nothing was changed.
    Usage = 2,
    /// No instance answered; nothing was changed.
    Unreachable = 3,
    /// It is unknown whether the change took effect.
    Unknown = 4,
    /// The configuration is not at the expected revision; this command changed nothing.
    Conflict = 5,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> ExitCode {
        ExitCode::from(exit as u8)
    }
}

/// An error that ends a command. The message also says what the operator can do next.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Failure {
    #[error("{0}\nRun `lovagespindle --help` for the commands and options.")]
    Usage(#[from] UsageError),
    #[error("{path}: {source}\nCorrect the path.", path = .path.display())]
    File {
        /// Path as given on the command line.
        path: PathBuf,
        source: io::Error,
    },
    /// A file is invalid, or it cannot be turned into changes of the current configuration.
    #[error("{path}: {source}", path = .path.display())]
    Plan {
        path: PathBuf,
        source: Box<PlanError>,
    },
    /// A change from a file cannot be applied to the configuration.
    #[error("nothing was changed: {change}: {reason}\nCorrect the file and apply it again.")]
    Inapplicable {
        change: String,
        reason: Box<ConfigError>,
    },
    /// A change was not applied, or its outcome is unknown.
    #[error("{}{source}\n{}", effect_prefix(source), next_step(source, *operation))]
    Apply {
        source: ApplyFailure,
        /// Operation id of the call, needed to repeat it safely.
        operation: OperationId,
    },
    /// Some calls for a file succeeded before one failed.
    #[error(
        "{done} of {total} changes were applied, up to revision {revision}; \
         the next call failed: {source}\n\
         Apply the file again: only what is missing will be applied."
    )]
    Partial {
        /// Number of changes that were applied.
        done: usize,
        /// Number of changes in the file.
        total: usize,
        /// Revision after the applied changes.
        revision: Revision,
        /// Error of the call that failed.
        source: ApplyFailure,
    },
    /// No change of a file was applied, or the outcome of the first call is unknown.
    #[error("{effect}{0}\n{next}", effect = effect_prefix(.0), next = next_file_step(.0))]
    ApplyFile(ApplyFailure),
    /// A read failed on all instances.
    #[error("{0}\n{next}", next = next_read_step(.0))]
    Read(#[from] ReadFailure),
    /// The operator did not confirm the changes.
    #[error("nothing was changed: not confirmed")]
    Declined,
    /// The timeline streams of all instances ended.
    #[error("all timeline streams have ended\nRun the command again.")]
    FollowEnded,
    #[error("cannot write the output: {0}")]
    Output(#[from] io::Error),
    /// The operating system provided no random bytes for an operation id.
    #[error("cannot generate an operation id: {0}\nPass an id with --operation.")]
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

fn effect_prefix(failure: &ApplyFailure) -> &'static str {
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
            "Check the current configuration and repeat the command if the change is still needed."
        }
        ApplyFailure::Invalid { .. } | ApplyFailure::Refused(_) => {
            "Correct the command; nothing has to be undone."
        }
        ApplyFailure::Unavailable => {
            "The current configuration stays active. Repeat the command when the platform \
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
    pub(crate) fn exit(&self) -> Exit {
        match self {
            Failure::Usage(_) | Failure::File { .. } => Exit::Usage,
            Failure::Plan { source, .. } => match **source {
                PlanError::Moved { .. } | PlanError::AddressInUse { .. } => Exit::Refused,
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
