//! Typed gRPC calls to one instance.

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

/// Maximum size of a response in bytes. The configuration of 100,000 backend servers takes about
/// 10 MB.
const MAX_RESPONSE: usize = 64 << 20;

/// Reason why a call to one instance failed.
#[derive(Clone, Debug, thiserror::Error)]
pub enum CallError {
    /// The client has no instance to call.
    #[error("no instance is given")]
    NoInstance,
    /// The connection failed; the call was not sent.
    #[error("instance {instance} cannot be reached: {reason}", reason = innermost(source.as_ref()))]
    Unreachable {
        instance: SocketAddr,
        source: std::sync::Arc<tonic::transport::Error>,
    },
    /// The connection timed out; the call was not sent.
    #[error("instance {instance} did not accept a connection within {}", millis(*after))]
    ConnectTimeout {
        instance: SocketAddr,
        after: Duration,
    },
    /// The call was sent, but no reply arrived; it may have been executed.
    #[error("the reply of instance {instance} was lost: {reason}")]
    Lost {
        instance: SocketAddr,
        /// Error of the transport, or the message of the status.
        reason: String,
    },
    /// The instance refused the call and did not execute it.
    #[error("instance {instance} refused the call: {message}")]
    Refused {
        instance: SocketAddr,
        message: String,
    },
    /// The reply is invalid, possibly because the instance runs another version.
    #[error("the reply of instance {instance} cannot be decoded: {source}")]
    Decode {
        instance: SocketAddr,
        source: Box<DecodeError>,
    },
}

fn millis(duration: Duration) -> String {
    format!("{} ms", duration.as_millis())
}

/// Returns the text of the innermost cause; the outer errors only say "transport error".
fn innermost(error: &dyn std::error::Error) -> String {
    let mut cause = error;
    while let Some(inner) = cause.source() {
        cause = inner;
    }
    cause.to_string()
}

/// Reply of an instance to a change.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The changes were applied at this revision.
    Applied(Revision),
    /// Nothing was changed: the configuration is at this revision, not at the expected one.
    Conflict(Revision),
    /// Nothing was changed: a change contradicts the configuration.
    Invalid {
        /// Zero-based position of the change.
        index: u32,
        reason: String,
    },
    /// Nothing was changed: the store does not respond.
    Unavailable,
    /// The write was sent to the store, but the response was lost.
    Unknown,
}

/// Identifies the flow to explain.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FlowQuery {
    /// Name of the service.
    pub service: String,
    pub caller: SocketAddr,
    /// Unique id that the fabric gave the flow.
    pub unique_id: u128,
}

/// Conditions on timeline entries, with names as given by operators.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct TimelineQuery {
    /// Name of a service.
    pub service: Option<String>,
    /// Name of a backend server.
    pub server: Option<String>,
    /// Name of an availability zone.
    pub zone: Option<String>,
    pub flow: Option<FlowId>,
    /// Earliest time, inclusive.
    pub since: Option<uhlc::NTP64>,
    /// Latest time, exclusive.
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

/// Item of a timeline stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum FollowItem {
    /// An entry with the names of the objects that it refers to.
    Entry(Entry, Names),
    /// All entries that existed at the time of the call have been sent.
    CaughtUp,
}

/// Connection to one instance.
pub struct Connection {
    instance: SocketAddr,
    timeout: Duration,
    client: OperatorsClient<Channel>,
}

impl Connection {
    /// Connects to an instance. `timeout` applies to the connection attempt and to each call.
    /// Returns an error if the instance does not accept the connection in time.
    pub async fn open(instance: SocketAddr, timeout: Duration) -> Result<Connection, CallError> {
        let unreachable = |source| CallError::Unreachable {
            instance,
            source: std::sync::Arc::new(source),
        };
        // Without keepalive, a timeline stream would never detect that its peer is unreachable.
        let endpoint = Endpoint::from_shared(format!("http://{instance}"))
            .map_err(unreachable)?
            .http2_keep_alive_interval(timeout)
            .keep_alive_timeout(timeout);
        let connected = tokio::time::timeout(timeout, endpoint.connect()).await;
        let timed_out = |_| CallError::ConnectTimeout {
            instance,
            after: timeout,
        };
        let channel = connected.map_err(timed_out)?.map_err(unreachable)?;
        Ok(Connection {
            instance,
            timeout,
            client: OperatorsClient::new(channel).max_decoding_message_size(MAX_RESPONSE),
        })
    }

