//! Typed calls to one instance.

use std::net::SocketAddr;
use std::time::Duration;

use lovagespindle_decisions::config::Configuration;
use lovagespindle_decisions::ids::{
    FlowId,
    Revision, //
};
use lovagespindle_decisions::status::Status as InstanceStatus;
use tonic::transport::{
    Channel,
    Endpoint, //
};
use tonic::{
    Code,
    Status,
    Streaming, //
};

use crate::decode;
use crate::decode::DecodeError;
use crate::generated::v1;
use crate::generated::v1::operators_client::OperatorsClient;
use crate::messages::{
    ApplyChanges,
    FlowExplanation, //
};
use crate::names::Names;
use crate::timeline::Entry;

/// The largest response, in bytes. The configuration of 100,000 backend servers takes about 10 MB.
const MAX_RESPONSE: usize = 64 << 20;

/// Why a call to one instance failed.
#[derive(Clone, Debug, thiserror::Error)]
pub enum CallError {
    /// There is no instance to call.
    #[error("no instance is given")]
    NoInstance,
    /// No connection: the call was not sent.
    #[error("instance {instance} cannot be reached: {reason}", reason = innermost(source.as_ref()))]
    Unreachable {
        /// The instance.
        instance: SocketAddr,
        /// Why.
        source: std::sync::Arc<tonic::transport::Error>,
    },
    /// No connection in time: the call was not sent.
    #[error("instance {instance} did not accept a connection within {}", millis(*after))]
    ConnectTimeout {
        /// The instance.
        instance: SocketAddr,
        /// The time allowed.
        after: Duration,
    },
    /// The call was sent and its answer did not arrive.
    #[error("the answer of instance {instance} was lost: {reason}")]
    Lost {
        /// The instance.
        instance: SocketAddr,
        /// What the transport said.
        reason: String,
    },
    /// The instance refused the call.
    #[error("instance {instance} refused the call: {message}")]
    Refused {
        /// The instance.
        instance: SocketAddr,
        /// Why.
        message: String,
    },
    /// The answer makes no sense, perhaps because the instance runs another version.
    #[error("the answer of instance {instance} cannot be decoded: {source}")]
    Decode {
        /// The instance.
        instance: SocketAddr,
        /// Why.
        source: Box<DecodeError>,
    },
}

fn millis(duration: Duration) -> String {
    format!("{} ms", duration.as_millis())
}

/// Returns the innermost cause, which says most; the outer ones only say "transport error".
fn innermost(error: &dyn std::error::Error) -> String {
    let mut cause = error;
    while let Some(inner) = cause.source() {
        cause = inner;
    }
    cause.to_string()
}

/// What an instance answered to a change.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The changes lead to this revision.
    Applied(Revision),
    /// Nothing was changed: the configuration is at this revision and not at the expected one.
    Conflict(Revision),
    /// Nothing was changed: a change does not fit the configuration.
    Invalid {
        /// The position of the change, from 0.
        index: u32,
        /// Why it does not fit.
        reason: String,
    },
    /// Nothing was changed: the store does not answer.
    Unavailable,
    /// The store took the write but its answer was lost.
    Unknown,
}

/// Where the packets of which flow should be explained.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FlowQuery {
    /// The name of the service.
    pub service: String,
    /// The caller.
    pub caller: SocketAddr,
    /// The fabric's unique id of the flow.
    pub unique_id: u128,
}

/// Which time line entries are wanted, with names as operators give them.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct TimelineQuery {
    /// The name of a service.
    pub service: Option<String>,
    /// The name of a backend server.
    pub server: Option<String>,
    /// The name of an availability zone.
    pub zone: Option<String>,
    /// A flow.
    pub flow: Option<FlowId>,
    /// The earliest time, inclusive.
    pub since: Option<uhlc::NTP64>,
    /// The latest time, exclusive.
    pub until: Option<uhlc::NTP64>,
}

impl From<&TimelineQuery> for v1::TimelineFilter {
    fn from(query: &TimelineQuery) -> v1::TimelineFilter {
        v1::TimelineFilter {
            service: query.service.clone(),
            backend_server: query.server.clone(),
            zone: query.zone.clone(),
            flow: query.flow.map(|f| f.0.into()),
            since: query.since.map(|t| t.as_u64()),
            until: query.until.map(|t| t.as_u64()),
        }
    }
}

/// One item of a followed time line.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum FollowItem {
    /// An entry, with the names for it.
    Entry(Entry, Names),
    /// All entries that were there at the time of the call have been sent.
    CaughtUp,
}

/// A connection to one instance.
pub struct Connection {
    instance: SocketAddr,
    timeout: Duration,
    client: OperatorsClient<Channel>,
}

impl Connection {
    /// Connects to an instance; `timeout` bounds this and each call.
    pub async fn open(instance: SocketAddr, timeout: Duration) -> Result<Connection, CallError> {
        let unreachable = |source| CallError::Unreachable {
            instance,
            source: std::sync::Arc::new(source),
        };
        // Without keepalive, a followed time line would never notice that its connection went silent.
        let endpoint = Endpoint::from_shared(format!("http://{instance}"))
            .map_err(unreachable)?
            .http2_keep_alive_interval(timeout)
            .keep_alive_timeout(timeout);
        let connected = tokio::time::timeout(timeout, endpoint.connect()).await;
        let late = |_| CallError::ConnectTimeout {
            instance,
            after: timeout,
        };
        let channel = connected.map_err(late)?.map_err(unreachable)?;
        Ok(Connection {
            instance,
            timeout,
            client: OperatorsClient::new(channel).max_decoding_message_size(MAX_RESPONSE),
        })
    }

