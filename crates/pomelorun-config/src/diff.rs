//! What changes between two sets.

use serde::Serialize;

use crate::object::{Named, ObjectSet, find};

/// How an object changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeKind {
    /// It is new.
    Added,
    /// It is gone.
    Removed,
    /// It stays but differs.
    Changed,
}

/// One object that changes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Change {
    /// How it changes.
    pub change: ChangeKind,
    /// The object's kind and name, such as `Service/mesa`.
    pub object: String,
}

/// Lists the objects that change from one set to another, by kind and name.
pub fn diff(from: &ObjectSet, to: &ObjectSet) -> Vec<Change> {
    let mut changes = Vec::new();
    diff_kind(&from.zones, &to.zones, &mut changes);
    diff_kind(&from.pools, &to.pools, &mut changes);
    diff_kind(&from.services, &to.services, &mut changes);
    changes
}

fn diff_kind<T: Named + PartialEq>(from: &[T], to: &[T], changes: &mut Vec<Change>) {
    let mut note = |change: ChangeKind, it: &T| {
        changes.push(Change { change, object: format!("{}/{}", T::KIND, it.name()) });
    };
    for it in from {
        match find(to, it.name()) {
            None => note(ChangeKind::Removed, it),
            Some(other) if other != it => note(ChangeKind::Changed, it),
            Some(_) => {}
        }
    }
    for it in to.iter().filter(|it| find(from, it.name()).is_none()) {
        note(ChangeKind::Added, it);
    }
}
