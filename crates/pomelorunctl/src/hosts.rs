//! Asking hosts over their admin addresses.

use std::{net::SocketAddrV4, time::Duration};

use thiserror::Error;

/// Time allowed to an answer.
const ANSWER_TIME: Duration = Duration::from_secs(3);
/// Largest answer that is read, bytes.
const MAX_ANSWER: usize = 64 << 20;

/// Why a host did not answer.
#[derive(Debug, Clone, Error)]
#[error("{host}: {detail}")]
pub(crate) struct HostError {
    pub(crate) host: SocketAddrV4,
    pub(crate) detail: String,
}

/// Reads a path of a host's admin service as text.
pub(crate) async fn read(host: SocketAddrV4, path: &str) -> Result<String, HostError> {
    let failed = |e: &dyn std::fmt::Display| HostError { host, detail: e.to_string() };
    let client = awc::Client::default();
    let sent = client.get(format!("http://{host}{path}")).timeout(ANSWER_TIME).send().await;
    let mut res = sent.map_err(|e| failed(&e))?;
    if !res.status().is_success() {
        return Err(failed(&format!("status {}", res.status())));
    }
    let body = res.body().limit(MAX_ANSWER).await.map_err(|e| failed(&e))?;
    String::from_utf8(body.to_vec()).map_err(|e| failed(&e))
}

/// Reads host addresses from a list separated by commas.
pub(crate) fn parse_hosts(text: &str) -> Result<Vec<SocketAddrV4>, String> {
    let parse = |it: &str| {
        it.trim().parse().map_err(|_| format!("`{it}` is not an address such as `127.0.0.1:9090`"))
    };
    text.split(',').map(parse).collect()
}
