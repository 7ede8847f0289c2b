//! A test setup of a caller, a fabric and one backend server in place of an instance.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use lovagespindle_datagram::Services;
use lovagespindle_decisions::ids::ServiceId;
use lovagespindle_stand_ins::backend_server::ServerSettings;
use lovagespindle_stand_ins::caller::{
    CallerSettings,
    RequestOptions, //
};
use lovagespindle_stand_ins::peer::TIMEOUT;
use lovagespindle_stand_ins::{
    BackendServer,
    Caller,
    Fabric,
    Flow,
    Work, //
};

pub(crate) const NAME: &str = "order-desk";

pub(crate) fn address() -> SocketAddr {
    "198.51.100.7:80".parse().unwrap()
}

pub(crate) fn services() -> Services {
    [(address(), ServiceId(7))].into_iter().collect()
}

pub(crate) fn settings() -> ServerSettings {
    ServerSettings {
        service: NAME.to_owned(),
        services: services(),
        ..ServerSettings::default()
    }
}

pub(crate) struct Setup {
    pub(crate) fabric: Fabric,
    pub(crate) server: BackendServer,
    pub(crate) caller: Caller,
}

impl Setup {
    pub(crate) async fn start(settings: ServerSettings) -> Setup {
        let fabric = Fabric::start(1).await.unwrap();
        let server = BackendServer::start(settings).await.unwrap();
        fabric.set_instances(&[server.address]).await.unwrap();
        let caller = caller(&fabric, 1).await;
        Setup {
            fabric,
            server,
            caller,
        }
    }

    pub(crate) fn flow(&mut self) -> Flow {
        self.caller.flow(address(), NAME).unwrap()
    }
}

/// Polls until the result satisfies a condition, or panics after [`TIMEOUT`].
pub(crate) async fn until<T, F: Future<Output = T>>(
    poll: impl Fn() -> F,
    condition: impl Fn(&T) -> bool,
) -> T {
    let polling = async {
        loop {
            let answer = poll().await;
            if condition(&answer) {
                return answer;
            }
            tokio::task::yield_now().await;
        }
    };
    tokio::time::timeout(TIMEOUT, polling).await.unwrap()
}

pub(crate) async fn caller(fabric: &Fabric, seed: u64) -> Caller {
    let settings = CallerSettings {
        fabric: fabric.front,
        services: services(),
        timeout: Duration::from_millis(300),
        attempts: 3,
        seed,
    };
    Caller::start(settings).await.unwrap()
}

/// Returns options of a request that runs for `millis` milliseconds and is sent once.
pub(crate) fn single_request(millis: u64) -> RequestOptions {
    RequestOptions {
        work: Work::for_millis(millis),
        ..RequestOptions::default()
    }
}

/// Returns options of a request that runs for `millis` milliseconds and may be retried.
pub(crate) fn idempotent_request(millis: u64) -> RequestOptions {
    RequestOptions {
        idempotent: true,
        ..single_request(millis)
    }
}
