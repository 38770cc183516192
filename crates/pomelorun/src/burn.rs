//! Outcomes by service over the last minutes, hours and days, kept in memory.
//!
//! Three rings of ever longer cells: 60 of a minute, 144 of half an hour, 120 of six hours. A cell
//! holds only the services that had an outcome in it, [`CELL_ENTRY_BYTES`] each, so 960 busy services
//! hold at most 324 · 960 · 36 bytes, 11 MB, and twice that with the spare capacity of vectors. A
//! restart of the process loses all of it.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use pomelorun_core::Outcomes;
use pomelorun_wire::ServiceAddr;
use serde::{Deserialize, Serialize};

use crate::report::ServiceTotals;

/// Windows over which outcomes are reported, minutes.
pub const WINDOWS_MINUTES: [u32; 6] = [5, 30, 60, 6 * 60, 3 * 24 * 60, 30 * 24 * 60];

/// Time between two cells of the finest ring.
pub(crate) const MINUTE: Duration = Duration::from_secs(60);

/// Bytes of one service in one cell.
pub const CELL_ENTRY_BYTES: usize = size_of::<(ServiceAddr, Small)>();

type Small = [u32; Outcomes::LEN];
/// Sorted by address.
type Cell = Vec<(ServiceAddr, Small)>;

#[derive(Debug, Clone)]
struct Ring {
    /// Length of a cell, minutes.
    minutes: u32,
    most: usize,
    open: Cell,
    open_minutes: u32,
    /// Newest first.
    closed: VecDeque<Arc<Cell>>,
}

impl Ring {
    fn new(minutes: u32, most: usize) -> Ring {
        Ring { minutes, most, open: Cell::new(), open_minutes: 0, closed: VecDeque::new() }
    }

    /// Adds a finished cell of the finer ring; returns this ring's cell once it is full.
    fn add(&mut self, cell: &Arc<Cell>, minutes: u32) -> Option<Arc<Cell>> {
        self.open_minutes += minutes;
        let full = if self.open_minutes < self.minutes {
            merge(&mut self.open, cell);
            return None;
        } else if self.open.is_empty() {
            Arc::clone(cell)
        } else {
            merge(&mut self.open, cell);
            Arc::new(std::mem::take(&mut self.open))
        };
        self.open_minutes = 0;
        self.closed.push_front(Arc::clone(&full));
        self.closed.truncate(self.most);
        Some(full)
    }

    fn covers(&self) -> u32 {
        self.minutes * self.most as u32
    }
}

fn merge(into: &mut Cell, from: &Cell) {
    for (service, counts) in from {
        match into.binary_search_by_key(service, |it| it.0) {
            Ok(at) => {
                let sums = into[at].1.iter_mut().zip(counts);
                sums.for_each(|(sum, it)| *sum = sum.saturating_add(*it));
            }
            Err(at) => into.insert(at, (*service, *counts)),
        }
    }
}

/// The rings of one host.
#[derive(Debug, Clone)]
pub struct BurnHistory {
    /// Totals at the end of the last cell, sorted by address.
    last: Vec<(ServiceAddr, Outcomes)>,
    rings: [Ring; 3],
}

impl Default for BurnHistory {
    fn default() -> BurnHistory {
        let rings = [Ring::new(1, 60), Ring::new(30, 144), Ring::new(360, 120)];
        BurnHistory { last: Vec::new(), rings }
    }
}

impl BurnHistory {
    /// Ends a minute; `totals` are the outcomes since the start, sorted by address.
    pub fn end_minute(&mut self, totals: &[(ServiceAddr, Outcomes)]) {
        let mut cell = Arc::new(self.since_last(totals));
        self.last = totals.to_vec();
        let mut minutes = 1;
        for ring in &mut self.rings {
            let Some(full) = ring.add(&cell, minutes) else { return };
            cell = full;
            minutes = ring.minutes;
        }
    }

    /// Outcomes of the newest `minutes` and of the minute in progress, sorted by address, and the
    /// whole minutes that they cover.
    ///
    /// A window is cut to whole cells of the finest ring that is long enough, so it is never longer
    /// than asked for.
    pub fn window(
        &self,
        totals: &[(ServiceAddr, Outcomes)],
        minutes: u32,
    ) -> (u32, Vec<(ServiceAddr, Outcomes)>) {
        let fits = self.rings.iter().position(|it| it.covers() >= minutes);
        let chosen = fits.unwrap_or(self.rings.len() - 1);
        let mut sum = self.since_last(totals);
        let mut known = 0;
        // What the coarser ring has not closed yet lies in the open cells of the ones before it.
        for ring in &self.rings[..=chosen] {
            merge(&mut sum, &ring.open);
            known += ring.open_minutes;
        }
        let ring = &self.rings[chosen];
        for cell in ring.closed.iter().take((minutes.saturating_sub(known) / ring.minutes) as usize)
        {
            merge(&mut sum, cell);
            known += ring.minutes;
        }
        let wide = |it: Small| Outcomes::from_array(it.map(u64::from));
        (known, sum.into_iter().map(|(service, it)| (service, wide(it))).collect())
    }

    /// Outcomes of one service by cell of the last hour, newest first.
    pub fn last_hour(&self, service: ServiceAddr) -> Vec<[u32; Outcomes::LEN]> {
        cells_of(&self.rings[0], service)
    }

