//! Conversion between the monotonic clock and the times that the decisions use.

use lovagespindle_decisions::Time;
use tokio::time::Instant;

/// Monotonic clock that counts from its creation. All parts of a process use copies of one clock,
/// so that their times are comparable.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Creates a clock that starts at zero.
    pub fn start() -> Clock {
        Clock {
            start: Instant::now(),
        }
    }

    /// Returns the time since the clock was created.
    pub fn now(&self) -> Time {
        Time::from_start(self.start.elapsed())
    }

    /// Converts a time to an instant that the runtime's timers accept.
    pub fn instant(&self, time: Time) -> Instant {
        self.start + time.since_start()
    }
}
