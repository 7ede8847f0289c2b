//! The health and load endpoints of the stand-in backend server.

use lovagespindle_backend_servers::generated::health::health_check_response::ServingStatus;
use lovagespindle_backend_servers::generated::health::health_server::Health;
use lovagespindle_backend_servers::generated::health::{
    HealthCheckRequest,
    HealthCheckResponse, //
};
use lovagespindle_backend_servers::generated::load::load_server::Load;
use lovagespindle_backend_servers::generated::load::{
    GetLoadRequest,
    GetLoadResponse, //
};
use tokio::sync::{
    mpsc,
    oneshot, //
};
use tonic::{
    Request,
    Response,
    Status, //
};

use crate::backend_server::Command;

/// Handlers that request the reported values from the server's task.
#[derive(Clone)]
pub(crate) struct Calls(mpsc::Sender<Command>);

impl Calls {
    pub(crate) fn new(commands: mpsc::Sender<Command>) -> Calls {
        Calls(commands)
    }

    async fn request<T>(
        &self,
        command: impl FnOnce(oneshot::Sender<T>) -> Command,
    ) -> Result<T, Status> {
        let (sender, answer) = oneshot::channel();
        let stopped = |_| Status::unavailable("the server has stopped");
        self.0.send(command(sender)).await.map_err(stopped)?;
        match answer.await {
            Ok(answer) => Ok(answer),
            // A dropped sender means that the server is unresponsive, so the call stays open.
            Err(_) => std::future::pending().await,
        }
    }
}

#[tonic::async_trait]
impl Health for Calls {
    async fn check(
        &self,
        _: Request<HealthCheckRequest>,
    ) -> Result<Response<HealthCheckResponse>, Status> {
        let status = match self.request(Command::Health).await? {
            true => ServingStatus::Serving,
            false => ServingStatus::NotServing,
        };
        let status = status.into();
        Ok(Response::new(HealthCheckResponse { status }))
    }
}

#[tonic::async_trait]
impl Load for Calls {
    async fn get_load(
        &self,
        _: Request<GetLoadRequest>,
    ) -> Result<Response<GetLoadResponse>, Status> {
        let report = self.request(Command::Load).await?;
        Ok(Response::new(GetLoadResponse {
            requests: report.requests,
            flows: report.flows,
            boot: report.boot,
        }))
    }
}
