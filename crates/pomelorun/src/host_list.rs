//! The `host_list` service: polls the platform's list of hosts.

use std::{
    net::SocketAddrV4,
    time::{Duration, Instant},
};

use actix::Recipient;
use pomelorun_core::ListedHost;
use pomelorun_wire::{HostId, ZoneId};
use serde::Deserialize;
use spdlog::prelude::*;
use tokio::task::JoinHandle;

use crate::{
    config::outage_log::{OutageLog, OutageNotice},
    core_state::CoreStateRx,
    kernel::{Registry, Service, StartError, StopFuture, abort_and_join},
    packets::PACKETS,
    service_message::{HostEntry, ServiceMessage},
    settings::Settings,
};

const HOST_LIST: &str = "host_list";
/// Timeout of a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum size of the list, in bytes.
const MAX_LIST_BYTES: usize = 4 << 20;
/// Maximum average rate of reading the list, in bytes per second; a longer list is read less often.
const MAX_BYTES_PER_S: u64 = 1_024;
/// Maximum factor by which the pause before the next read is shortened when the list lacks a live
/// host.
const MAX_SPEEDUP: u32 = 4;

/// A host in the platform's JSON.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
struct HostRow {
    name: String,
    zone: String,
    packets: SocketAddrV4,
    /// Address of its configuration stream; if absent, the reading host's own port is assumed.
    peers: Option<SocketAddrV4>,
    #[serde(default)]
    leaving: bool,
}

/// The service that polls the host list.
pub(crate) struct HostListService {
    url: String,
    interval: Duration,
    core_state: CoreStateRx,
    task: Option<JoinHandle<()>>,
}

impl HostListService {
    pub(crate) fn new(settings: &Settings, core_state: CoreStateRx) -> HostListService {
        HostListService {
            url: settings.host_list.clone(),
            interval: Duration::from_millis(settings.host_list_every_ms),
            core_state,
            task: None,
        }
    }
}

impl Service for HostListService {
    fn name(&self) -> &'static str {
        HOST_LIST
    }

    fn start(
        &mut self,
        registry: &Registry,
    ) -> Result<Option<Recipient<ServiceMessage>>, StartError> {
        let packets = registry.require(PACKETS, HOST_LIST)?;
        self.task = Some(actix_rt::spawn(poll(
            self.url.clone(),
            self.interval,
            packets,
            self.core_state.clone(),
        )));
        Ok(None)
    }

    fn stop(&mut self) -> StopFuture {
        abort_and_join(self.task.take())
    }
}

async fn poll(
    url: String,
    interval: Duration,
    packets: Recipient<ServiceMessage>,
    mut core_state: CoreStateRx,
) {
    let client = awc::Client::default();
    let mut outage = OutageLog::default();
    let mut pause = interval;
    loop {
        match read_list(&client, &url).await {
            Ok((hosts, bytes)) => {
                if let OutageNotice::Recovered(after) = outage.record_success(Instant::now()) {
                    info!("host list has recovered", kv: { outage_s = after.as_secs() });
                }
                pause = interval.max(Duration::from_millis(bytes * 1_000 / MAX_BYTES_PER_S));
                packets.do_send(ServiceMessage::HostList(hosts));
            }
            Err(error) => match outage.record_failure(Instant::now()) {
                OutageNotice::Started => warn!("failed to read the host list", kv: { error }),
                OutageNotice::Ongoing(age) => {
                    warn!("still failing to read the host list", kv: {
                        age_s = age.as_secs(), error
                    });
                }
                OutageNotice::None | OutageNotice::Recovered(_) => {}
            },
        }
        let seen = core_state.borrow_and_update().host_list_requests;
        let early = interval.max(pause / MAX_SPEEDUP);
        tokio::time::sleep(early).await;
        // Waits for the rest of the pause, or until the core requests the list again because it
        // lacks a live host.
        let requested = core_state.wait_for(|it| it.host_list_requests > seen);
        let _ = tokio::time::timeout(pause.saturating_sub(early), requested).await;
    }
}

/// Returns the host list and its size in bytes.
async fn read_list(client: &awc::Client, url: &str) -> Result<(Vec<HostEntry>, u64), String> {
    let res = client.get(url).timeout(RESPONSE_TIMEOUT).send().await;
    let mut res = res.map_err(|e| e.to_string())?;
    if !res.status().is_success() {
        return Err(format!("unexpected HTTP status {}", res.status()));
    }
    let body = res.body().limit(MAX_LIST_BYTES).await.map_err(|e| e.to_string())?;
    let rows: Vec<HostRow> = serde_json::from_slice(&body).map_err(|e| e.to_string())?;
    Ok((rows.iter().map(entry).collect(), body.len() as u64))
}

fn entry(row: &HostRow) -> HostEntry {
    HostEntry {
        listed: ListedHost {
            host: HostId::from_name(&row.name),
            zone: ZoneId::from_name(&row.zone),
            leaving: row.leaving,
        },
        packets: row.packets,
        peers: row.peers,
    }
}
