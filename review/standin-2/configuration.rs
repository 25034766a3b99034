//! The operator's configuration of the cases.

/// A route of the host `host.example` with the prefix `/NAME/`.
pub fn route(name: &str, kind: &str, service: &str, more: &str) -> String {
    format!(
        "{{\"name\":\"{name}\",\"host\":\"host.example\",\"prefix\":\"/{name}/\",\
         \"type\":\"{kind}\",\"timeoutMs\":3000,\"goalMs\":250,\"priority\":1,\
         \"service\":\"{service}\",\"maxAttempts\":1,\"public\":false,\"sticky\":false,\
         \"gapTargetMs\":150{more}}}"
    )
}

/// A configuration with one tenant and the services `apps` and `models`.
pub fn configuration(version: u64, routes: &[String]) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"apps\",\
         \"healthPath\":\"/healthz\",\"maxConns\":200}},{{\"name\":\"models\",\
         \"healthPath\":\"/healthz\",\"maxConns\":200,\"engine\":{{\"slots\":64,\
         \"chunkTokens\":13}}}}],\"limits\":{{\"maxHeaderBytes\":16384,\
         \"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\
         \"tenants\":[{{\"name\":\"tenant-a\",\"apiKeys\":[\"key-a\"],\"priority\":1,\
         \"ratePerS\":0,\"burst\":0}}]}}",
        routes.join(",")
    )
}
