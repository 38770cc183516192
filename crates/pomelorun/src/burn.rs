//! Burn history: the outcomes of each service over the last minutes, hours and days, in memory.
//!
//! A cell holds the outcomes of one time interval. Three rings have cells of increasing length: 60
//! of one minute, 144 of 30 minutes and 120 of six hours. A cell holds only the services that had
//! an outcome in its interval, [`CELL_ENTRY_BYTES`] each, so 960 busy services need at most
//! 324 · 960 · 36 bytes (11 MB), or twice that with the spare capacity of vectors. The history is
//! lost when the process restarts.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use pomelorun_core::Outcomes;
use pomelorun_wire::ServiceAddr;
use serde::{Deserialize, Serialize};

use crate::report::ServiceTotals;

/// Windows over which outcomes are reported, in minutes.
pub const WINDOWS_MINUTES: [u32; 6] = [5, 30, 60, 6 * 60, 3 * 24 * 60, 30 * 24 * 60];

/// Length of a cell of the finest ring.
pub(crate) const MINUTE: Duration = Duration::from_secs(60);

/// Size of one service's entry in a cell, in bytes.
pub const CELL_ENTRY_BYTES: usize = size_of::<(ServiceAddr, CellCounts)>();

/// Outcome counters of one service in one cell.
type CellCounts = [u32; Outcomes::LEN];
/// Outcomes of one interval, sorted by service address.
type Cell = Vec<(ServiceAddr, CellCounts)>;

#[derive(Debug, Clone)]
struct Ring {
    /// Length of a cell, in minutes.
    cell_minutes: u32,
    max_cells: usize,
    /// Cell whose interval is not over yet.
    partial: Cell,
    partial_minutes: u32,
    /// Complete cells, newest first.
    complete: VecDeque<Arc<Cell>>,
}

impl Ring {
    fn new(cell_minutes: u32, max_cells: usize) -> Ring {
        Ring {
            cell_minutes,
            max_cells,
            partial: Cell::new(),
            partial_minutes: 0,
            complete: VecDeque::new(),
        }
    }

    /// Adds a complete cell of the next finer ring; returns this ring's cell if it is now complete.
    fn push(&mut self, cell: &Arc<Cell>, minutes: u32) -> Option<Arc<Cell>> {
        self.partial_minutes += minutes;
        let full = if self.partial_minutes < self.cell_minutes {
            merge_cells(&mut self.partial, cell);
            return None;
        } else if self.partial.is_empty() {
            Arc::clone(cell)
        } else {
            merge_cells(&mut self.partial, cell);
            Arc::new(std::mem::take(&mut self.partial))
        };
        self.partial_minutes = 0;
        self.complete.push_front(Arc::clone(&full));
        self.complete.truncate(self.max_cells);
        Some(full)
    }

    fn span_minutes(&self) -> u32 {
        self.cell_minutes * self.max_cells as u32
    }
}

