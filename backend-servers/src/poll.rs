//! One poll of a backend server's health and load.

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

/// How a health poll ended. The names are also the names of the metrics.
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
    /// The backend server says that it serves.
    Serving,
    /// The backend server says that it does not serve.
    NotServing,
    /// The backend server answered with an error, or with a status that the protocol lacks.
    Failed,
    /// No connection could be opened, or it broke.
    Unreachable,
    /// No answer came in time.
    Timeout,
}

impl Outcome {
    /// Returns what the outcome says about the backend server.
    pub fn health(self) -> Health {
        match self {
            Outcome::Serving => Health::Serving,
            Outcome::NotServing | Outcome::Failed => Health::NotServing,
            Outcome::Unreachable | Outcome::Timeout => Health::Unreachable,
        }
    }

    /// Returns whether the connection may be silent or broken, so that the next poll needs a new
    /// one.
    fn is_lost(self) -> bool {
        self.health() == Health::Unreachable
    }
}

/// What one poll found.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PollResult {
    /// How the health poll ended.
    pub outcome: Outcome,
    /// What the load poll returned, if it did.
    pub load: Option<LoadReport>,
}

/// Polls one backend server.
pub struct Poll {
    endpoint: Endpoint,
    timeout: Duration,
    channel: Option<Channel>,
}

impl Poll {
    /// Creates a poll of the backend server whose health endpoint has this address. Connects when
    /// it is first run.
    pub fn new(health: SocketAddr, timeout: Duration) -> Result<Poll, Error> {
        let endpoint = Endpoint::from_shared(format!("http://{health}"))?;
        Ok(Poll {
            endpoint: endpoint.connect_timeout(timeout),
            timeout,
            channel: None,
        })
    }

    /// Calls both endpoints and waits for each until the timeout.
    pub async fn run(&mut self) -> PollResult {
        let endpoint = &self.endpoint;
        let channel = self.channel.get_or_insert_with(|| endpoint.connect_lazy());
        let health = tokio::time::timeout(self.timeout, check(channel.clone()));
        let load = tokio::time::timeout(self.timeout, get_load(channel.clone()));
        let (health, load) = tokio::join!(health, load);
        let outcome = health.unwrap_or(Outcome::Timeout);
        if outcome.is_lost() {
            self.channel = None;
        }
        let load = load.ok().flatten();
        PollResult { outcome, load }
    }
}

async fn check(channel: Channel) -> Outcome {
    let request = HealthCheckRequest::default();
    match HealthClient::new(channel).check(request).await {
        Ok(response) => match ServingStatus::try_from(response.get_ref().status) {
            Ok(ServingStatus::Serving) => Outcome::Serving,
            Ok(ServingStatus::NotServing) => Outcome::NotServing,
            Ok(ServingStatus::Unknown | ServingStatus::ServiceUnknown) | Err(_) => Outcome::Failed,
        },
        Err(status) => failure(&status),
    }
}

fn failure(status: &Status) -> Outcome {
    match status.code() {
        Code::Unavailable => Outcome::Unreachable,
        Code::DeadlineExceeded | Code::Cancelled => Outcome::Timeout,
        _ if has_source(status) => Outcome::Unreachable,
        _ => Outcome::Failed,
    }
}

/// Returns whether the transport made the status up, not the backend server.
fn has_source(status: &Status) -> bool {
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
