//! The `explain` command: shows where the packets of a flow are sent.

use std::fmt::Write;

use lovagespindle_decisions::ids::InstanceId;
use lovagespindle_decisions::status::FlowStatus;
use lovagespindle_operators::connection::FlowQuery;
use lovagespindle_operators::messages::FlowExplanation;
use lovagespindle_operators::names::Names;
use pico_args::Arguments;
use serde_json::{
    Value,
    json, //
};

use crate::args::{
    UsageError,
    address,
    hex,
    required,
    text, //
};
use crate::exit::Failure;
use crate::report::{
    Report,
    table, //
};
use crate::session::Session;

#[derive(Debug)]
pub(crate) struct Command(FlowQuery);

impl Command {
    /// Parses the remaining arguments.
    pub(crate) fn parse(arguments: &mut Arguments) -> Result<Command, UsageError> {
        Ok(Command(FlowQuery {
            service: required("--service", text(arguments, "--service")?)?,
            caller: required("--caller", address(arguments, "--caller")?)?,
            unique_id: required("--unique", hex(arguments, "--unique")?)?,
        }))
    }

    pub(crate) async fn run(self, session: &Session) -> Result<Report, Failure> {
        let (answer, names) = session.client.explain(&self.0).await?;
        Ok(Report {
            text: render(&answer, &names),
            json: value(&answer, &names),
        })
    }
}

fn format_instance(instance: Option<InstanceId>) -> Option<String> {
    instance.map(|i| format!("{:016x}", i.0))
}

fn describe_status(status: FlowStatus, names: &Names) -> String {
    match status {
        FlowStatus::None => "the instance that was asked holds nothing of the flow".to_owned(),
        FlowStatus::Hosted {
            backend_server,
            requests,
        } => format!(
            "served by {} through the instance that was asked, {requests} requests in progress",
            names.get(backend_server.0)
        ),
        FlowStatus::Redirected { backend_server } => {
            format!(
                "served by {} through its owner",
                names.get(backend_server.0)
            )
        }
        FlowStatus::Closed { reason } => format!("closed by the system: {reason}"),
    }
}

fn render(answer: &FlowExplanation, names: &Names) -> String {
    let explanation = &answer.explanation;
    let mut text = String::new();
    // Writing to a string cannot fail.
    let _ = writeln!(
        text,
        "flow {:032x} of service {} at revision {}",
        answer.flow.0,
        names.get(explanation.service.0),
        explanation.revision
    );
    let _ = writeln!(text, "{}", describe_status(explanation.status, names));
    let candidates = explanation.candidates.iter().enumerate();
    let rows: Vec<_> = candidates
        .map(|(position, c)| {
            let owner = format_instance(c.owner).unwrap_or_else(|| "!unknown".to_owned());
            [position.to_string(), names.get(c.backend_server.0), owner]
        })
        .collect();
    text + &table(["CANDIDATE", "SERVER", "OWNER"], &rows)
}

fn value(answer: &FlowExplanation, names: &Names) -> Value {
    let explanation = &answer.explanation;
    let (status, server, requests) = match explanation.status {
        FlowStatus::None => ("none", None, None),
        FlowStatus::Hosted {
            backend_server,
            requests,
        } => ("hosted", Some(backend_server), Some(requests)),
        FlowStatus::Redirected { backend_server } => ("redirected", Some(backend_server), None),
        FlowStatus::Closed { .. } => ("closed", None, None),
    };
    json!({
        "flow": format!("{:032x}", answer.flow.0),
        "service": names.get(explanation.service.0),
        "revision": explanation.revision.0,
        "holding": status,
        "server": server.map(|s| names.get(s.0)),
        "requests": requests,
        "candidates": explanation.candidates.iter().map(|c| json!({
            "server": names.get(c.backend_server.0),
            "owner": format_instance(c.owner),
        })).collect::<Vec<_>>(),
    })
}
