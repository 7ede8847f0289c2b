//! The allowed ranges of settings.

use std::time::Duration;

use crate::dsr::settings::Settings as DsrSettings;
use crate::settings::Settings;

/// The allowed range of one setting of `S`.
pub struct Limit<S: 'static> {
    /// Key in the settings file, with the names of its tables.
    pub key: &'static str,
    pub range: Range<S>,
}

/// A function that returns the value of a setting, and the smallest and largest allowed value.
pub enum Range<S> {
    Time(fn(&S) -> Duration, Duration, Duration),
    /// An integer.
    Count(fn(&S) -> u64, u64, u64),
    /// A floating-point number.
    Real(fn(&S) -> f64, f64, f64),
}

impl<S> Limit<S> {
    /// Returns the value as text if it is out of range, and `None` otherwise.
    pub fn violation(&self, settings: &S) -> Option<String> {
        match self.range {
            Range::Time(get, min, max) => {
                let value = get(settings);
                let valid = (min..=max).contains(&value);
                (!valid).then(|| humantime::format_duration(value).to_string())
            }
            Range::Count(get, min, max) => {
                let value = get(settings);
                let valid = (min..=max).contains(&value);
                (!valid).then(|| value.to_string())
            }
            Range::Real(get, min, max) => {
                let value = get(settings);
                let valid = (min..=max).contains(&value);
                (!valid).then(|| value.to_string())
            }
        }
    }

    /// Returns a description of the range for error messages.
    pub fn allowed(&self) -> String {
        match self.range {
            Range::Time(_, min, max) => {
                let (min, max) = (duration_text(min), duration_text(max));
                format!("{min} to {max}")
            }
            Range::Count(_, min, max) => format!("{min} to {max}"),
            Range::Real(_, min, max) => format!("{min} to {max}"),
        }
    }
}

fn duration_text(duration: Duration) -> String {
    humantime::format_duration(duration).to_string()
}

const fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

const fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

const MINUTE: Duration = seconds(60);
const TEN_MINUTES: Duration = seconds(600);
const HOUR: Duration = seconds(3600);
const DAY: Duration = seconds(86_400);

/// Range of receive buffers in bytes. A buffer smaller than one datagram would drop everything; the
/// upper limit only guards against typing errors.
const BUFFER_RANGE: (u64, u64) = (4096, 1 << 30);

/// Lists limits as `kind key: min, max;`. The path of the field gives the key in the settings file.
macro_rules! limits {
    ($($kind:ident $($field:ident).+: $min:expr, $max:expr;)*) => {
        &[$(Limit {
            key: limits!(@ key $($field).+),
            range: limits!(@ $kind $($field).+, $min, $max),
        },)*]
    };
    (@ key $first:ident $(. $rest:ident)*) => {
        concat!(stringify!($first) $(, ".", stringify!($rest))*)
    };
    (@ time $($field:ident).+, $min:expr, $max:expr) => {
        Range::Time(|settings| settings.$($field).+, $min, $max)
    };
    (@ real $($field:ident).+, $min:expr, $max:expr) => {
        Range::Real(|settings| settings.$($field).+, $min, $max)
    };
    (@ count $($field:ident).+, $min:expr, $max:expr) => {
        Range::Count(|settings| settings.$($field).+ as u64, $min, $max)
    };
}