    /// Outcomes of one service by half hour of the last three days, newest first.
    pub fn last_three_days(&self, service: ServiceAddr) -> Vec<[u32; Outcomes::LEN]> {
        cells_of(&self.rings[1], service)
    }

    /// Bytes held by the closed cells and the open ones.
    pub fn bytes(&self) -> usize {
        let closed = self.rings.iter().flat_map(|it| &it.closed).map(|it| it.capacity());
        let open = self.rings.iter().map(|it| it.open.capacity());
        closed.chain(open).sum::<usize>() * CELL_ENTRY_BYTES
    }

    fn since_last(&self, totals: &[(ServiceAddr, Outcomes)]) -> Cell {
        let mut cell = Cell::new();
        for (service, now) in totals {
            let found = self.last.binary_search_by_key(service, |it| it.0);
            let before = found.map_or(Outcomes::default(), |at| self.last[at].1);
            let (now, before) = (now.to_array(), before.to_array());
            // A service that left the configuration and came back counts from zero again.
            let restarted = now.iter().zip(&before).any(|(now, before)| now < before);
            let mut counts = [0; Outcomes::LEN];
            for (at, it) in counts.iter_mut().enumerate() {
                let grown = now[at] - if restarted { 0 } else { before[at] };
                *it = u32::try_from(grown).unwrap_or(u32::MAX);
            }
            if counts != [0; Outcomes::LEN] {
                cell.push((*service, counts));
            }
        }
        cell
    }
}

fn cells_of(ring: &Ring, service: ServiceAddr) -> Vec<Small> {
    let find = |cell: &Cell| {
        let found = cell.binary_search_by_key(&service, |it| it.0);
        found.map_or([0; Outcomes::LEN], |at| cell[at].1)
    };
    ring.closed.iter().map(|it| find(it)).collect()
}

/// What a host answers about service-level burn.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct BurnReport {
    /// Name of the host.
    pub host: String,
    /// Its availability zone.
    pub zone: String,
    /// Revision in force.
    pub revision: u64,
    /// Services in force.
    pub services: Vec<ServiceBurn>,
}

/// Outcomes of one service at one host.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ServiceBurn {
    /// Name of the service.
    pub service: String,
    /// Bound by which answers in time are told, milliseconds.
    pub answer_within_ms: u64,
    /// Outcomes by window, in the order of [`WINDOWS_MINUTES`].
    pub windows: Vec<WindowOutcomes>,
    /// Outcomes by minute of the last hour, newest first; empty where not asked for.
    #[serde(default)]
    pub hour: Vec<[u32; Outcomes::LEN]>,
    /// Outcomes by half hour of the last three days, newest first; empty where not asked for.
    #[serde(default)]
    pub days: Vec<[u32; Outcomes::LEN]>,
}

/// Outcomes over one window.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct WindowOutcomes {
    /// Length asked for, minutes.
    pub minutes: u32,
    /// Whole minutes known of it; the minute in progress is counted besides.
    pub known_minutes: u32,
    /// Opened, broken, given up, answered, in time, refused, unknown.
    pub outcomes: [u64; Outcomes::LEN],
}

/// Whether the cells of a report are wanted besides the sums.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BurnDetail {
    /// Sums only.
    Totals,
    /// The last hour and the last three days.
    Cells,
}

/// What a call for a report may ask.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub(crate) struct BurnQuery {
    /// Whether cells are wanted besides the sums.
    #[serde(default)]
    cells: bool,
}

impl BurnQuery {
    pub(crate) fn cells(&self) -> BurnDetail {
        if self.cells { BurnDetail::Cells } else { BurnDetail::Totals }
    }
}

/// Fills in what the rings hold of the services in force.
pub fn burn_by_service(
    history: &BurnHistory,
    services: &[ServiceTotals],
    cells: BurnDetail,
) -> Vec<ServiceBurn> {
    let totals = totals_of(services);
    let windows: Vec<_> =
        WINDOWS_MINUTES.iter().map(|&it| (it, history.window(&totals, it))).collect();
    let outcomes = |sums: &[(ServiceAddr, Outcomes)], addr| {
        let found = sums.binary_search_by_key(&addr, |it| it.0);
        found.map_or(Outcomes::default(), |at| sums[at].1).to_array()
    };
    services
        .iter()
        .map(|it| ServiceBurn {
            service: it.name.clone(),
            answer_within_ms: it.answer_within_ms,
            windows: windows
                .iter()
                .map(|(minutes, (known_minutes, sums))| WindowOutcomes {
                    minutes: *minutes,
                    known_minutes: *known_minutes,
                    outcomes: outcomes(sums, it.addr),
                })
                .collect(),
            hour: if cells == BurnDetail::Cells { history.last_hour(it.addr) } else { Vec::new() },
            days: if cells == BurnDetail::Cells {
                history.last_three_days(it.addr)
            } else {
                Vec::new()
            },
        })
        .collect()
}

/// The totals as the rings take them.
pub(crate) fn totals_of(services: &[ServiceTotals]) -> Vec<(ServiceAddr, Outcomes)> {
    services.iter().map(|it| (it.addr, it.outcomes)).collect()
}

/// The rings, shared by the one who ends minutes and the one who answers.
///
/// The lock is held to push a cell or to copy the pointers to all of them.
#[derive(Debug, Clone, Default)]
pub(crate) struct SharedBurn(Arc<Mutex<BurnHistory>>);

impl SharedBurn {
    pub(crate) fn lock(&self) -> MutexGuard<'_, BurnHistory> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
