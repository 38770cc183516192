//! Records of non-idempotent requests, so that none is forwarded twice.

use pomelorun_wire::{RecordEntry, RecordKey, RecordState};

use crate::time::Millis;

/// One recorded request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Record {
    /// Which request.
    pub key: RecordKey,
    /// How far it has come.
    pub state: RecordState,
    /// It may run more than once; kept so that no refusal claims that it has not run.
    pub idempotent: bool,
    /// When it may be forgotten.
    pub expires_at: Millis,
}

/// The recorded requests of one upstream, sorted by key.
#[derive(Debug, Clone, Default)]
pub struct Records {
    entries: Vec<Record>,
}

impl Records {
    /// Finds a record.
    pub fn get(&self, key: &RecordKey) -> Option<&Record> {
        let at = self.entries.binary_search_by_key(key, |it| it.key).ok()?;
        Some(&self.entries[at])
    }

    /// Adds or replaces a record.
    pub fn insert(&mut self, record: Record) {
        match self.entries.binary_search_by_key(&record.key, |it| it.key) {
            Ok(at) => self.entries[at] = record,
            Err(at) => self.entries.insert(at, record),
        }
    }

    /// Forgets a non-idempotent request that was started and has certainly not run.
    pub fn remove_started(&mut self, key: &RecordKey) {
        if let Ok(at) = self.entries.binary_search_by_key(key, |it| it.key)
            && !self.entries[at].idempotent
            && self.entries[at].state == RecordState::Started
        {
            self.entries.remove(at);
        }
    }

    /// Forgets what is past its time.
    pub fn remove_expired(&mut self, now: Millis) {
        self.entries.retain(|it| it.expires_at > now);
    }

    /// Number of records.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Tells whether there are none.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Lists what another primary has to know: all but idempotent requests that ran.
    pub fn export(&self, now: Millis) -> Vec<RecordEntry> {
        self.entries
            .iter()
            .filter(|it| !it.idempotent || it.state == RecordState::NotRun)
            .map(|it| it.to_entry(now))
            .collect()
    }

    /// Adds the records of another host; what may have run is not replaced by "not run".
    pub fn import(&mut self, now: Millis, entries: &[RecordEntry]) {
        for it in entries {
            if it.state != RecordState::NotRun || self.get(&it.key).is_none() {
                self.insert(Record::from_entry(now, it));
            }
        }
    }
}

impl Record {
    /// Reads a record as another host sends it.
    pub fn from_entry(now: Millis, it: &RecordEntry) -> Record {
        Record {
            key: it.key,
            state: it.state,
            idempotent: it.idempotent,
            expires_at: now + Millis(u64::from(it.ttl_ms)),
        }
    }

    /// Writes a record as it is sent to another host.
    pub fn to_entry(&self, now: Millis) -> RecordEntry {
        RecordEntry {
            key: self.key,
            state: self.state,
            idempotent: self.idempotent,
            ttl_ms: u32::try_from(self.expires_at.since(now).0).unwrap_or(u32::MAX),
        }
    }
}
