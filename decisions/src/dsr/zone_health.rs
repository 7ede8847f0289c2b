//! Passive health checks of availability zones: whether handshakes with the backend servers of a zone
//! complete.
//!
//! A zone that is cut off would otherwise be noticed server by server, and each of hundreds of
//! servers would delay some clients by a handshake timeout.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::time::Time;

use super::settings::Settings;

/// Consecutive handshake timeouts, without a success in the zone between them, after which a zone is
/// suspect. A single server becomes suspect after two, so these are of several servers.
const SUSPECT_AFTER: u32 = 6;

/// Whether the backend servers of a zone may get flows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum ZoneState {
    Healthy,
    /// One flow may test it.
    Trial,
    Suspect,
}

#[derive(Clone, Copy, Debug, Default)]
struct Record {
    /// Handshake timeouts since the last success.
    failures: u32,
    /// The time at which the latest successful flow was opened. Failures of earlier flows are
    /// ignored.
    last_success: Option<Time>,
    /// The earliest time of the next trial, if the zone is suspect.
    retry: Option<Time>,
    backoff: Duration,
}

/// The health of all zones that have had flows.
#[derive(Debug, Default)]
pub(super) struct ZoneHealth {
    zones: HashMap<Arc<str>, Record>,
}

impl ZoneHealth {
    pub(super) fn state(&self, now: Time, zone: &str) -> ZoneState {
        match self.zones.get(zone).and_then(|record| record.retry) {
            None => ZoneState::Healthy,
            Some(retry) if now >= retry => ZoneState::Trial,
            Some(_) => ZoneState::Suspect,
        }
    }

    /// Records that a flow opened at `opened` completed its handshake. Returns whether the state
    /// changed.
    pub(super) fn record_success(&mut self, zone: &Arc<str>, opened: Time) -> bool {
        let record = self.zones.entry(zone.clone()).or_default();
        record.failures = 0;
        record.last_success = record.last_success.max(Some(opened));
        record.retry.take().is_some()
    }

    /// Records that the handshake of a SYN sent at `opened` timed out. Returns whether the state
    /// changed.
    pub(super) fn record_failure(
        &mut self,
        now: Time,
        zone: &Arc<str>,
        opened: Time,
        settings: &Settings,
    ) -> bool {
        let record = self.zones.entry(zone.clone()).or_default();
        if record.last_success >= Some(opened) {
            return false;
        }
        record.failures += 1;
        if record.failures < SUSPECT_AFTER || record.retry.is_some() {
            return false;
        }
        record.retry = Some(now + settings.first_retry);
        record.backoff = settings.first_retry;
        true
    }

    /// Records that a flow tests a suspect zone. The next trial is later.
    pub(super) fn record_trial(&mut self, now: Time, zone: &str, settings: &Settings) {
        if let Some(record) = self.zones.get_mut(zone)
            && let Some(retry) = &mut record.retry
        {
            record.backoff = (record.backoff * 2).min(settings.longest_retry);
            *retry = now + record.backoff;
        }
    }

    /// Allows the next flows to test all suspect zones, because the paths to them have changed.
    pub(super) fn retry_all(&mut self, now: Time) {
        for record in self.zones.values_mut() {
            if let Some(retry) = &mut record.retry {
                *retry = now.min(*retry);
            }
        }
    }
}
