//! The `status` command: shows the state of all given instances.

use std::net::SocketAddr;

use lovagespindle_decisions::ids::Revision;
use lovagespindle_decisions::peer::MemberState;
use lovagespindle_decisions::status::{
    Flag,
    Status, //
};
use lovagespindle_operators::client::ReadFailure;
use lovagespindle_operators::connection::CallError;
use lovagespindle_operators::names::Names;
use serde_json::{
    Value,
    json, //
};

use crate::exit::Failure;
use crate::report::{
    Report,
    table, //
};
use crate::session::Session;

type Answer = (SocketAddr, Result<(Status, Names), CallError>);

/// Flag shown for an instance that does not answer, in addition to the flags that instances report.
const NO_ANSWER: &str = "no_answer";

/// Requests the status of all given instances.
///
/// Returns an error only if none of them answers.
pub(crate) async fn run(session: &Session) -> Result<Report, Failure> {
    let answers = session.client.status().await;
    let reached = |(_, answer): &Answer| answer.is_ok();
    if !answers.iter().any(reached) {
        let errors = answers.into_iter().filter_map(|(_, answer)| answer.err());
        let last = errors.last().unwrap_or(CallError::NoInstance);
        return Err(Failure::Read(ReadFailure::Unreachable(last)));
    }
    let statuses = answers
        .iter()
        .filter_map(|(_, answer)| answer.as_ref().ok());
    let latest = statuses.map(|(status, _)| status.revision).max();
    let latest = latest.unwrap_or_default();
    Ok(Report {
        text: text(&answers, latest),
        json: answers.iter().map(|answer| value(answer, latest)).collect(),
    })
}

/// Returns the names of the flags of an instance, with `behind` added if another instance has a
/// later revision.
fn flags(status: &Status, latest: Revision) -> Vec<String> {
    let mut flags: Vec<Flag> = status.flags.to_vec();
    if status.revision < latest && !flags.contains(&Flag::Behind) {
        flags.push(Flag::Behind);
    }
    flags.iter().map(Flag::to_string).collect()
}

fn text(answers: &[Answer], latest: Revision) -> String {
    let rows: Vec<_> = answers.iter().map(|answer| row(answer, latest)).collect();
    let header = [
        "INSTANCE", "RUN", "ZONE", "REVISION", "FLOWS", "REQUESTS", "OWNED", "MEMBERS", "FLAGS",
    ];
    let mut text = table(header, &rows);
    let servers: Vec<_> = answers.iter().flat_map(server_rows).collect();
    if !servers.is_empty() {
        let header = [
            "SERVER", "OWNER", "HEALTH", "LIMIT", "RUNNING", "QUEUED", "FLOWS", "FLAGS",
        ];
        text.push('\n');
        text.push_str(&table(header, &servers));
    }
    text
}

fn mark_flags(flags: &[String]) -> String {
    let marked: Vec<_> = flags.iter().map(|f| format!("!{f}")).collect();
    marked.join(" ")
}

fn row((instance, answer): &Answer, latest: Revision) -> [String; 9] {
    let Ok((status, names)) = answer else {
        let none = || "-".to_owned();
        let flags = mark_flags(&[NO_ANSWER.to_owned()]);
        return [
            instance.to_string(),
            none(),
            none(),
            none(),
            none(),
            none(),
            none(),
            none(),
            flags,
        ];
    };
    let live = status
        .members
        .iter()
        .filter(|m| m.state == MemberState::Live);
    [
        instance.to_string(),
        format!("{:016x}", status.member.id.0),
        names.get(status.member.zone.0),
        status.revision.to_string(),
        status.flows.to_string(),
        status.requests.to_string(),
        status.owned.len().to_string(),
        live.count().to_string(),
        mark_flags(&flags(status, latest)),
    ]
}

fn server_rows((instance, answer): &Answer) -> Vec<[String; 8]> {
    let Ok((status, names)) = answer else {
        return Vec::new();
    };
    let owned = status.owned.iter();
    let rows = owned.map(|o| {
        [
            names.get(o.backend_server.0),
            instance.to_string(),
            o.health.to_string(),
            o.limit.to_string(),
            o.running.to_string(),
            o.queued.to_string(),
            o.flows.to_string(),
            if o.fenced {
                "!fenced".to_owned()
            } else {
                String::new()
            },
        ]
    });
    rows.collect()
}

fn value((instance, answer): &Answer, latest: Revision) -> Value {
    let (status, names) = match answer {
        Ok(answer) => answer,
        Err(e) => {
            return json!({
                "instance": instance,
                "flags": [NO_ANSWER],
                "error": e.to_string(),
            });
        }
    };
    json!({
        "instance": instance,
        "run": format!("{:016x}", status.member.id.0),
        "zone": names.get(status.member.zone.0),
        "revision": status.revision.0,
        "flows": status.flows,
        "requests": status.requests,
        "flags": flags(status, latest),
        "members": status.members.iter().map(|m| json!({
            "run": format!("{:016x}", m.member.id.0),
            "zone": names.get(m.member.zone.0),
            "state": m.state.to_string(),
        })).collect::<Vec<_>>(),
        "owned": status.owned.iter().map(|o| json!({
            "server": names.get(o.backend_server.0),
            "health": o.health.to_string(),
            "limit": o.limit,
            "running": o.running,
            "queued": o.queued,
            "flows": o.flows,
            "fenced": o.fenced,
        })).collect::<Vec<_>>(),
    })
}
