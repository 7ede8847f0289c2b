//! When an instance asks the store itself, because nobody else confirmed its view in time.
//!
//! Updates pass through other instances, each of which may fail in its own way and notice it late.
//! The bounds of the rules hold from the store's acknowledgement to the last packet, so their sum
//! cannot be left to limits of each step: each instance compares the age of its view with the bound.

use std::time::Duration;

use crate::time::Time;

/// Part of the bound after which an instance asks the store. The rest covers two calls of which the
/// first times out, and a peer that was paused and gave too low an age.
const CALL_AFTER: f64 = 0.5;

/// Part of the bound over which the instances of a fleet spread their calls.
const SPREAD: f64 = 0.125;

/// The age of the view at which one instance asks the store.
#[derive(Clone, Copy, Debug)]
pub struct Freshness {
    /// Between 0 and 1. It differs between instances that lose their source together.
    spread: f64,
}

impl Freshness {
    pub fn new(spread: f64) -> Freshness {
        Freshness { spread }
    }

    /// Returns the time at which the instance asks the store, if nothing confirms its view before.
    ///
    /// `last_confirmed` is the last confirmation of the view, and `bound` the age at which it
    /// breaks a rule.
    pub fn call_at(&self, last_confirmed: Time, bound: Duration) -> Time {
        last_confirmed + bound.mul_f64(CALL_AFTER + SPREAD * self.spread)
    }
}
