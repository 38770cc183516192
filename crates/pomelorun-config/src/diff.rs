//! Comparison of two object sets.

use serde::Serialize;

use crate::object::{Named, ObjectSet, find};

/// How an object changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeKind {
    /// The object is only in the new set.
    Added,
    /// The object is only in the old set.
    Removed,
    /// The object is in both sets but differs.
    Changed,
}

/// An object that differs between two sets.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Change {
    /// How the object changes.
    pub change: ChangeKind,
    /// The kind and name of the object, such as `Service/mesa`.
    pub object: String,
}

/// Returns the objects that differ between two sets, zones first, then pools and services.
pub fn diff(from: &ObjectSet, to: &ObjectSet) -> Vec<Change> {
    let mut changes = Vec::new();
    diff_kind(&from.zones, &to.zones, &mut changes);
    diff_kind(&from.pools, &to.pools, &mut changes);
    diff_kind(&from.services, &to.services, &mut changes);
    changes
}

fn diff_kind<T: Named + PartialEq>(from: &[T], to: &[T], changes: &mut Vec<Change>) {
    let mut push = |change: ChangeKind, it: &T| {
        changes.push(Change { change, object: format!("{}/{}", T::KIND, it.name()) });
    };
    for it in from {
        match find(to, it.name()) {
            None => push(ChangeKind::Removed, it),
            Some(other) if other != it => push(ChangeKind::Changed, it),
            Some(_) => {}
        }
    }
    for it in to.iter().filter(|it| find(from, it.name()).is_none()) {
        push(ChangeKind::Added, it);
    }
}
