//! `check`, `diff` and `bundle`.

use std::{
    fs,
    io::ErrorKind,
    path::{Path, PathBuf},
};

use crate::answer::{Answer, Checked, Format, to_json};
use gumdrop::Options;
use pomelorun_config::{Bundle, Change, ChangeKind, Faults, ObjectSet};
use pomelorun_wire::Code;

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

/// Reads a directory and checks the whole set.
pub(crate) fn load(dir: &Path) -> Result<ObjectSet, Faults> {
    pomelorun_config::load_and_check(dir)
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
        Err(faults) => return Answer::faults_as(args.format, &faults),
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
    if let Err(e) = may_replace(&args.output, args.revision) {
        return Answer::faults(format!("{e}; nothing was written"));
    }
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

/// A bundle is replaced by a higher revision only, and any other file not at all.
fn may_replace(output: &Path, revision: u64) -> Result<(), String> {
    let shown = output.display();
    let text = match fs::read_to_string(output) {
        Ok(it) => it,
        Err(e) if e.kind() == ErrorKind::NotFound => return Ok(()),
        Err(e) => return Err(format!("{} {shown}: {e}", Code::CONFIG_READ)),
    };
    let Ok(before) = serde_json::from_str::<Bundle>(&text) else {
        return Err(format!("{} {shown}: exists and is not a bundle", Code::CONFIG_JSON));
    };
    let before = before.manifest.revision;
    if revision <= before {
        return Err(format!(
            "{} {shown}: holds revision {before}; choose a higher one than that, not {revision}",
            Code::CONFIG_REGRESSION
        ));
    }
    Ok(())
}
