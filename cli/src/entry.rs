//! Formats timeline entries as text and JSON.

use lovagespindle_decisions::ids::{
    BackendServerId,
    FlowId,
    InstanceId,
    ServiceId, //
};
use lovagespindle_decisions::state_change::StateChange;
use lovagespindle_operators::names::Names;
use lovagespindle_operators::timeline::Entry;
use serde_json::{
    Map,
    Value,
    json, //
};

type Fields = Vec<(&'static str, Value)>;

fn instance_value(instance: InstanceId) -> Value {
    format!("{:016x}", instance.0).into()
}

/// Returns the fields of a state change, apart from its name.
fn fields(change: &StateChange, names: &Names) -> Fields {
    let named = |server: BackendServerId| ("server", names.get(server.0).into());
    match *change {
        StateChange::Started
        | StateChange::Leaving
        | StateChange::Left
        | StateChange::PlatformLost
        | StateChange::PlatformBack => Vec::new(),
        StateChange::Member {
            instance,
            zone,
            state,
        } => vec![
            ("member", instance_value(instance)),
            ("zone", names.get(zone.0).into()),
            ("state", state.to_string().into()),
        ],
        StateChange::Configured { revision } => vec![("revision", revision.0.into())],
        StateChange::Acquired {
            backend_server,
            flows,
        } => vec![named(backend_server), ("flows", flows.into())],
        StateChange::Released {
            backend_server,
            owner,
        } => {
            let owner = owner.map_or(Value::Null, instance_value);
            vec![named(backend_server), ("owner", owner)]
        }
        StateChange::Fenced { backend_server }
        | StateChange::Unfenced { backend_server }
        | StateChange::ColdStart { backend_server }
        | StateChange::ServerDown { backend_server }
        | StateChange::ServerUp { backend_server } => vec![named(backend_server)],
        StateChange::FlowClosed {
            flow,
            service,
            backend_server,
            reason,
        } => {
            let mut fields = flow_fields(flow, service, backend_server, names);
            fields.push(("reason", reason.to_string().into()));
            fields
        }
        StateChange::FlowPlaced {
            flow,
            service,
            backend_server,
            candidate,
        } => {
            let mut fields = flow_fields(flow, service, backend_server, names);
            fields.push(("candidate", candidate.into()));
            fields
        }
    }
}

fn flow_fields(flow: FlowId, service: ServiceId, server: BackendServerId, names: &Names) -> Fields {
    vec![
        ("flow", format!("{:032x}", flow.0).into()),
        ("service", names.get(service.0).into()),
        ("server", names.get(server.0).into()),
    ]
}

/// Returns the entry as one line of text.
pub(crate) fn line(entry: &Entry, names: &Names) -> String {
    let time = entry.timestamp.get_time().to_string_rfc3339_lossy();
    let event: &'static str = (&entry.change).into();
    let mut line = format!("{time}  {:016x}  {event}", entry.instance().0);
    for (name, value) in fields(&entry.change, names) {
        let value = value
            .as_str()
            .map_or_else(|| value.to_string(), str::to_owned);
        line.push_str(&format!("  {name}={value}"));
    }
    line.push('\n');
    line
}

/// Returns the entry as a JSON object.
pub(crate) fn value(entry: &Entry, names: &Names) -> Value {
    let event: &'static str = (&entry.change).into();
    let mut object = Map::new();
    let time = entry.timestamp.get_time().to_string_rfc3339_lossy();
    object.insert("time".to_owned(), time.into());
    object.insert("instance".to_owned(), instance_value(entry.instance()));
    object.insert("event".to_owned(), json!(event));
    for (name, value) in fields(&entry.change, names) {
        object.insert(name.to_owned(), value);
    }
    Value::Object(object)
}
