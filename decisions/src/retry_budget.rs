//! Retry budget of a service: retries are a fixed share of fresh requests, so that backend servers
//! that shed load do not cause a retry storm.

use std::time::Duration;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::time::Time;

/// Settings of the retry budgets.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct RetrySettings {
    /// Retries for each hundred fresh requests.
    pub percent: u32,
    /// The least number of retries a second.
    pub minimum: u32,
}

impl Default for RetrySettings {
    fn default() -> RetrySettings {
        RetrySettings {
            percent: 10,
            minimum: 1,
        }
    }
}

/// Thousandths of a retry.
const RETRY: u64 = 1000;

/// The most unused retries that a budget keeps.
const BURST: u64 = 10 * RETRY;

/// The retry budget of one service.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    /// Thousandths of a retry; at most [`BURST`].
    tokens: u64,
    /// When the minimum rate was last added.
    filled: Time,
}

impl RetryBudget {
    /// Creates a budget that allows one second's minimum.
    pub fn new(settings: &RetrySettings, now: Time) -> RetryBudget {
        RetryBudget {
            tokens: u64::from(settings.minimum) * RETRY,
            filled: now,
        }
    }

    /// Notes a fresh request.
    pub fn earn(&mut self, settings: &RetrySettings) {
        let earned = u64::from(settings.percent) * RETRY / 100;
        self.tokens = (self.tokens + earned).min(BURST);
    }

    /// Takes one retry and returns whether the budget allows it.
    pub fn spend(&mut self, settings: &RetrySettings, now: Time) -> bool {
        self.fill(settings, now);
        if self.tokens < RETRY {
            return false;
        }
        self.tokens -= RETRY;
        true
    }

    fn fill(&mut self, settings: &RetrySettings, now: Time) {
        let rate = u64::from(settings.minimum) * RETRY;
        let elapsed = now.since(self.filled).min(Duration::from_secs(60));
        let earned = elapsed.as_millis() as u64 * rate / 1000;
        if earned > 0 {
            self.tokens = (self.tokens + earned).min(BURST);
            self.filled = now;
        }
    }
}
