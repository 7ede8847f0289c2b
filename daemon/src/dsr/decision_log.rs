//! Writes decisions and lost packets to the log, each as one line of `key=value` pairs.

use std::collections::BTreeMap;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use lovagespindle_decisions::Time;
use lovagespindle_decisions::dsr::counts::{
    Count,
    Counts, //
};
use lovagespindle_decisions::dsr::decision::Decision;
use lovagespindle_decisions::dsr::store_update::Revision;
use lovagespindle_platform::PacketError;

use crate::dsr::metrics::Latencies;

/// Maximum number of lines about flows, packets and invalid entries per second. An instance currently
/// opens about 60 flows a second. Lines about changes of state are always written.
const MAX_FLOW_LINES: u32 = 400;

/// Maximum number of lines about registrations that one update causes.
const MAX_REGISTRATION_LINES: usize = 32;

/// Numbers of registrations by state.
#[derive(Debug, Default)]
struct Registrations {
    states: BTreeMap<&'static str, usize>,
    /// The latest revision among them.
    revision: Revision,
}

impl Registrations {
    fn count(decisions: &[Decision]) -> Registrations {
        let mut counts = Registrations::default();
        for decision in decisions {
            if let Decision::Registration {
                registration,
                revision,
                ..
            } = decision
            {
                *counts.states.entry(registration).or_default() += 1;
                counts.revision = counts.revision.max(*revision);
            }
        }
        counts
    }

    fn total(&self) -> usize {
        self.states.values().sum()
    }
}

impl fmt::Display for Registrations {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (state, count) in &self.states {
            write!(f, "{state}={count} ")?;
        }
        write!(f, "revision={}", self.revision)
    }
}

/// Writes decisions and lost packets, at most [`MAX_FLOW_LINES`] lines per second about flows and
/// packets.
pub struct DecisionLog {
    latencies: Latencies,
    /// Second since the start to which `lines` applies.
    second: u64,
    /// Lines about flows and packets in this second, including the suppressed ones.
    lines: u32,
    /// Suppressed lines.
    counts: Counts,
}

impl DecisionLog {
    /// Creates a log that also records the handshake latencies found in decisions.
    pub fn new(latencies: Latencies) -> DecisionLog {
        DecisionLog {
            latencies,
            second: 0,
            lines: 0,
            counts: Counts::default(),
        }
    }

    /// Returns the counts of lines that were suppressed.
    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    /// Logs the decisions made at `now`. If they include many registrations, as in the first snapshot
    /// of a large fleet, these are summed up in one line.
    pub fn write(&mut self, now: Time, decisions: impl Iterator<Item = Decision>) {
        let decisions: Vec<Decision> = decisions.collect();
        let summary = Registrations::count(&decisions);
        let summed_up = summary.total() > MAX_REGISTRATION_LINES;
        if summed_up {
            log::info!("event=listings {summary}");
        }
        for decision in decisions {
            if summed_up && matches!(decision, Decision::Registration { .. }) {
                continue;
            }
            if let Decision::Established { after, .. } = &decision {
                self.latencies.record_handshake(*after);
            }
            if !is_limited(&decision) || self.admit(now) {
                write(&decision);
            }
        }
    }

    /// Logs a datagram that is not a valid packet.
    pub fn write_malformed(&mut self, now: Time, length: usize, error: &PacketError) {
        if self.admit(now) {
            let reason = error.to_string();
            log::warn!("event=packet_malformed length={length} reason={reason:?}");
        }
    }

    /// Logs a datagram that could not be sent.
    pub fn write_unsent(&mut self, now: Time, to: SocketAddr, error: &io::Error) {
        if self.admit(now) {
            let reason = error.to_string();
            log::warn!("event=packet_unsent to={to} reason={reason:?}");
        }
    }

    /// Logs an error of receiving from the socket.
    pub fn write_receive_failure(&mut self, now: Time, error: &io::Error) {
        if self.admit(now) {
            let reason = error.to_string();
            log::warn!("event=receive_failed reason={reason:?}");
        }
    }

