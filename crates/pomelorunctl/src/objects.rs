//! `check`, `diff` and `bundle`.

use std::{
    fs,
    path::{Path, PathBuf},
};

use gumdrop::Options;
use pomelorun_config::{Bundle, Change, ChangeKind, Faults, ObjectSet};
use serde::Serialize;

use crate::answer::{Answer, Format, to_json};

#[derive(Debug, Options)]
pub(crate) struct CheckArgs {
    /// print this help
    help: bool,
    /// directory of the objects
    #[options(free, required)]
    dir: PathBuf,
    /// `text` or `json`
    #[options(no_short, meta = "FORMAT")]
    format: Format,
}

#[derive(Debug, Options)]
pub(crate) struct DiffArgs {
    /// print this help
    help: bool,
    /// directory of the objects in force
    #[options(free, required)]
    from: PathBuf,
    /// directory of the objects to publish
    #[options(free, required)]
    to: PathBuf,
    /// `text` or `json`
    #[options(no_short, meta = "FORMAT")]
    format: Format,
}

#[derive(Debug, Options)]
pub(crate) struct BundleArgs {
    /// print this help
    help: bool,
    /// directory of the objects
    #[options(free, required)]
    dir: PathBuf,
    /// file to write
    #[options(meta = "FILE", required)]
    output: PathBuf,
    /// revision, higher than the one in force
    #[options(no_short, meta = "N", required)]
    revision: u64,
}

#[derive(Debug, Serialize)]
struct Checked<'a> {
    ok: bool,
    faults: &'a Faults,
}

/// Reads a directory and checks the whole set.
fn load(dir: &Path) -> Result<ObjectSet, Faults> {
    let set = pomelorun_config::load_dir(dir)?;
    pomelorun_config::check(&set).or(set)
}

pub(crate) fn check(args: &CheckArgs) -> Answer {
    let checked = load(&args.dir);
    let none = Faults::default();
    let faults = checked.as_ref().err().unwrap_or(&none);
    let text = match (&checked, args.format) {
        (_, Format::Json) => to_json(&Checked { ok: checked.is_ok(), faults }),
        (Ok(set), _) => format!(
            "ok: {} services, {} pools, {} availability zones",
            set.services.len(),
            set.pools.len(),
            set.zones.len()
        ),
        (Err(faults), _) => format!("{faults}\n{} faults; nothing was published", faults.0.len()),
    };
    if checked.is_ok() { Answer::ok(text) } else { Answer::faults(text) }
}

pub(crate) fn diff(args: &DiffArgs) -> Answer {
    let sets = load(&args.from).and_then(|from| Ok((from, load(&args.to)?)));
    let (from, to) = match sets {
        Ok(it) => it,
        Err(faults) if args.format == Format::Json => {
            return Answer::faults(to_json(&Checked { ok: false, faults: &faults }));
        }
        Err(faults) => return Answer::faults(faults.to_string()),
    };
    let changes = pomelorun_config::diff(&from, &to);
    match args.format {
        Format::Json => Answer::ok(to_json(&changes)),
        Format::Text | Format::Html if changes.is_empty() => Answer::ok("no change".to_owned()),
        Format::Text | Format::Html => {
            Answer::ok(changes.iter().map(describe).collect::<Vec<_>>().join("\n"))
        }
    }
}

fn describe(change: &Change) -> String {
    let sign = match change.change {
        ChangeKind::Added => '+',
        ChangeKind::Removed => '-',
        ChangeKind::Changed => '~',
    };
    format!("{sign} {}", change.object)
}

pub(crate) fn bundle(args: &BundleArgs) -> Answer {
    let set = match load(&args.dir) {
        Ok(it) => it,
        Err(faults) => return Answer::faults(format!("{faults}\nnothing was written")),
    };
    let bundle = match Bundle::new(args.revision, &set) {
        Ok(it) => it,
        Err(e) => return Answer::faults(format!("{}: {e}; nothing was written", e.code())),
    };
    if let Err(e) = fs::write(&args.output, to_json(&bundle)) {
        return Answer::faults(format!("{}: {e}", args.output.display()));
    }
    let chunks = bundle.manifest.chunks.len();
    Answer::ok(format!(
        "revision {} in {chunks} chunks, content {}",
        bundle.manifest.revision,
        bundle.manifest.content_hash()
    ))
}