    /// Asks the instance to change the configuration.
    pub async fn apply(&mut self, changes: &ApplyChanges) -> Result<Outcome, CallError> {
        use v1::apply_response::Outcome as O;
        let request: v1::ApplyRequest = changes.into();
        let called = tokio::time::timeout(self.timeout, self.client.apply(request)).await;
        let response = self.answer(called)?;
        let outcome = decode::set("outcome", response.outcome).map_err(|e| self.decode(e))?;
        Ok(match outcome {
            O::Applied(applied) => Outcome::Applied(Revision(applied.revision)),
            O::Conflict(conflict) => Outcome::Conflict(Revision(conflict.present)),
            O::Invalid(v1::InvalidChange { index, reason }) => Outcome::Invalid { index, reason },
            O::Unavailable(_) => Outcome::Unavailable,
            O::Unknown(_) => Outcome::Unknown,
        })
    }

    /// Returns the configuration in force at the instance, without the remembered operations.
    pub async fn configuration(&mut self) -> Result<Configuration, CallError> {
        let request = v1::GetConfigurationRequest {};
        let call = self.client.get_configuration(request);
        let called = tokio::time::timeout(self.timeout, call).await;
        let response = self.answer(called)?;
        Configuration::try_from(response).map_err(|e| self.decode(e))
    }

    /// Returns the status of the instance, with names.
    pub async fn status(&mut self) -> Result<(InstanceStatus, Names), CallError> {
        let call = self.client.status(v1::StatusRequest {});
        let called = tokio::time::timeout(self.timeout, call).await;
        let response = self.answer(called)?;
        decode::status(response).map_err(|e| self.decode(e))
    }

    /// Explains where the packets of a flow go, with names.
    pub async fn explain(
        &mut self,
        query: &FlowQuery,
    ) -> Result<(FlowExplanation, Names), CallError> {
        let call = self.client.explain(v1::ExplainRequest {
            service: query.service.clone(),
            caller: query.caller.to_string(),
            unique: Some(query.unique_id.into()),
        });
        let called = tokio::time::timeout(self.timeout, call).await;
        let response = self.answer(called)?;
        decode::explanation(response).map_err(|e| self.decode(e))
    }

    /// Returns the time line entries that match, oldest first, with names.
    pub async fn timeline(
        &mut self,
        query: &TimelineQuery,
    ) -> Result<(Vec<Entry>, Names), CallError> {
        let filter = Some(query.into());
        let call = self.client.timeline(v1::TimelineRequest { filter });
        let called = tokio::time::timeout(self.timeout, call).await;
        let response = self.answer(called)?;
        let entries = decode::entries(response.entries).map_err(|e| self.decode(e))?;
        Ok((entries, Names(response.names)))
    }

    /// Follows the time line.
    pub async fn follow(mut self, query: &TimelineQuery) -> Result<Follow, CallError> {
        let filter = Some(query.into());
        let call = self.client.follow(v1::FollowRequest { filter });
        let called = tokio::time::timeout(self.timeout, call).await;
        let stream = self.answer(called)?;
        Ok(Follow {
            connection: self,
            stream,
        })
    }

    fn answer<T>(
        &self,
        called: Result<Result<tonic::Response<T>, Status>, tokio::time::error::Elapsed>,
    ) -> Result<T, CallError> {
        match called {
            Ok(Ok(response)) => Ok(response.into_inner()),
            Ok(Err(status)) => Err(self.failed(&status)),
            Err(_) => Err(CallError::Lost {
                instance: self.instance,
                reason: format!("no answer within {}", millis(self.timeout)),
            }),
        }
    }

    /// Classifies a status: only those that the instance gives before it does anything are
    /// refusals; after any other the call may have run.
    fn failed(&self, status: &Status) -> CallError {
        let instance = self.instance;
        match status.code() {
            Code::InvalidArgument | Code::NotFound | Code::Unimplemented => CallError::Refused {
                instance,
                message: status.message().to_owned(),
            },
            _ => CallError::Lost {
                instance,
                reason: match std::error::Error::source(status) {
                    Some(source) => innermost(source),
                    None => status.message().to_owned(),
                },
            },
        }
    }

    fn decode(&self, source: DecodeError) -> CallError {
        CallError::Decode {
            instance: self.instance,
            source: Box::new(source),
        }
    }
}

/// A followed time line.
pub struct Follow {
    connection: Connection,
    stream: Streaming<v1::FollowResponse>,
}

impl Follow {
    /// Returns the next item, or none when the instance ends the time line.
    pub async fn next(&mut self) -> Result<Option<FollowItem>, CallError> {
        use v1::follow_response::Item;
        let received = self.stream.message().await;
        let Some(response) = received.map_err(|s| self.connection.failed(&s))? else {
            return Ok(None);
        };
        let item = decode::set("item", response.item).map_err(|e| self.connection.decode(e))?;
        Ok(Some(match item {
            Item::Entry(entry) => FollowItem::Entry(
                Entry::try_from(entry).map_err(|e| self.connection.decode(e))?,
                Names(response.names),
            ),
            Item::CaughtUp(_) => FollowItem::CaughtUp,
        }))
    }
}