/// Ranges of all durations and numbers in relay mode.
#[allow(clippy::cast_lossless)] // the macro casts integers of several types
pub const LIMITS: &[Limit<Settings>] = limits! {
    count callers.receive_buffer: BUFFER_RANGE.0, BUFFER_RANGE.1;
    count backend_servers.receive_buffer: BUFFER_RANGE.0, BUFFER_RANGE.1;
    time prober.period: millis(100), MINUTE;
    time prober.jitter: millis(0), MINUTE;
    time prober.timeout: millis(10), MINUTE;
    time platform.call_timeout: millis(10), MINUTE;
    count platform.write_attempts: 1, 100;
    time platform.first_pause: millis(1), MINUTE;
    time platform.longest_pause: millis(1), TEN_MINUTES;
    count platform.lost_after: 1, 1000;
    time platform.list_interval: millis(10), HOUR;
    time platform.probe_interval: millis(100), HOUR;
    time platform.probe_timeout: millis(10), MINUTE;
    count platform.snapshot_every: 1, 10_000;
    count platform.kept_changes: 1, 100_000;
    count platform.part_bytes: 1000, 1_000_000;
    time platform.writer_lease: seconds(1), HOUR;
    count relay.receive_buffer: BUFFER_RANGE.0, BUFFER_RANGE.1;
    time links.connect_timeout: millis(10), MINUTE;
    time links.idle: seconds(1), HOUR;
    time links.write_timeout: millis(10), MINUTE;
    count links.queue: 1, 65_536;
    count links.batch: 1, 65_536;
    count links.accepted: 1, 1_000_000;
    count timeline.entries: 1, 1_000_000;
    count timeline.lag: 1, 1_000_000;
    time metrics.period: seconds(1), HOUR;
    time decisions.membership.heartbeat: millis(10), MINUTE;
    time decisions.membership.link_timeout: millis(10), MINUTE;
    time decisions.membership.failure_timeout: millis(10), MINUTE;
    count decisions.membership.ring_neighbours: 1, 16;
    count decisions.membership.indirect_probes: 1, 16;
    count decisions.membership.updates: 1, 6;
    time decisions.membership.contact_heartbeat: millis(10), MINUTE;
    time decisions.membership.contact_retry: millis(10), TEN_MINUTES;
    time decisions.membership.neighbour_change: millis(100), HOUR;
    time decisions.membership.hint_retry: millis(10), TEN_MINUTES;
    time decisions.membership.settle: millis(10), MINUTE;
    time decisions.membership.pull_pause: millis(10), TEN_MINUTES;
    time decisions.membership.keep_dead: seconds(1), DAY;
    time decisions.ownership.fence: millis(10), MINUTE;
    time decisions.ownership.takeover: millis(10), MINUTE;
    time decisions.ownership.distance: millis(0), MINUTE;
    time decisions.ownership.memory: seconds(1), HOUR;
    count decisions.admission.queue: 0, 100;
    time decisions.admission.patience: millis(1), TEN_MINUTES;
    time decisions.admission.freshness: millis(10), TEN_MINUTES;
    count decisions.admission.failures: 1, 1000;
    time decisions.admission.silence: millis(100), TEN_MINUTES;
    time decisions.warmup.step: millis(0), TEN_MINUTES;
    count decisions.warmup.slowness: 1, 1000;
    count decisions.retry.percent: 0, 100;
    count decisions.retry.minimum: 0, 1000;
    time decisions.hosting.grace: millis(1), MINUTE;
    time decisions.hosting.stall: seconds(1), DAY;
    time decisions.hosting.repeat: millis(1), MINUTE;
    count decisions.hosting.unanswered: 1, 65_535;
    time decisions.hosting.silence: millis(100), TEN_MINUTES;
    time decisions.hosting.unconfirmed: millis(100), TEN_MINUTES;
    time decisions.hosting.linger: millis(0), TEN_MINUTES;
    time decisions.hosting.shutdown: millis(0), DAY;
    time decisions.spread.poll: seconds(1), HOUR;
    time decisions.spread.list: seconds(1), HOUR;
    time decisions.spread.pull: millis(10), MINUTE;
    time decisions.spread.patience: millis(10), TEN_MINUTES;
};

/// Ranges of the durations and numbers for direct server return.
#[allow(clippy::cast_lossless)] // the macro casts integers of several types
pub const DSR_LIMITS: &[Limit<DsrSettings>] = limits! {
    time store.watch_wait: millis(100), seconds(30);
    time store.answer_timeout: millis(10), MINUTE;
    time store.gather: millis(0), seconds(2);
    time store.first_pause: millis(1), MINUTE;
    time store.longest_pause: millis(1), MINUTE;
    time shutdown.grace: seconds(1), MINUTE;
    time shutdown.quiet: millis(10), MINUTE;
    time decisions.drain_bound: millis(100), TEN_MINUTES;
    time decisions.config_bound: millis(100), TEN_MINUTES;
    time decisions.shortest_wait: millis(1), MINUTE;
    time decisions.longest_wait: millis(1), MINUTE;
    time decisions.first_retry: millis(10), MINUTE;
    time decisions.longest_retry: millis(10), TEN_MINUTES;
    time decisions.recovery: millis(0), TEN_MINUTES;
    time decisions.lapse: millis(0), MINUTE;
    time decisions.zone_return: millis(0), MINUTE;
    real decisions.zone_preference: 0.0, 1000.0;
    time decisions.pause: millis(10), TEN_MINUTES;
    count decisions.max_flows: 1, 10_000_000;
};
