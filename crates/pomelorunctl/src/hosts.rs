//! Asking hosts over their admin addresses.

use std::{net::SocketAddrV4, time::Duration};

use futures_util::{StreamExt, stream};
use serde::de::DeserializeOwned;
use serde_json::Value;
use thiserror::Error;

/// Time allowed to an answer.
const ANSWER_TIME: Duration = Duration::from_secs(3);
/// Hosts that are asked at the same time.
const AT_A_TIME: usize = 16;
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

/// Asks all hosts for a path, some at a time; answers come in the order of the hosts.
pub(crate) async fn ask<T: DeserializeOwned>(
    hosts: &[SocketAddrV4],
    path: &str,
) -> (Vec<T>, Vec<HostError>) {
    let one = |host: SocketAddrV4| async move {
        let text = read(host, path).await?;
        serde_json::from_str::<T>(&text)
            .map_err(|e| HostError { host, detail: format!("unexpected answer: {e}") })
    };
    let all: Vec<Result<T, HostError>> =
        stream::iter(hosts.iter().copied()).map(one).buffered(AT_A_TIME).collect().await;
    let (mut answers, mut failed) = (Vec::new(), Vec::new());
    for it in all {
        match it {
            Ok(it) => answers.push(it),
            Err(e) => failed.push(e),
        }
    }
    (answers, failed)
}

/// Reads answers as what they should be; the others are named as errors.
pub(crate) fn read_all<T: DeserializeOwned>(
    answers: Vec<Value>,
    errors: &mut Vec<String>,
) -> Vec<T> {
    let mut read = Vec::with_capacity(answers.len());
    for it in answers {
        let host = it.get("host").and_then(Value::as_str).unwrap_or("a host").to_owned();
        match serde_json::from_value(it) {
            Ok(it) => read.push(it),
            Err(e) => errors.push(format!("{host}: unexpected answer: {e}")),
        }
    }
    read
}

/// Reads host addresses from a list separated by commas.
pub(crate) fn parse_hosts(text: &str) -> Result<Vec<SocketAddrV4>, String> {
    let parse = |it: &str| {
        it.trim().parse().map_err(|_| format!("`{it}` is not an address such as `127.0.0.1:9090`"))
    };
    text.split(',').map(parse).collect()
}