    /// Changes the configuration. Returns an error if the call fails or its reply is invalid.
    pub async fn apply(&mut self, changes: &ApplyChanges) -> Result<Outcome, CallError> {
        use v1::apply_response::Outcome as O;
        let request: v1::ApplyRequest = changes.into();
        let result = tokio::time::timeout(self.timeout, self.client.apply(request)).await;
        let response = self.response(result)?;
        let outcome =
            decode::required("outcome", response.outcome).map_err(|e| self.decode_error(e))?;
        Ok(match outcome {
            O::Applied(applied) => Outcome::Applied(Revision(applied.revision)),
            O::Conflict(conflict) => Outcome::Conflict(Revision(conflict.present)),
            O::Invalid(v1::InvalidChange { index, reason }) => Outcome::Invalid { index, reason },
            O::Unavailable(_) => Outcome::Unavailable,
            O::Unknown(_) => Outcome::Unknown,
        })
    }

    /// Returns the active configuration of the instance, without the recorded operations. Returns an
    /// error if the call fails or its reply is invalid.
    pub async fn configuration(&mut self) -> Result<Configuration, CallError> {
        let request = v1::GetConfigurationRequest {};
        let call = self.client.get_configuration(request);
        let result = tokio::time::timeout(self.timeout, call).await;
        let response = self.response(result)?;
        Configuration::try_from(response).map_err(|e| self.decode_error(e))
    }

    /// Returns the status of the instance and the names of objects in it. Returns an error if the
    /// call fails or its reply is invalid.
    pub async fn status(&mut self) -> Result<(InstanceStatus, Names), CallError> {
        let call = self.client.status(v1::StatusRequest {});
        let result = tokio::time::timeout(self.timeout, call).await;
        let response = self.response(result)?;
        decode::status(response).map_err(|e| self.decode_error(e))
    }

    /// Explains where the packets of a flow are sent, with the names of objects. Returns an error
    /// if the call fails or its reply is invalid.
    pub async fn explain(
        &mut self,
        query: &FlowQuery,
    ) -> Result<(FlowExplanation, Names), CallError> {
        let call = self.client.explain(v1::ExplainRequest {
            service: query.service.clone(),
            caller: query.caller.to_string(),
            unique: Some(query.unique_id.into()),
        });
        let result = tokio::time::timeout(self.timeout, call).await;
        let response = self.response(result)?;
        decode::explanation(response).map_err(|e| self.decode_error(e))
    }

    /// Returns the matching timeline entries, oldest first, with the names of objects. Returns an
    /// error if the call fails or its reply is invalid.
    pub async fn timeline(
        &mut self,
        query: &TimelineQuery,
    ) -> Result<(Vec<Entry>, Names), CallError> {
        let filter = Some(query.into());
        let call = self.client.timeline(v1::TimelineRequest { filter });
        let result = tokio::time::timeout(self.timeout, call).await;
        let response = self.response(result)?;
        let entries = decode::entries(response.entries).map_err(|e| self.decode_error(e))?;
        Ok((entries, Names(response.names)))
    }

    /// Streams the timeline. Returns an error if the call fails.
    pub async fn follow(mut self, query: &TimelineQuery) -> Result<Follow, CallError> {
        let filter = Some(query.into());
        let call = self.client.follow(v1::FollowRequest { filter });
        let result = tokio::time::timeout(self.timeout, call).await;
        let stream = self.response(result)?;
        Ok(Follow {
            connection: self,
            stream,
        })
    }

    fn response<T>(
        &self,
        result: Result<Result<tonic::Response<T>, Status>, tokio::time::error::Elapsed>,
    ) -> Result<T, CallError> {
        match result {
            Ok(Ok(response)) => Ok(response.into_inner()),
            Ok(Err(status)) => Err(self.status_error(&status)),
            Err(_) => Err(CallError::Lost {
                instance: self.instance,
                reason: format!("no reply within {}", millis(self.timeout)),
            }),
        }
    }

    /// Classifies a status. Only a status that the instance returns before it executes a call is a
    /// refusal; after any other the call may have been executed.
    fn status_error(&self, status: &Status) -> CallError {
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

    fn decode_error(&self, source: DecodeError) -> CallError {
        CallError::Decode {
            instance: self.instance,
            source: Box::new(source),
        }
    }
}

/// Stream of timeline entries from one instance.
pub struct Follow {
    connection: Connection,
    stream: Streaming<v1::FollowResponse>,
}

impl Follow {
    /// Returns the next item, or `None` when the instance ends the stream. Returns an error if the
    /// connection fails or an item is invalid.
    pub async fn next(&mut self) -> Result<Option<FollowItem>, CallError> {
        use v1::follow_response::Item;
        let received = self.stream.message().await;
        let Some(response) = received.map_err(|s| self.connection.status_error(&s))? else {
            return Ok(None);
        };
        let item =
            decode::required("item", response.item).map_err(|e| self.connection.decode_error(e))?;
        Ok(Some(match item {
            Item::Entry(entry) => FollowItem::Entry(
                Entry::try_from(entry).map_err(|e| self.connection.decode_error(e))?,
                Names(response.names),
            ),
            Item::CaughtUp(_) => FollowItem::CaughtUp,
        }))
    }
}
