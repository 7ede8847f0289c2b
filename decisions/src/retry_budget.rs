//! Retry budget of a service at one instance: limits retries to a share of the requests that the
//! instance accepts for its backend servers, so that backend servers that shed load do not cause a
//! retry storm. Retries and reassigned requests that the instance accepts count as well.

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
    /// Number of retries allowed for each hundred requests that the instance accepts.
    pub percent: u32,
    /// Number of retries allowed per second regardless of the number of requests.
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

/// Number of tokens that a retry costs. With thousandths of a retry, percentages are exact in
/// integers.
const TOKENS_PER_RETRY: u64 = 1000;

/// Maximum number of tokens that a budget saves up, which limits bursts to 10 retries. Only a new
/// budget may hold more, until the next tokens are added.
const MAX_TOKENS: u64 = 10 * TOKENS_PER_RETRY;

/// Retry budget of one service at this instance, a token bucket.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    /// Thousandths of a retry, limited to [`MAX_TOKENS`] whenever tokens are added.
    tokens: u64,
    /// Time at which tokens of the minimum rate were last added.
    refilled: Time,
}

impl RetryBudget {
    /// Creates a budget with the tokens of one second at the minimum rate, which may exceed the
    /// burst limit.
    pub fn new(settings: &RetrySettings, now: Time) -> RetryBudget {
        RetryBudget {
            tokens: u64::from(settings.minimum) * TOKENS_PER_RETRY,
            refilled: now,
        }
    }

    /// Adds the tokens for a request that the instance accepts for one of its backend servers: a
    /// new one, a retry or a reassigned one.
    pub fn deposit(&mut self, settings: &RetrySettings) {
        let added = u64::from(settings.percent) * TOKENS_PER_RETRY / 100;
        self.tokens = (self.tokens + added).min(MAX_TOKENS);
    }

    /// Takes the tokens of one retry. Returns false and takes none if too few are left.
    pub fn try_withdraw(&mut self, settings: &RetrySettings, now: Time) -> bool {
        self.refill(settings, now);
        if self.tokens < TOKENS_PER_RETRY {
            return false;
        }
        self.tokens -= TOKENS_PER_RETRY;
        true
    }

    fn refill(&mut self, settings: &RetrySettings, now: Time) {
        let rate = u64::from(settings.minimum) * TOKENS_PER_RETRY;
        // The bound keeps the multiplication below from overflowing. At a minimum of one retry
        // per second, 60 s already fill the budget.
        let elapsed = now.since(self.refilled).min(Duration::from_secs(60));
        let added = elapsed.as_millis() as u64 * rate / 1000;
        if added > 0 {
            self.tokens = (self.tokens + added).min(MAX_TOKENS);
            self.refilled = now;
        }
    }
}
