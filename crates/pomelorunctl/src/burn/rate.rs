//! Burn rates: how fast the error budget of an objective is spent.

use pomelorun::{BurnReport, WINDOWS_MINUTES};
use pomelorun_config::{Objectives, Service};
use pomelorun_core::Outcomes;
use serde::Serialize;

/// Pairs of windows that must both burn faster than the factor, minutes.
///
/// The long window tells that the loss is significant, the short one that it goes on.
const ALERTS: [Alert; 3] = [
    Alert { severity: Severity::Page, long: 60, short: 5, factor: 14.4 },
    Alert { severity: Severity::Page, long: 6 * 60, short: 30, factor: 6.0 },
    Alert { severity: Severity::Ticket, long: 3 * 24 * 60, short: 6 * 60, factor: 1.0 },
];

struct Alert {
    severity: Severity,
    long: u32,
    short: u32,
    factor: f64,
}

/// How soon someone should look.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Severity {
    Ok,
    /// Within days.
    Ticket,
    /// Now.
    Page,
}

/// What an objective bounds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Goal {
    FlowsKept,
    AnsweredInTime,
    NotRefused,
}

impl Goal {
    pub(crate) const ALL: [Goal; 3] = [Goal::FlowsKept, Goal::AnsweredInTime, Goal::NotRefused];

    pub(crate) fn name(self) -> &'static str {
        match self {
            Goal::FlowsKept => "flows kept",
            Goal::AnsweredInTime => "answered in time",
            Goal::NotRefused => "not refused",
        }
    }

    pub(crate) fn target(self, objectives: &Objectives) -> f64 {
        match self {
            Goal::FlowsKept => objectives.flows_kept,
            Goal::AnsweredInTime => objectives.answered_in_time,
            Goal::NotRefused => objectives.not_refused,
        }
    }

    /// Events that missed the objective and all events that it is about.
    pub(crate) fn tally(self, it: Outcomes) -> Tally {
        let (bad, total) = match self {
            Goal::FlowsKept => (it.broken, it.opened + it.broken),
            Goal::AnsweredInTime => {
                (it.answered - it.in_time.min(it.answered) + it.unknown, it.answered + it.unknown)
            }
            Goal::NotRefused => (it.refused, it.answered + it.unknown + it.refused),
        };
        Tally { bad, total }
    }
}

/// Events that missed an objective, and all.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub(crate) struct Tally {
    pub(crate) bad: u64,
    pub(crate) total: u64,
}

impl Tally {
    /// Share of bad events against the share that the objective allows; one spends the budget
    /// exactly over its window.
    pub(crate) fn rate(self, target: f64) -> f64 {
        if self.total == 0 {
            return 0.0;
        }
        self.bad as f64 / self.total as f64 / (1.0 - target)
    }
}

/// Burn over one window.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) struct WindowBurn {
    /// Length asked for, minutes.
    pub(crate) minutes: u32,
    /// Whole minutes that the host with the longest history knows of it.
    pub(crate) known_minutes: u32,
    pub(crate) bad: u64,
    pub(crate) total: u64,
    pub(crate) rate: f64,
}

/// Part of the bad events of the budget's window that one host or zone gave.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) struct Spender {
    pub(crate) name: String,
    pub(crate) bad: u64,
    pub(crate) total: u64,
    /// Share of all bad events.
    pub(crate) share: f64,
}

/// Burn of one objective of one service.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) struct GoalBurn {
    pub(crate) goal: Goal,
    pub(crate) target: f64,
    pub(crate) severity: Severity,
    /// The pair of windows that gave the severity, empty for none.
    pub(crate) because: String,
    /// Share of the budget that is left for the time known, below zero when overspent.
    pub(crate) budget_left: f64,
    /// Minutes of the budget's window that are known.
    pub(crate) budget_known_minutes: u32,
    pub(crate) windows: Vec<WindowBurn>,
    /// Hosts that spend it, the largest first.
    pub(crate) hosts: Vec<Spender>,
    /// Availability zones that spend it, the largest first.
    pub(crate) zones: Vec<Spender>,
}

/// Burn of one service.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) struct ServiceRates {
    pub(crate) service: String,
    /// Budget window of its objectives, hours.
    pub(crate) window_hours: u32,
    pub(crate) goals: Vec<GoalBurn>,
    /// What limits the figures, for people.
    pub(crate) notes: Vec<String>,
}

/// Computes the burn of a service from what the hosts answered.
pub(crate) fn rates(service: &Service, hosts: &[BurnReport]) -> ServiceRates {
    let goals = Goal::ALL.iter().map(|&it| goal(it, service, hosts)).collect();
    ServiceRates {
        service: service.name.clone(),
        window_hours: service.objectives.window_hours,
        goals,
        notes: notes(service, hosts),
    }
}

