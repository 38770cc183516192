//! The burn report as text.

use crate::burn::{
    Burn,
    rate::{GoalBurn, Severity, Spender, span},
};

/// Spenders that are named for each objective.
const NAMED: usize = 3;

pub(crate) fn render(burn: &Burn) -> String {
    let mut lines = Vec::new();
    for service in &burn.services {
        lines.push(service.service.clone());
        for it in &service.goals {
            lines.push(goal(it));
            if let Some(it) = spenders(it) {
                lines.push(it);
            }
        }
        lines.extend(service.notes.iter().map(|it| format!("  note: {it}")));
    }
    lines.push(String::new());
    lines.push(burn.scope());
    lines.join("\n")
}

fn goal(it: &GoalBurn) -> String {
    let rates: Vec<String> =
        it.windows.iter().map(|w| format!("{} {:.2}", span(w.minutes), w.rate)).collect();
    let mut line = format!(
        "  {:<16} {:<6} budget left {:>7.1}%  burn {}",
        it.goal.name(),
        severity(it.severity),
        it.budget_left * 100.0,
        rates.join(", ")
    );
    if !it.because.is_empty() {
        line.push_str(&format!(" ({})", it.because));
    }
    line
}

fn spenders(it: &GoalBurn) -> Option<String> {
    let list = |of: &[Spender]| {
        let named: Vec<String> = of
            .iter()
            .take(NAMED)
            .map(|it| format!("{} {:.0}% ({} of {})", it.name, it.share * 100.0, it.bad, it.total))
            .collect();
        named.join(", ")
    };
    if it.hosts.is_empty() {
        return None;
    }
    Some(format!("    spent by zones {}; by hosts {}", list(&it.zones), list(&it.hosts)))
}

pub(crate) fn severity(it: Severity) -> &'static str {
    match it {
        Severity::Ok => "ok",
        Severity::Ticket => "ticket",
        Severity::Page => "page",
    }
}
