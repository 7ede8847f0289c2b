//! The `timeline` command: shows the merged timelines of all given instances.

use std::time::SystemTime;

use lovagespindle_decisions::ids::FlowId;
use lovagespindle_operators::client::ReadFailure;
use lovagespindle_operators::connection::{
    CallError,
    TimelineQuery, //
};
use lovagespindle_operators::names::Names;
use lovagespindle_operators::timeline::merge;
use pico_args::Arguments;
use uhlc::NTP64;

use crate::args::{
    UsageError,
    hex,
    text, //
};
use crate::exit::Failure;
use crate::report::Report;
use crate::session::Session;
use crate::{
    entry,
    follow, //
};

#[derive(Debug)]
pub(crate) struct Command {
    query: TimelineQuery,
    follow: bool,
}

impl Command {
    /// Parses the remaining arguments.
    pub(crate) fn parse(arguments: &mut Arguments) -> Result<Command, UsageError> {
        let now = SystemTime::now();
        let query = TimelineQuery {
            service: text(arguments, "--service")?,
            server: text(arguments, "--server")?,
            zone: text(arguments, "--zone")?,
            flow: hex(arguments, "--flow")?.map(FlowId),
            since: parse_time(arguments, "--since", now)?,
            until: parse_time(arguments, "--until", now)?,
        };
        let follow = arguments.contains("--follow");
        if follow && query.until.is_some() {
            return Err(UsageError::Exclusive {
                first: "--follow",
                second: "--until",
            });
        }
        Ok(Command { query, follow })
    }

    pub(crate) async fn run(self, session: &Session) -> Result<Report, Failure> {
        if self.follow {
            return follow::run(session, &self.query).await;
        }
        let mut lists = Vec::new();
        let mut names = Names::default();
        let mut failures = Vec::new();
        for (_, answer) in session.client.timeline(&self.query).await {
            match answer {
                Ok((entries, answer_names)) => {
                    lists.push(entries);
                    names.0.extend(answer_names.0);
                }
                Err(e) => failures.push(e),
            }
        }
        if lists.is_empty() {
            return Err(Failure::Read(read_failure(failures)));
        }
        for failure in failures {
            eprintln!("lovagespindle: the output is incomplete: {failure}");
        }
        let merged = merge(lists);
        let lines = merged.iter().map(|e| entry::line(e, &names));
        Ok(Report {
            text: lines.collect(),
            json: merged.iter().map(|e| entry::value(e, &names)).collect(),
        })
    }
}

/// Returns the error to report if no instance answered. A refusal takes precedence, because the
/// operator can correct it.
pub(crate) fn read_failure(mut failures: Vec<CallError>) -> ReadFailure {
    let refusal = |e: &CallError| matches!(e, CallError::Refused { .. });
    if let Some(position) = failures.iter().position(refusal) {
        return ReadFailure::Refused(failures.swap_remove(position));
    }
    ReadFailure::Unreachable(failures.pop().unwrap_or(CallError::NoInstance))
}

/// Parses an optional option whose value is an RFC 3339 time or a duration before now.
fn parse_time(
    arguments: &mut Arguments,
    option: &'static str,
    now: SystemTime,
) -> Result<Option<NTP64>, UsageError> {
    let Some(text) = text(arguments, option)? else {
        return Ok(None);
    };
    if let Ok(time) = NTP64::parse_rfc3339(&text) {
        return Ok(Some(time));
    }
    let ago = humantime::parse_duration(&text).ok();
    let then = ago.and_then(|ago| now.checked_sub(ago));
    let since_epoch = then.and_then(|t| t.duration_since(SystemTime::UNIX_EPOCH).ok());
    match since_epoch {
        Some(time) => Ok(Some(NTP64::from(time))),
        None => Err(UsageError::Value {
            option,
            form: "a time such as 2026-01-31T08:00:00Z or how long ago, such as 10m",
            value: text,
        }),
    }
}