fn notes(service: &Service, hosts: &[BurnReport]) -> Vec<String> {
    let mut notes = Vec::new();
    let bound = service.objectives.answer_within_ms;
    for host in hosts {
        match host.services.iter().find(|it| it.service == service.name) {
            None => notes.push(format!("not in force on {}", host.host)),
            Some(it) if it.answer_within_ms != bound => notes.push(format!(
                "{} measures answers against {} ms, the objects say {bound} ms",
                host.host, it.answer_within_ms
            )),
            Some(_) => {}
        }
    }
    notes
}

/// Outcomes of a service at a host over the window at a position of [`WINDOWS_MINUTES`].
fn outcomes(host: &BurnReport, service: &str, at: usize) -> (u32, Outcomes) {
    let found = host.services.iter().find(|it| it.service == service);
    let window = found.and_then(|it| it.windows.get(at));
    window.map_or((0, Outcomes::default()), |it| {
        (it.known_minutes, Outcomes::from_array(it.outcomes))
    })
}

fn goal(goal: Goal, service: &Service, hosts: &[BurnReport]) -> GoalBurn {
    let target = goal.target(&service.objectives);
    let window = |at: usize| {
        let (mut known_minutes, mut sum) = (0, Tally::default());
        for host in hosts {
            let (known, outcomes) = outcomes(host, &service.name, at);
            let tally = goal.tally(outcomes);
            known_minutes = known_minutes.max(known);
            sum = Tally { bad: sum.bad + tally.bad, total: sum.total + tally.total };
        }
        let Tally { bad, total } = sum;
        WindowBurn {
            minutes: WINDOWS_MINUTES[at],
            known_minutes,
            bad,
            total,
            rate: sum.rate(target),
        }
    };
    let windows: Vec<WindowBurn> = (0..WINDOWS_MINUTES.len()).map(window).collect();
    let (severity, because) = judge(&windows);
    let budget = budget_window(service.objectives.window_hours);
    let spent = &windows[budget];
    let by = |name: &dyn Fn(&BurnReport) -> String| {
        spenders(hosts, spent.bad, name, &|host| {
            goal.tally(outcomes(host, &service.name, budget).1)
        })
    };
    GoalBurn {
        goal,
        target,
        severity,
        because,
        budget_left: 1.0 - spent.rate,
        budget_known_minutes: spent.known_minutes,
        hosts: by(&|it| it.host.clone()),
        zones: by(&|it| it.zone.clone()),
        windows,
    }
}

/// Position of the longest window that is not longer than the budget's.
fn budget_window(hours: u32) -> usize {
    let minutes = hours.saturating_mul(60);
    WINDOWS_MINUTES.iter().rposition(|&it| it <= minutes).unwrap_or(0)
}

fn judge(windows: &[WindowBurn]) -> (Severity, String) {
    let rate = |minutes| windows.iter().find(|it| it.minutes == minutes).map_or(0.0, |it| it.rate);
    for it in ALERTS {
        if rate(it.long) > it.factor && rate(it.short) > it.factor {
            let (long, short) = (span(it.long), span(it.short));
            let because = format!("above {} over {long} and {short}", it.factor);
            return (it.severity, because);
        }
    }
    (Severity::Ok, String::new())
}

fn spenders(
    hosts: &[BurnReport],
    bad: u64,
    name: &dyn Fn(&BurnReport) -> String,
    tally: &dyn Fn(&BurnReport) -> Tally,
) -> Vec<Spender> {
    let mut found: Vec<Spender> = Vec::new();
    for host in hosts {
        let (name, tally) = (name(host), tally(host));
        match found.iter_mut().find(|it| it.name == name) {
            Some(it) => {
                it.bad += tally.bad;
                it.total += tally.total;
            }
            None => found.push(Spender { name, bad: tally.bad, total: tally.total, share: 0.0 }),
        }
    }
    found.retain(|it| it.bad > 0);
    for it in &mut found {
        it.share = it.bad as f64 / bad.max(1) as f64;
    }
    found.sort_by(|a, b| b.bad.cmp(&a.bad).then_with(|| a.name.cmp(&b.name)));
    found
}

/// A number of minutes, short, for people.
pub(crate) fn span(minutes: u32) -> String {
    match minutes {
        0..60 => format!("{minutes} m"),
        60..1_440 if minutes.is_multiple_of(60) => format!("{} h", minutes / 60),
        60..1_440 => format!("{} h {} m", minutes / 60, minutes % 60),
        _ if minutes.is_multiple_of(1_440) => format!("{} d", minutes / 1_440),
        _ => format!("{} d {} h", minutes / 1_440, minutes % 1_440 / 60),
    }
}