    /// Counts a line and returns whether it is below the limit of the current second.
    fn admit(&mut self, now: Time) -> bool {
        let second = now.since_start().as_secs();
        if second != self.second {
            if self.lines > MAX_FLOW_LINES {
                let lines = self.lines - MAX_FLOW_LINES;
                log::warn!("event=log_suppressed lines={lines}");
            }
            self.second = second;
            self.lines = 0;
        }
        self.lines += 1;
        let admitted = self.lines <= MAX_FLOW_LINES;
        if !admitted {
            self.counts.add(Count::SuppressedLines);
        }
        admitted
    }
}

/// Returns whether lines about this kind of decision are limited per second.
fn is_limited(decision: &Decision) -> bool {
    matches!(
        decision,
        Decision::Open { .. }
            | Decision::Buffer { .. }
            | Decision::Established { .. }
            | Decision::Refuse { .. }
            // Another writer may write an invalid entry at any rate.
            | Decision::InvalidEntry { .. }
            | Decision::ResetFlow { .. }
            | Decision::ServerProbe { .. }
    )
}

fn millis(duration: &Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}

fn write(decision: &Decision) {
    match decision {
        Decision::Open {
            flow,
            cause,
            route,
            version,
            server,
            zone,
            tier,
            active_flows,
            view_age,
        } => log::info!(
            "event=open flow={flow} cause={cause} route={route} version={version} \
             server={server} zone={zone} tier={tier} busy={active_flows} news_age_ms={:.0}",
            millis(view_age)
        ),
        Decision::Buffer { flow, buffered } => log::info!("event=keep flow={flow} kept={buffered}"),
        Decision::Established {
            flow,
            server,
            after,
        } => log::info!(
            "event=established flow={flow} server={server} after_ms={:.1}",
            millis(after)
        ),
        Decision::Refuse {
            flow,
            refusal,
            reset,
            version,
            view_age,
        } => log::info!(
            "event=refuse flow={flow} reason={refusal} reset={reset} version={version} \
             news_age_ms={:.0}",
            millis(view_age)
        ),
        Decision::ResetFlow {
            flow,
            server,
            evidence,
        } => log::info!("event=reset flow={flow} server={server} evidence={evidence}"),
        Decision::ServerProbe {
            server,
            answer,
            after,
            lost,
        } => log::info!(
            "event=server_probe server={server} answer={answer} after_ms={:.0} lost={lost}",
            millis(after)
        ),
        Decision::Routes {
            version,
            count,
            revision,
        } => log::info!("event=routes version={version} routes={count} revision={revision}"),
        Decision::Registration {
            server,
            zone,
            registration,
            warmup_left,
            revision,
        } => log::info!(
            "event=listing server={server} zone={zone} listing={registration} cold_ms={:.0} revision={revision}",
            millis(warmup_left),
        ),
        Decision::InvalidEntry { server, reason } => {
            log::warn!("event=entry_unreadable server={server:?} reason={reason:?}");
        }
        Decision::Health {
            server,
            zone,
            state,
        } => log::info!("event=standing server={server} zone={zone} standing={state}"),
        Decision::ZoneHealth { zone, suspect } => {
            log::warn!("event=zone_standing zone={zone} suspect={suspect}");
        }
        Decision::Zone {
            zone,
            evacuated,
            revision,
        } => log::info!("event=zone zone={zone} out={evacuated} revision={revision}"),
        Decision::ViewAge { stale, age } => {
            log::warn!("event=view_age stale={stale} age_ms={:.0}", millis(age));
        }
        Decision::Probe { count, view_age } => {
            log::info!(
                "event=probe count={count} news_age_ms={:.0}",
                millis(view_age)
            );
        }
        Decision::Isolation {
            isolated,
            probed,
            reached,
        } => log::warn!("event=isolation isolated={isolated} probed={probed} reached={reached}"),
    }
}
