//! Polling of one backend server's health and load.

use std::net::SocketAddr;
use std::time::Duration;

use lovagespindle_decisions::event::{
    Health,
    LoadReport, //
};
use tonic::transport::{
    Channel,
    Endpoint,
    Error, //
};
use tonic::{
    Code,
    Status, //
};

use crate::generated::health::HealthCheckRequest;
use crate::generated::health::health_check_response::ServingStatus;
use crate::generated::health::health_client::HealthClient;
use crate::generated::load::GetLoadRequest;
use crate::generated::load::load_client::LoadClient;

/// Result of a health call. The names are also metric names.
#[derive(
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    PartialEq,
    strum::Display,
    strum::EnumCount,
    strum::EnumIter,
    strum::IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum Outcome {
    /// The backend server reported that it is serving.
    Serving,
    /// The backend server reported that it is not serving.
    NotServing,
    /// The backend server returned an error or an unexpected status.
    Failed,
    /// The connection could not be opened or failed.
    Unreachable,
    /// No response arrived before the timeout.
    Timeout,
}

impl Outcome {
    /// Returns the health of the backend server that follows from the outcome.
    pub fn health(self) -> Health {
        match self {
            Outcome::Serving => Health::Serving,
            Outcome::NotServing | Outcome::Failed => Health::NotServing,
            Outcome::Unreachable | Outcome::Timeout => Health::Unreachable,
        }
    }

    /// Returns whether the connection may be broken, so that the next poll must open a new one.
    fn needs_reconnect(self) -> bool {
        self.health() == Health::Unreachable
    }
}

/// Result of one poll.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PollResult {
    pub outcome: Outcome,
    /// Reported load. `None` if the load call failed.
    pub load: Option<LoadReport>,
}

/// Client for polling one backend server. Keeps its connection between polls.
pub struct Poll {
    endpoint: Endpoint,
    timeout: Duration,
    channel: Option<Channel>,
}

impl Poll {
    /// Creates a client for the backend server with this health address. It connects on the first
    /// poll. Returns an error if the address does not form a valid URI.
    pub fn new(health: SocketAddr, timeout: Duration) -> Result<Poll, Error> {
        let endpoint = Endpoint::from_shared(format!("http://{health}"))?;
        Ok(Poll {
            endpoint: endpoint.connect_timeout(timeout),
            timeout,
            channel: None,
        })
    }

    /// Calls the health and load services concurrently. The timeout applies to each call.
    pub async fn run(&mut self) -> PollResult {
        let endpoint = &self.endpoint;
        let channel = self.channel.get_or_insert_with(|| endpoint.connect_lazy());
        let health = tokio::time::timeout(self.timeout, check_health(channel.clone()));
        let load = tokio::time::timeout(self.timeout, get_load(channel.clone()));
        let (health, load) = tokio::join!(health, load);
        let outcome = health.unwrap_or(Outcome::Timeout);
        if outcome.needs_reconnect() {
            self.channel = None;
        }
        let load = load.ok().flatten();
        PollResult { outcome, load }
    }
}

async fn check_health(channel: Channel) -> Outcome {
    let request = HealthCheckRequest::default();
    match HealthClient::new(channel).check(request).await {
        Ok(response) => match ServingStatus::try_from(response.get_ref().status) {
            Ok(ServingStatus::Serving) => Outcome::Serving,
            Ok(ServingStatus::NotServing) => Outcome::NotServing,
            Ok(ServingStatus::Unknown | ServingStatus::ServiceUnknown) | Err(_) => Outcome::Failed,
        },
        Err(status) => classify_error(&status),
    }
}

fn classify_error(status: &Status) -> Outcome {
    match status.code() {
        Code::Unavailable => Outcome::Unreachable,
        Code::DeadlineExceeded | Code::Cancelled => Outcome::Timeout,
        _ if is_transport_error(status) => Outcome::Unreachable,
        _ => Outcome::Failed,
    }
}

/// Returns whether the status was created by the local transport instead of the backend server.
fn is_transport_error(status: &Status) -> bool {
    std::error::Error::source(status).is_some()
}

async fn get_load(channel: Channel) -> Option<LoadReport> {
    let response = LoadClient::new(channel).get_load(GetLoadRequest {}).await;
    let response = response.ok()?.into_inner();
    Some(LoadReport {
        requests: response.requests,
        flows: response.flows,
        boot: response.boot,
    })
}
