//! Documents that the operator and the backends write to the store.

use std::net::SocketAddrV4;

/// One route of a desired state.
pub struct Route {
    pub name: String,
    pub address: SocketAddrV4,
    pub service: &'static str,
}

/// Returns a desired state in full. `services` are names, each with its `MaxConnections`.
pub fn config(version: u64, routes: &[Route], services: &[(&str, usize)], idle_ms: u64) -> String {
    let routes: Vec<String> = routes
        .iter()
        .map(|route| {
            format!(
                "{{\"Name\":\"{}\",\"Host\":\"{}\",\"Prefix\":\"/{}/\",\"Kind\":\"idempotent\",\
                 \"TimeoutMs\":2000,\"TargetLatencyMs\":250,\"Priority\":2,\"Service\":\"{}\",\
                 \"MaxAttempts\":2}}",
                route.name,
                route.address.ip(),
                route.address.port(),
                route.service
            )
        })
        .collect();
    let services: Vec<String> = services
        .iter()
        .map(|(name, max_flows)| {
            format!(
                "{{\"Name\":\"{name}\",\"HealthPath\":\"/health\",\"MaxConnections\":{max_flows},\
                 \"Protocol\":\"h1\",\"Tls\":false,\"WarmupS\":2.0,\"WarmupPerS\":0.0}}"
            )
        })
        .collect();
    format!(
        "{{\"Version\":{version},\"Routes\":[{}],\"Services\":[{}],\"Limits\":\
         {{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":262144,\"HeaderTimeoutMs\":3000,\
         \"IdleTimeoutMs\":{idle_ms}}}}}",
        routes.join(","),
        services.join(",")
    )
}

/// Returns the entry of a ready and warm backend.
pub fn entry(service: &str, address: SocketAddrV4, zone: &str, born: u64) -> String {
    format!(
        "{{\"Service\":\"{service}\",\"Address\":\"{address}\",\"Zone\":\"{zone}\",\
         \"Version\":\"v1\",\"Concurrency\":3,\"State\":\"ready\",\"WarmupLeftMs\":0,\
         \"Sequence\":1,\"born\":{born}}}"
    )
}