fn merge_cells(into: &mut Cell, from: &Cell) {
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

/// Burn history of one host.
#[derive(Debug, Clone)]
pub struct BurnHistory {
    /// Totals at the end of the last complete minute, sorted by address.
    last_totals: Vec<(ServiceAddr, Outcomes)>,
    rings: [Ring; 3],
}

impl Default for BurnHistory {
    fn default() -> BurnHistory {
        let rings = [Ring::new(1, 60), Ring::new(30, 144), Ring::new(360, 120)];
        BurnHistory { last_totals: Vec::new(), rings }
    }
}

impl BurnHistory {
    /// Completes the current minute; `totals` are the outcomes since the start, sorted by address.
    pub fn end_minute(&mut self, totals: &[(ServiceAddr, Outcomes)]) {
        let mut cell = Arc::new(self.since_last(totals));
        self.last_totals = totals.to_vec();
        let mut minutes = 1;
        for ring in &mut self.rings {
            let Some(full) = ring.push(&cell, minutes) else { return };
            cell = full;
            minutes = ring.cell_minutes;
        }
    }

    /// Returns how many complete minutes the window covers, and the outcomes of these minutes and
    /// of the current one, sorted by address.
    ///
    /// The window consists of whole cells of the finest ring that is long enough, so it may be
    /// shorter than `minutes` but never longer.
    pub fn window(
        &self,
        totals: &[(ServiceAddr, Outcomes)],
        minutes: u32,
    ) -> (u32, Vec<(ServiceAddr, Outcomes)>) {
        let fits = self.rings.iter().position(|it| it.span_minutes() >= minutes);
        let finest = fits.unwrap_or(self.rings.len() - 1);
        let mut sum = self.since_last(totals);
        let mut known = 0;
        // The newest outcomes are still in the partial cells of this ring and the finer ones.
        for ring in &self.rings[..=finest] {
            merge_cells(&mut sum, &ring.partial);
            known += ring.partial_minutes;
        }
        let ring = &self.rings[finest];
        for cell in
            ring.complete.iter().take((minutes.saturating_sub(known) / ring.cell_minutes) as usize)
        {
            merge_cells(&mut sum, cell);
            known += ring.cell_minutes;
        }
        let widen = |it: CellCounts| Outcomes::from_array(it.map(u64::from));
        (known, sum.into_iter().map(|(service, it)| (service, widen(it))).collect())
    }

    /// Returns the outcomes of a service in each minute of the last hour, newest first.
    pub fn last_hour(&self, service: ServiceAddr) -> Vec<[u32; Outcomes::LEN]> {
        service_cells(&self.rings[0], service)
    }

    /// Returns the outcomes of a service in each half hour of the last three days, newest first.
    pub fn last_three_days(&self, service: ServiceAddr) -> Vec<[u32; Outcomes::LEN]> {
        service_cells(&self.rings[1], service)
    }

    /// Returns the memory allocated for all cells, in bytes.
    pub fn bytes(&self) -> usize {
        let complete = self.rings.iter().flat_map(|it| &it.complete).map(|it| it.capacity());
        let partial = self.rings.iter().map(|it| it.partial.capacity());
        complete.chain(partial).sum::<usize>() * CELL_ENTRY_BYTES
    }

    fn since_last(&self, totals: &[(ServiceAddr, Outcomes)]) -> Cell {
        let mut cell = Cell::new();
        for (service, now) in totals {
            let found = self.last_totals.binary_search_by_key(service, |it| it.0);
            let before = found.map_or(Outcomes::default(), |at| self.last_totals[at].1);
            let (now, before) = (now.to_array(), before.to_array());
            // The totals of a service that was removed and added again restart at 0.
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

fn service_cells(ring: &Ring, service: ServiceAddr) -> Vec<CellCounts> {
    let find = |cell: &Cell| {
        let found = cell.binary_search_by_key(&service, |it| it.0);
        found.map_or([0; Outcomes::LEN], |at| cell[at].1)
    };
    ring.complete.iter().map(|it| find(it)).collect()
}

/// Burn report of a host, as served at `/v1/burn`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct BurnReport {
    /// Name of the host.
    pub host: String,
    /// Availability zone of the host.
    pub zone: String,
    /// Active revision.
    pub revision: u64,
    /// Services of the active revision.
    pub services: Vec<ServiceBurn>,
}

/// Outcomes of one service on one host.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ServiceBurn {
    /// Name of the service.
    pub service: String,
    /// Response time up to which a request counts as answered in time, in milliseconds.
    pub answer_within_ms: u64,
    /// Outcomes over each window, in the order of [`WINDOWS_MINUTES`].
    pub windows: Vec<WindowOutcomes>,
    /// Outcomes in each minute of the last hour, newest first; empty unless requested.
    #[serde(default)]
    pub hour: Vec<[u32; Outcomes::LEN]>,
    /// Outcomes in each half hour of the last three days, newest first; empty unless requested.
    #[serde(default)]
    pub days: Vec<[u32; Outcomes::LEN]>,
}

/// Outcomes over one window.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct WindowOutcomes {
    /// Length of the window, in minutes.
    pub minutes: u32,
    /// Complete minutes that are covered; the current minute is counted in addition.
    pub known_minutes: u32,
    /// Counters in the order opened, broken, given up, answered, in time, refused, unknown.
    pub outcomes: [u64; Outcomes::LEN],
}

/// Level of detail of a burn report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BurnDetail {
    /// Totals of the windows only.
    Totals,
    /// Also the cells of the last hour and the last three days.
    Cells,
}

/// Query parameters of `/v1/burn`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub(crate) struct BurnQuery {
    /// Whether the report includes cells in addition to the totals of the windows.
    #[serde(default)]
    cells: bool,
}

impl BurnQuery {
    pub(crate) fn cells(&self) -> BurnDetail {
        if self.cells { BurnDetail::Cells } else { BurnDetail::Totals }
    }
}

/// Returns the burn of each of `services`, from the history and the current totals.
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

/// Returns the totals of `services` in the form that [`BurnHistory`] takes.
pub(crate) fn totals_of(services: &[ServiceTotals]) -> Vec<(ServiceAddr, Outcomes)> {
    services.iter().map(|it| (it.addr, it.outcomes)).collect()
}

/// Burn history, shared between the task that completes minutes and the HTTP handlers.
///
/// The lock is held only to add a cell or to copy the pointers to all cells.
#[derive(Debug, Clone, Default)]
pub(crate) struct SharedBurn(Arc<Mutex<BurnHistory>>);

impl SharedBurn {
    pub(crate) fn lock(&self) -> MutexGuard<'_, BurnHistory> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
