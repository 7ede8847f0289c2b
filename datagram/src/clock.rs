//! The system's monotonic clock as the decisions see it.

use lovagespindle_decisions::Time;
use tokio::time::Instant;

/// Reads the monotonic clock. All parts of a process share copies of one clock, so that their
/// times compare.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Creates a clock whose time is zero now.
    pub fn start() -> Clock {
        Clock {
            start: Instant::now(),
        }
    }

    /// Returns the present time.
    pub fn now(&self) -> Time {
        Time::from_start(self.start.elapsed())
    }

    /// Returns the runtime's instant for a time, to wait for it.
    pub fn instant(&self, time: Time) -> Instant {
        self.start + time.since_start()
    }
}
