//! What passing packets tell about a backend server: whether its handshakes complete.

use std::time::Duration;

use crate::time::Time;

use super::settings::Settings;

/// Unanswered openings in a row that make a backend server suspect. One may be a lost packet.
const SUSPECT_AFTER: u32 = 2;

/// Whether a backend server takes flows.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(super) enum Standing {
    /// Its handshakes complete.
    Good,
    /// It does not answer. One flow may try it at that time.
    Suspect {
        /// When it may be tried again.
        retry: Time,
        /// The pause after the next failure.
        pause: Duration,
        /// When the flow that tries it was opened.
        trial: Option<Time>,
    },
    /// It answers again, and takes one flow at a time until then.
    Recovering {
        /// When it is good.
        until: Time,
    },
}

/// The evidence about one backend server.
#[derive(Clone, Copy, Debug)]
pub(super) struct Evidence {
    standing: Standing,
    /// Unanswered openings since the last answered one.
    failures: u32,
    /// The opening time of the latest answered flow. Failures of earlier ones tell nothing new.
    answered: Option<Time>,
}

impl Evidence {
    /// Nothing is known.
    pub(super) fn none() -> Evidence {
        Evidence {
            standing: Standing::Good,
            failures: 0,
            answered: None,
        }
    }

    /// Returns the standing at `now`.
    pub(super) fn standing(&self, now: Time) -> Standing {
        match self.standing {
            Standing::Recovering { until } if now >= until => Standing::Good,
            standing => standing,
        }
    }

    /// Notes that a flow opened at `opened` completed its handshake. Returns whether the standing
    /// changed.
    pub(super) fn answer(&mut self, now: Time, opened: Time, settings: &Settings) -> bool {
        self.failures = 0;
        self.answered = self.answered.max(Some(opened));
        let suspect = matches!(self.standing, Standing::Suspect { .. });
        if suspect {
            let until = now + settings.recovery;
            self.standing = Standing::Recovering { until };
        }
        suspect
    }

    /// Notes that an opening sent at `opened` was not answered in time. Returns whether the standing
    /// changed.
    pub(super) fn fail(&mut self, now: Time, opened: Time, settings: &Settings) -> bool {
        if self.answered.is_some_and(|answered| opened <= answered) {
            return false;
        }
        self.failures += 1;
        match self.standing(now) {
            Standing::Good if self.failures < SUSPECT_AFTER => false,
            Standing::Good | Standing::Recovering { .. } => {
                self.suspect(now, settings.first_retry, settings);
                true
            }
            Standing::Suspect { pause, trial, .. } => {
                if trial == Some(opened) {
                    self.suspect(now, pause, settings);
                }
                false
            }
        }
    }

    fn suspect(&mut self, now: Time, pause: Duration, settings: &Settings) {
        self.standing = Standing::Suspect {
            retry: now + pause,
            pause: (pause * 2).min(settings.longest_retry),
            trial: None,
        };
    }

    /// Lets the next flow try a suspect backend server, as the path to it has changed.
    pub(super) fn retry(&mut self, now: Time) {
        if let Standing::Suspect { retry, .. } = &mut self.standing {
            *retry = now.min(*retry);
        }
    }

    /// Notes that a flow tries a suspect backend server. The next one waits for the outcome.
    pub(super) fn tried(&mut self, now: Time) {
        if let Standing::Suspect { pause, .. } = self.standing {
            self.standing = Standing::Suspect {
                retry: now + pause,
                pause,
                trial: Some(now),
            };
        }
    }
}
