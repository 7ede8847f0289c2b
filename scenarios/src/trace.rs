//! Prints what happened around a fault.

use lovagespindle_decisions::state_change::StateChange;

use crate::prelude::*;

/// How many faults are shown, and how many lines about the flow and about the site for each.
const FAULTS: usize = 4;
const LINES: usize = 40;

/// How far around a fault events of no flow are shown.
const AROUND: Duration = Duration::from_millis(2500);

/// All that happened. `SCENE_TRACE` names the metric whose faults are wanted, or is 1 for all.
pub(crate) struct Trace {
    wanted: String,
    lines: Vec<Entry>,
}

impl Trace {
    /// Returns a trace if the environment asks for one.
    pub(crate) fn wanted() -> Option<Trace> {
        let (wanted, lines) = (std::env::var("SCENE_TRACE").ok()?, Vec::new());
        Some(Trace { wanted, lines })
    }

    /// Prints what happened around the first wanted faults.
    pub(crate) fn print(&self, world: &World) {
        let faults = world.measures.violations.iter();
        let wanted = |metric: Metric| self.wanted == "1" || self.wanted == metric.to_string();
        for fault in faults.filter(|f| wanted(f.metric)).take(FAULTS) {
            let (metric, at, what) = (fault.metric, seconds(fault.at), &fault.text);
            println!("-- {metric} at {at:.6}: {what}");
            let lines = self.lines.iter();
            let (about, site): (Vec<_>, Vec<_>) = lines
                .filter(|(at, flow, _)| match flow {
                    Some(_) => *flow == fault.flow,
                    None => *at + AROUND >= fault.at && *at <= fault.at + AROUND,
                })
                .partition(|line| line.1.is_some());
            let mut lines = around(fault.at, about);
            lines.extend(around(fault.at, site));
            lines.sort_by_key(|line| line.0);
            for (at, flow, text) in lines {
                let mut text = text.clone();
                for (n, node) in world.nodes.iter().enumerate() {
                    text = text.replace(&node.member.id.to_string(), &format!("i{n}"));
                }
                let mark = flow.map_or(' ', |_| '*');
                println!("{:11.6} {mark} {text}", seconds(*at));
            }
        }
    }
}

type Entry = (Time, Option<FlowId>, String);

fn around(at: Time, lines: Vec<&Entry>) -> Vec<&Entry> {
    let middle = lines.partition_point(|line| line.0 <= at);
    let range = middle.saturating_sub(LINES)..lines.len().min(middle + LINES / 4);
    lines[range].to_vec()
}

fn seconds(at: Time) -> f64 {
    at.since_start().as_secs_f64()
}

/// Shows the essentials of a packet.
pub(crate) fn show(p: &Packet) -> String {
    let mark = if p.idempotent { "" } else { " once" };
    let last = if p.last { " last" } else { "" };
    let reason = p.reason.map(|r| format!(" {r}")).unwrap_or_default();
    let Packet {
        kind,
        request,
        attempt,
        part,
        ..
    } = p;
    format!("{kind} r{request} a{attempt} p{part}{last}{mark}{reason}")
}

impl World {
    /// Keeps a line of the trace.
    pub(crate) fn note(&mut self, flow: Option<FlowId>, text: impl FnOnce() -> String) {
        if let Some(trace) = &mut self.trace {
            trace.lines.push((self.now, flow, text()));
        }
    }

    /// Keeps an event, if it says something.
    pub(crate) fn note_event(&mut self, n: usize, event: &Event) {
        match event {
            Event::CallerPacket(p) => self.note(Some(p.flow), || format!("{n} <- {}", show(p))),
            Event::RelayedPacket {
                relay: r,
                packet: p,
            } => self.note(Some(p.flow), || {
                let (hops, candidate, table) = (r.hops, r.candidate, r.table);
                let at = format!("hop {hops} candidate {candidate} table {table}");
                format!("{n} <- relayed for {} {at}: {}", r.backend_server, show(p))
            }),
            Event::ServerPacket {
                backend_server: s,
                packet: p,
            } => {
                self.note(Some(p.flow), || format!("{n} <- server {s}: {}", show(p)));
            }
            Event::Platform(_) | Event::Leave => self.note(None, || format!("{n} <- {event:?}")),
            _ => {}
        }
    }

    /// Keeps an action, if it says something.
    pub(crate) fn note_action(&mut self, n: usize, action: &Action) {
        match action {
            Action::SendCaller(p) => self.note(Some(p.flow), || format!("{n} -> {}", show(p))),
            Action::SendServer {
                backend_server: s,
                packet: p,
                ..
            } => {
                self.note(Some(p.flow), || format!("{n} -> server {s}: {}", show(p)));
            }
            Action::Relay { to, packet: p, .. } => {
                self.note(Some(p.flow), || {
                    format!("{n} -> relay to {to}: {}", show(p))
                });
            }
            Action::SendPeer { message, .. } if self.trace.is_some() => match message.as_ref() {
                PeerMessage::Heartbeat { .. } | PeerMessage::HeartbeatAck { .. } => {}
                message => {
                    let name: &'static str = message.into();
                    self.note(None, || format!("{n} -> peer {name}"));
                }
            },
            Action::AppendTimeline(StateChange::FlowPlaced { .. } | StateChange::Member { .. }) => {
            }
            Action::AppendTimeline(_) | Action::Stop | Action::Watch(_) => {
                self.note(None, || format!("{n} {action:?}"));
            }
            _ => {}
        }
    }
}
