//! Records of requests, so that no non-idempotent request is forwarded twice.

use pomelorun_wire::{RecordEntry, RecordKey, RecordState};

use crate::time::Millis;

/// One recorded request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Record {
    /// Identifies the request.
    pub key: RecordKey,
    /// State of the request.
    pub state: RecordState,
    /// The request may run more than once; its record only prevents a refusal from claiming that it
    /// has not run.
    pub idempotent: bool,
    /// Time at which the record may be removed.
    pub expires_at: Millis,
}

/// The recorded requests of one upstream, sorted by key.
#[derive(Debug, Clone, Default)]
pub struct Records {
    entries: Vec<Record>,
}

impl Records {
    /// Returns the record of a request, if any.
    pub fn get(&self, key: &RecordKey) -> Option<&Record> {
        let at = self.entries.binary_search_by_key(key, |it| it.key).ok()?;
        Some(&self.entries[at])
    }

    /// Inserts or replaces a record.
    pub fn insert(&mut self, record: Record) {
        match self.entries.binary_search_by_key(&record.key, |it| it.key) {
            Ok(at) => self.entries[at] = record,
            Err(at) => self.entries.insert(at, record),
        }
    }

    /// Removes the record of a non-idempotent request that was started but has certainly not run.
    pub fn remove_started(&mut self, key: &RecordKey) {
        if let Ok(at) = self.entries.binary_search_by_key(key, |it| it.key)
            && !self.entries[at].idempotent
            && self.entries[at].state == RecordState::Started
        {
            self.entries.remove(at);
        }
    }

    /// Removes expired records.
    pub fn remove_expired(&mut self, now: Millis) {
        self.entries.retain(|it| it.expires_at > now);
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns `true` if there are no records.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the records that another primary needs: all but those of idempotent requests that
    /// ran.
    pub fn export(&self, now: Millis) -> Vec<RecordEntry> {
        self.entries
            .iter()
            .filter(|it| !it.idempotent || it.state == RecordState::NotRun)
            .map(|it| it.to_entry(now))
            .collect()
    }

    /// Merges the records of another host; "not run" never replaces another state.
    pub fn import(&mut self, now: Millis, entries: &[RecordEntry]) {
        for it in entries {
            if it.state != RecordState::NotRun || self.get(&it.key).is_none() {
                self.insert(Record::from_entry(now, it));
            }
        }
    }
}

impl Record {
    /// Creates a record from a message of another host.
    pub fn from_entry(now: Millis, it: &RecordEntry) -> Record {
        Record {
            key: it.key,
            state: it.state,
            idempotent: it.idempotent,
            expires_at: now + Millis(u64::from(it.ttl_ms)),
        }
    }

    /// Returns the record as it is sent to another host.
    pub fn to_entry(&self, now: Millis) -> RecordEntry {
        RecordEntry {
            key: self.key,
            state: self.state,
            idempotent: self.idempotent,
            ttl_ms: u32::try_from(self.expires_at.since(now).0).unwrap_or(u32::MAX),
        }
    }
}
