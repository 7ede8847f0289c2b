//! A TCP listener that logs and retries when the operating system fails to accept a connection.

use std::time::Duration;

use tokio::net::{
    TcpListener,
    TcpStream, //
};

/// Delay before the next attempt after a connection could not be accepted. Without free file
/// descriptors each attempt fails immediately, so that a loop without a delay would spin. Must stay
/// well below 500 ms, the interval of the routers' readiness checks.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// A TCP listener that keeps accepting after a failure.
pub struct Listener {
    listener: TcpListener,
    /// Purpose of the connections, as written to log lines.
    purpose: &'static str,
    /// Number of failures since a connection was last accepted.
    failures: u64,
}

impl Listener {
    /// Wraps a bound listener. `purpose` identifies its connections in log lines.
    pub fn new(listener: TcpListener, purpose: &'static str) -> Listener {
        Listener {
            listener,
            purpose,
            failures: 0,
        }
    }

    /// Waits for a connection. Cancel safe: dropping the future loses no connection.
    pub async fn accept(&mut self) -> TcpStream {
        loop {
            match self.listener.accept().await {
                Ok((stream, _)) => {
                    self.record_accepted();
                    return stream;
                }
                Err(error) => {
                    self.record_failure(&error);
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    /// Counts a failure, and logs it if it is the first of a series.
    fn record_failure(&mut self, error: &std::io::Error) {
        if self.failures == 0 {
            log::warn!(
                "event=accept_failed purpose={} reason={:?}",
                self.purpose,
                error.to_string()
            );
        }
        self.failures += 1;
    }

    /// Resets the count of failures, and logs the end of a series of them.
    fn record_accepted(&mut self) {
        if self.failures > 0 {
            log::info!(
                "event=accept_resumed purpose={} failures={}",
                self.purpose,
                self.failures
            );
            self.failures = 0;
        }
    }
}
