//! The service `host_list`: reads the platform's list of hosts.

use std::{net::SocketAddrV4, time::Duration};

use actix::Recipient;
use pomelorun_core::ListedHost;
use pomelorun_wire::{HostId, ZoneId};
use serde::Deserialize;
use spdlog::prelude::*;
use tokio::task::JoinHandle;

use crate::{
    control::{Control, HostEntry},
    kernel::{Registry, Service, StartError, Stopped},
    packets::PACKETS,
    settings::Settings,
};

const HOST_LIST: &str = "host_list";
/// Time allowed to an answer.
const ANSWER_TIME: Duration = Duration::from_secs(5);
/// Largest list that is accepted, bytes.
const MAX_LIST: usize = 4 << 20;

/// One host as the platform lists it.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
struct Row {
    name: String,
    zone: String,
    packets: SocketAddrV4,
    #[serde(default)]
    leaving: bool,
}

/// The service.
pub(crate) struct HostList {
    url: String,
    every: Duration,
    task: Option<JoinHandle<()>>,
}

impl HostList {
    pub(crate) fn new(settings: &Settings) -> HostList {
        HostList {
            url: settings.host_list.clone(),
            every: Duration::from_millis(settings.host_list_every_ms),
            task: None,
        }
    }
}

impl Service for HostList {
    fn name(&self) -> &'static str {
        HOST_LIST
    }

    fn start(&mut self, registry: &Registry) -> Result<Option<Recipient<Control>>, StartError> {
        let packets = registry.need(PACKETS, HOST_LIST)?;
        self.task = Some(actix_rt::spawn(poll(self.url.clone(), self.every, packets)));
        Ok(None)
    }

    fn stop(&mut self) -> Stopped {
        let task = self.task.take();
        Box::pin(async move {
            if let Some(task) = task {
                task.abort();
                let _ = task.await;
            }
        })
    }
}

async fn poll(url: String, every: Duration, packets: Recipient<Control>) {
    let client = awc::Client::default();
    loop {
        match read(&client, &url).await {
            Ok(hosts) => packets.do_send(Control::HostList(hosts)),
            Err(e) => warn!("host list", kv: { error = e }),
        }
        tokio::time::sleep(every).await;
    }
}

async fn read(client: &awc::Client, url: &str) -> Result<Vec<HostEntry>, String> {
    let res = client.get(url).timeout(ANSWER_TIME).send().await;
    let mut res = res.map_err(|e| e.to_string())?;
    if !res.status().is_success() {
        return Err(format!("status {}", res.status()));
    }
    let body = res.body().limit(MAX_LIST).await.map_err(|e| e.to_string())?;
    let rows: Vec<Row> = serde_json::from_slice(&body).map_err(|e| e.to_string())?;
    Ok(rows.iter().map(entry).collect())
}

fn entry(row: &Row) -> HostEntry {
    HostEntry {
        listed: ListedHost {
            host: HostId::from_name(&row.name),
            zone: ZoneId::from_name(&row.zone),
            leaving: row.leaving,
        },
        packets: row.packets,
    }
}
