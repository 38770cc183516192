//! Loading of objects from JSON files.

use std::{
    fs,
    path::{Path, PathBuf},
};

use pomelorun_wire::Code;
use serde_json::Value;

use crate::{
    check::{check, object_paths},
    fault::{Fault, Faults},
    object::{AvailabilityZone, Named, Object, ObjectSet, Service, UpstreamPool},
    strict::{StrictError, from_value_strict},
    unique::parse_without_duplicates,
};

/// Maximum size of a file of objects, in bytes.
pub const MAX_FILE_BYTES: u64 = 4 << 20;

/// Loads every `.json` file of a directory, sorted by file name.
///
/// # Errors
/// Returns every fault found: files that cannot be read, are too large or are not JSON of the
/// expected structure, and a directory without objects.
pub fn load_dir(dir: &Path) -> Result<ObjectSet, Faults> {
    let dir_name = dir.display().to_string();
    let set = load_files(&json_files(dir)?)?;
    if set.is_empty() {
        let message = "no `.json` file contains an object".to_owned();
        return Err(Faults(vec![Fault::new(Code::CONFIG_EMPTY, &dir_name, "", message)]));
    }
    Ok(set)
}

/// Loads every `.json` file of a directory, sorted by file name, and checks the set.
///
/// Faults that [`check`] finds in an object get the name of the object's file.
///
/// # Errors
/// Returns the faults of [`load_dir`] or, if there are none, those of [`check`].
pub fn load_and_check(dir: &Path) -> Result<ObjectSet, Faults> {
    let set = load_dir(dir)?;
    let mut faults = check(&set);
    if faults.0.is_empty() {
        return Ok(set);
    }
    for path in json_files(dir)? {
        let objects = object_paths(&load_files(&[&path])?);
        let in_file = |it: &&mut Fault| {
            it.file.is_empty() && objects.iter().any(|object| is_within(&it.path, object))
        };
        faults.0.iter_mut().filter(in_file).for_each(|it| it.file = path.display().to_string());
    }
    Err(faults)
}

/// Returns `true` if the path of a fault is within an object.
fn is_within(path: &str, object: &str) -> bool {
    path.strip_prefix(object).is_some_and(|it| it.is_empty() || it.starts_with('.'))
}

/// Returns the `.json` files of a directory, sorted by path.
fn json_files(dir: &Path) -> Result<Vec<PathBuf>, Faults> {
    let entries = fs::read_dir(dir).map_err(|e| {
        let dir_name = dir.display().to_string();
        Faults(vec![Fault::new(Code::CONFIG_READ, &dir_name, "", e.to_string())])
    })?;
    let mut paths: Vec<_> = entries
        .filter_map(Result::ok)
        .map(|it| it.path())
        .filter(|it| it.extension().is_some_and(|ext| ext == "json"))
        .collect();
    paths.sort();
    Ok(paths)
}

/// Loads the objects of the given files.
///
/// # Errors
/// Returns the same faults as [`load_dir`], except that an empty set is allowed.
pub fn load_files(paths: &[impl AsRef<Path>]) -> Result<ObjectSet, Faults> {
    let mut set = ObjectSet::default();
    let mut faults = Faults::default();
    for path in paths {
        let path = path.as_ref();
        let file_name = path.display().to_string();
        match read(path, &file_name) {
            Ok(text) => parse_objects(&file_name, &text, &mut set, &mut faults),
            Err(fault) => faults.push(fault),
        }
    }
    faults.into_result(set)
}

fn read(path: &Path, file_name: &str) -> Result<String, Fault> {
    let unreadable =
        |e: std::io::Error| Fault::new(Code::CONFIG_READ, file_name, "", e.to_string());
    let len = fs::metadata(path).map_err(unreadable)?.len();
    if len > MAX_FILE_BYTES {
        let message = format!("file of {len} bytes exceeds the limit of {MAX_FILE_BYTES} bytes");
        return Err(Fault::new(Code::CONFIG_TOO_LARGE, file_name, "", message));
    }
    fs::read_to_string(path).map_err(unreadable)
}

/// Parses JSON text as an object or an array of objects.
///
/// Valid objects are added to `set` and faults to `faults`.
pub fn parse_objects(file: &str, text: &str, set: &mut ObjectSet, faults: &mut Faults) {
    let value: Value = match parse_without_duplicates(text) {
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

/// Deserializes an object according to its `kind`.
///
/// The derived implementation for [`Object`] buffers the content of a tagged enum, so its errors
/// have no path within the object.
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
                "missing or unknown kind, expected one of `{}`, `{}`, `{}`",
                Service::KIND,
                AvailabilityZone::KIND,
                UpstreamPool::KIND
            ),
            code: Code::CONFIG_JSON,
        }]),
    }
}
