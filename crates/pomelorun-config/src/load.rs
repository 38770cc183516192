//! Reading objects from files.

use std::{
    fs,
    path::{Path, PathBuf},
};

use pomelorun_wire::Code;
use serde_json::Value;

use crate::{
    check::{check, paths_of},
    fault::{Fault, Faults},
    object::{AvailabilityZone, Named, Object, ObjectSet, Service, UpstreamPool},
    strict::{StrictError, from_value_strict},
    unique::parse_unique,
};

/// Largest file of objects, bytes.
pub const MAX_FILE_BYTES: u64 = 4 << 20;

/// Reads every `.json` file of a directory, in order of name.
///
/// # Errors
/// Every fault found: files that cannot be read, are too large or are not JSON of the expected
/// shape, and a directory without objects.
pub fn load_dir(dir: &Path) -> Result<ObjectSet, Faults> {
    let shown = dir.display().to_string();
    let set = load_files(&files_of(dir)?)?;
    if set.is_empty() {
        let message = "no object in any `.json` file".to_owned();
        return Err(Faults(vec![Fault::new(Code::CONFIG_EMPTY, &shown, "", message)]));
    }
    Ok(set)
}

/// Reads every `.json` file of a directory and checks the set; faults of an object name its file.
///
/// # Errors
/// As [`load_dir`], and every fault that [`check`] lists.
pub fn load_and_check(dir: &Path) -> Result<ObjectSet, Faults> {
    let set = load_dir(dir)?;
    let mut faults = check(&set);
    if faults.0.is_empty() {
        return Ok(set);
    }
    for path in files_of(dir)? {
        let objects = paths_of(&load_files(&[&path])?);
        let here = |it: &&mut Fault| {
            it.file.is_empty() && objects.iter().any(|object| is_within(&it.path, object))
        };
        faults.0.iter_mut().filter(here).for_each(|it| it.file = path.display().to_string());
    }
    Err(faults)
}

/// Tells whether a fault's path leads into an object.
fn is_within(path: &str, object: &str) -> bool {
    path.strip_prefix(object).is_some_and(|it| it.is_empty() || it.starts_with('.'))
}

/// The `.json` files of a directory, sorted.
fn files_of(dir: &Path) -> Result<Vec<PathBuf>, Faults> {
    let entries = fs::read_dir(dir).map_err(|e| {
        let shown = dir.display().to_string();
        Faults(vec![Fault::new(Code::CONFIG_READ, &shown, "", e.to_string())])
    })?;
    let mut paths: Vec<_> = entries
        .filter_map(Result::ok)
        .map(|it| it.path())
        .filter(|it| it.extension().is_some_and(|ext| ext == "json"))
        .collect();
    paths.sort();
    Ok(paths)
}

/// Reads the files named.
///
/// # Errors
/// As [`load_dir`], but an empty set is no fault.
pub fn load_files(paths: &[impl AsRef<Path>]) -> Result<ObjectSet, Faults> {
    let mut set = ObjectSet::default();
    let mut faults = Faults::default();
    for path in paths {
        let path = path.as_ref();
        let shown = path.display().to_string();
        match read(path, &shown) {
            Ok(text) => parse_objects(&shown, &text, &mut set, &mut faults),
            Err(fault) => faults.push(fault),
        }
    }
    faults.into_result(set)
}

fn read(path: &Path, shown: &str) -> Result<String, Fault> {
    let unreadable = |e: std::io::Error| Fault::new(Code::CONFIG_READ, shown, "", e.to_string());
    let len = fs::metadata(path).map_err(unreadable)?.len();
    if len > MAX_FILE_BYTES {
        let message = format!("{len} bytes, more than {MAX_FILE_BYTES}");
        return Err(Fault::new(Code::CONFIG_TOO_LARGE, shown, "", message));
    }
    fs::read_to_string(path).map_err(unreadable)
}

/// Reads one object or an array of objects from JSON text.
pub fn parse_objects(file: &str, text: &str, set: &mut ObjectSet, faults: &mut Faults) {
    let value: Value = match parse_unique(text) {
        Ok(it) => it,
        Err(e) => {
            faults.push(Fault::new(Code::CONFIG_JSON, file, "", e.to_string()));
            return;
        }
    };
    let Value::Array(items) = value else {
        parse_object(file, "", &value, set, faults);
        return;
    };
    for (at, item) in items.iter().enumerate() {
        parse_object(file, &format!("[{at}]"), item, set, faults);
    }
}

fn parse_object(file: &str, prefix: &str, value: &Value, set: &mut ObjectSet, faults: &mut Faults) {
    match read_object(value) {
        Ok(object) => set.add(object),
        Err(errors) => {
            for e in errors {
                let path =
                    if e.path == "." { prefix.to_owned() } else { format!("{prefix}.{}", e.path) };
                faults.push(Fault::new(e.code, file, path.trim_start_matches('.'), e.message));
            }
        }
    }
}

/// Reads the object by its `kind`, so that each fault keeps its path.
fn read_object(value: &Value) -> Result<Object, Vec<StrictError>> {
    let mut value = value.clone();
    let kind = value.as_object_mut().and_then(|it| it.remove("kind"));
    match kind.as_ref().and_then(Value::as_str) {
        Some(Service::KIND) => from_value_strict(value).map(Object::Service),
        Some(AvailabilityZone::KIND) => from_value_strict(value).map(Object::AvailabilityZone),
        Some(UpstreamPool::KIND) => from_value_strict(value).map(Object::UpstreamPool),
        _ => Err(vec![StrictError {
            path: "kind".to_owned(),
            message: format!(
                "expected one of `{}`, `{}`, `{}`",
                Service::KIND,
                AvailabilityZone::KIND,
                UpstreamPool::KIND
            ),
            code: Code::CONFIG_JSON,
        }]),
    }
}
