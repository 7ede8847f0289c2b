//! Accepts TCP connections. Logs when the operating system refuses, and when it accepts again.

use std::time::Duration;

use tokio::net::{
    TcpListener,
    TcpStream, //
};

/// The pause after a connection could not be accepted. Without file descriptors the call fails at
/// once, again and again; the routers' readiness checks come every 500 ms.
const PAUSE: Duration = Duration::from_millis(100);

/// A listener that survives failures to accept.
pub struct Listener {
    listener: TcpListener,
    /// What the connections are for, in log lines.
    purpose: &'static str,
    /// Failures since a connection was last accepted.
    failures: u64,
}

impl Listener {
    /// Takes over a bound listener. `purpose` names the connections in log lines.
    pub fn new(listener: TcpListener, purpose: &'static str) -> Listener {
        Listener {
            listener,
            purpose,
            failures: 0,
        }
    }

    /// Waits for a connection. May be dropped without losing one.
    pub async fn accept(&mut self) -> TcpStream {
        loop {
            match self.listener.accept().await {
                Ok((stream, _)) => {
                    self.note_accepted();
                    return stream;
                }
                Err(error) => {
                    self.note_failed(&error);
                    tokio::time::sleep(PAUSE).await;
                }
            }
        }
    }

    /// Logs only the first failure of a series.
    fn note_failed(&mut self, error: &std::io::Error) {
        if self.failures == 0 {
            log::warn!(
                "event=accept_failed purpose={} reason={:?}",
                self.purpose,
                error.to_string()
            );
        }
        self.failures += 1;
    }

    fn note_accepted(&mut self) {
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
