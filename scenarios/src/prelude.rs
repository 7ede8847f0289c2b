//! Names that most modules use, and the source of random numbers.

pub(crate) use std::net::SocketAddr;
pub(crate) use std::time::Duration;

pub(crate) use bytes::*;
pub(crate) use lovagespindle_decisions::config::*;
pub(crate) use lovagespindle_decisions::event::*;
pub(crate) use lovagespindle_decisions::ids::*;
pub(crate) use lovagespindle_decisions::packet::*;
pub(crate) use lovagespindle_decisions::peer::*;
pub(crate) use lovagespindle_decisions::*;
use rand_core::*;
pub(crate) use rustc_hash::*;

pub(crate) use crate::measure::Metric;
pub(crate) use crate::scene::*;
pub(crate) use crate::world::*;

/// A source of random numbers.
pub(crate) struct Dice(rand_pcg::Pcg64Mcg);

impl Dice {
    pub(crate) fn new(seed: u64) -> Dice {
        Dice(rand_pcg::Pcg64Mcg::seed_from_u64(seed))
    }

    pub(crate) fn bits(&mut self) -> u64 {
        self.0.next_u64()
    }

    pub(crate) fn unit(&mut self) -> f64 {
        (self.bits() >> 11) as f64 / (1u64 << 53) as f64
    }

    pub(crate) fn chance(&mut self, probability: f64) -> bool {
        self.unit() < probability
    }

    /// Draws a number below `count`, which is not 0.
    pub(crate) fn below(&mut self, count: usize) -> usize {
        (self.bits() % count as u64) as usize
    }

    /// Draws from an exponential distribution.
    pub(crate) fn exponential(&mut self, mean: Duration) -> Duration {
        mean.mul_f64(-(1.0 - self.unit()).ln())
    }
}

impl Default for Dice {
    fn default() -> Dice {
        Dice::new(0)
    }
}
