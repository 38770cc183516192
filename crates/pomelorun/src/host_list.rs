//! The service `host_list`: reads the platform's list of hosts.

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
/// Time allowed to an answer.
const ANSWER_TIME: Duration = Duration::from_secs(5);
/// Largest list that is accepted, bytes.
const MAX_LIST: usize = 4 << 20;
/// Bytes a second that reading the list may take on average; a longer list is read more rarely.
const BYTES_PER_S: u64 = 1_024;
/// A host that the list lacks brings the next reading forward by this factor at most.
const EARLY_FACTOR: u32 = 4;

/// One host as the platform lists it.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
struct Row {
    name: String,
    zone: String,
    packets: SocketAddrV4,
    /// Where it gives its configuration; the reader's own port where it is not listed.
    peers: Option<SocketAddrV4>,
    #[serde(default)]
    leaving: bool,
}

/// The service.
pub(crate) struct HostList {
    url: String,
    every: Duration,
    core_state: CoreStateRx,
    task: Option<JoinHandle<()>>,
}

impl HostList {
    pub(crate) fn new(settings: &Settings, core_state: CoreStateRx) -> HostList {
        HostList {
            url: settings.host_list.clone(),
            every: Duration::from_millis(settings.host_list_every_ms),
            core_state,
            task: None,
        }
    }
}

impl Service for HostList {
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
            self.every,
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
    every: Duration,
    packets: Recipient<ServiceMessage>,
    mut core_state: CoreStateRx,
) {
    let client = awc::Client::default();
    let mut outage = OutageLog::default();
    let mut pause = every;
    loop {
        match read(&client, &url).await {
            Ok((hosts, bytes)) => {
                if let OutageNotice::Recovered(after) = outage.record_success(Instant::now()) {
                    info!("host list is read again", kv: { outage_s = after.as_secs() });
                }
                pause = every.max(Duration::from_millis(bytes * 1_000 / BYTES_PER_S));
                packets.do_send(ServiceMessage::HostList(hosts));
            }
            Err(error) => match outage.record_failure(Instant::now()) {
                OutageNotice::Started => warn!("host list fails", kv: { error }),
                OutageNotice::Ongoing(age) => {
                    warn!("host list still fails", kv: { age_s = age.as_secs(), error });
                }
                OutageNotice::None | OutageNotice::Recovered(_) => {}
            },
        }
        let wanted = core_state.borrow_and_update().host_list_requests;
        let early = every.max(pause / EARLY_FACTOR);
        tokio::time::sleep(early).await;
        // Either the rest of the pause passes or a host turns up that the list lacked.
        let lacking = core_state.wait_for(|it| it.host_list_requests > wanted);
        let _ = tokio::time::timeout(pause.saturating_sub(early), lacking).await;
    }
}

/// Reads the list; returns it with its length in bytes.
async fn read(client: &awc::Client, url: &str) -> Result<(Vec<HostEntry>, u64), String> {
    let res = client.get(url).timeout(ANSWER_TIME).send().await;
    let mut res = res.map_err(|e| e.to_string())?;
    if !res.status().is_success() {
        return Err(format!("status {}", res.status()));
    }
    let body = res.body().limit(MAX_LIST).await.map_err(|e| e.to_string())?;
    let rows: Vec<Row> = serde_json::from_slice(&body).map_err(|e| e.to_string())?;
    Ok((rows.iter().map(entry).collect(), body.len() as u64))
}

fn entry(row: &Row) -> HostEntry {
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
