//! `burn`: how fast services spend their error budgets, and who spends them.

mod page;
mod plot;
mod rate;
mod text;

use std::{fs, net::SocketAddrV4, path::PathBuf};

use gumdrop::Options;
use pomelorun::BurnReport;
use pomelorun_config::Service;
use serde::{Deserialize, Serialize};

use crate::{
    answer::{Answer, Format, to_json},
    burn::rate::{ServiceRates, rates},
    hosts::{ask, parse_hosts},
    objects,
};

#[derive(Debug, Options)]
pub(crate) struct BurnArgs {
    /// print this help
    help: bool,
    /// admin addresses of the hosts, separated by commas
    #[options(no_short, meta = "ADDR,ADDR")]
    hosts: Option<String>,
    /// directory of the objects that hold the objectives
    #[options(no_short, required, meta = "DIR")]
    objects: PathBuf,
    /// read the hosts' answers from a file that `--save` wrote
    #[options(no_short, meta = "FILE")]
    input: Option<PathBuf>,
    /// keep the hosts' answers in a file
    #[options(no_short, meta = "FILE")]
    save: Option<PathBuf>,
    /// report this service only
    #[options(no_short, meta = "NAME")]
    service: Option<String>,
    /// `text`, `json` or `html`
    #[options(no_short, meta = "FORMAT")]
    format: Format,
    /// write to a file instead of standard output
    #[options(meta = "FILE")]
    output: Option<PathBuf>,
}

/// What the hosts answered, as `--save` keeps it.
#[derive(Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
struct Answers {
    hosts: Vec<BurnReport>,
    /// Hosts that did not answer, with the reason.
    unreachable: Vec<String>,
}

/// The report.
#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) struct Burn {
    services: Vec<ServiceRates>,
    /// Hosts that answered.
    hosts: Vec<String>,
    unreachable: Vec<String>,
}

impl Burn {
    /// What the figures rest on.
    fn scope(&self) -> String {
        let mut text = format!(
            "from {} hosts; each knows at most the time since its process started",
            self.hosts.len()
        );
        if !self.unreachable.is_empty() {
            text.push_str(&format!("; {} hosts are missing", self.unreachable.len()));
        }
        text
    }
}

pub(crate) async fn burn(args: &BurnArgs) -> Answer {
    let mut set = match objects::load(&args.objects) {
        Ok(it) => it,
        Err(faults) => return Answer::faults_as(args.format, &faults),
    };
    if let Some(name) = &args.service {
        set.services.retain(|it| it.name == *name);
        if set.services.is_empty() {
            return Answer::usage(format!("no service is named `{name}`"));
        }
    }
    let answers = match (&args.hosts, &args.input) {
        (Some(hosts), None) => match parse_hosts(hosts) {
            Ok(it) => read_hosts(&it, args).await,
            Err(e) => return Answer::usage(e),
        },
        (None, Some(path)) => match read_file(path) {
            Ok(it) => it,
            Err(e) => return Answer::usage(format!("{}: {e}", path.display())),
        },
        _ => return Answer::usage("give either `--hosts` or `--input`".to_owned()),
    };
    if let Some(path) = &args.save
        && let Err(e) = fs::write(path, to_json(&answers))
    {
        return Answer::usage(format!("{}: {e}", path.display()));
    }
    let out = render(args.format, &set.services, &answers);
    let out = match &args.output {
        None => out,
        Some(path) => match fs::write(path, out) {
            Ok(()) => format!("wrote {}", path.display()),
            Err(e) => return Answer::usage(format!("{}: {e}", path.display())),
        },
    };
    if answers.unreachable.is_empty() {
        Answer::ok(out)
    } else {
        Answer::unreachable(out, answers.unreachable.join("\n"))
    }
}

fn render(format: Format, services: &[Service], answers: &Answers) -> String {
    let burn = Burn {
        services: services.iter().map(|it| rates(it, &answers.hosts)).collect(),
        hosts: answers.hosts.iter().map(|it| it.host.clone()).collect(),
        unreachable: answers.unreachable.clone(),
    };
    match format {
        Format::Text => text::render(&burn),
        Format::Json => to_json(&burn),
        Format::Html => page::render(&burn, services, &answers.hosts),
    }
}

async fn read_hosts(hosts: &[SocketAddrV4], args: &BurnArgs) -> Answers {
    // The cells are wanted for plots only, and for a file from which plots may be made.
    let cells = args.format == Format::Html || args.save.is_some();
    let (hosts, failed) = ask::<BurnReport>(hosts, &format!("/v1/burn?cells={cells}")).await;
    Answers { hosts, unreachable: failed.iter().map(ToString::to_string).collect() }
}

fn read_file(path: &PathBuf) -> Result<Answers, String> {
    let text = fs::read_to_string(path).map_err(|e| e.to_string())?;
    serde_json::from_str(&text).map_err(|e| e.to_string())
}
