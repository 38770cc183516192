//! The burn report as one page without references to anything outside it.

use pomelorun::BurnReport;
use pomelorun_config::Service;

use crate::burn::{
    Burn,
    plot::{Span, colour, draw},
    rate::{Goal, GoalBurn, ServiceRates, Severity, Spender, span},
    text::severity,
};

const STYLE: &str = include_str!("page.css");
/// Hosts that are listed for each objective.
const LISTED: usize = 10;

pub(crate) fn render(burn: &Burn, services: &[Service], hosts: &[BurnReport]) -> String {
    let mut body = String::from("<h1>Service-level burn</h1>");
    body.push_str(&format!("<p class=scope>{}</p>", escape(&burn.scope())));
    if !burn.unreachable.is_empty() {
        let missing: Vec<String> = burn.unreachable.iter().map(|it| escape(it)).collect();
        body.push_str(&format!("<p class=page>No answer: {}</p>", missing.join("; ")));
    }
    body.push_str(&overview(burn));
    for (it, object) in burn.services.iter().zip(services) {
        body.push_str(&section(it, object, hosts));
    }
    body.push_str(
        "<p class=scope>A burn rate of 1 spends the budget exactly over its window. Page: above \
         14.4 over 1 h and 5 m, or above 6 over 6 h and 30 m. Ticket: above 1 over 3 d and 6 h. \
         Budget left is that of the time known.</p>",
    );
    format!(
        "<!doctype html><html lang=en><head><meta charset=utf-8>\
         <meta name=viewport content=\"width=device-width,initial-scale=1\">\
         <title>Service-level burn</title><style>{STYLE}</style></head><body>{body}</body></html>"
    )
}

fn overview(burn: &Burn) -> String {
    let heads: String = Goal::ALL.iter().map(|it| format!("<th>{}</th>", it.name())).collect();
    let mut rows = String::new();
    for it in &burn.services {
        let worst = it.goals.iter().map(|it| it.severity).max().unwrap_or(Severity::Ok);
        let left: String = it
            .goals
            .iter()
            .map(|it| format!("<td class=n>{}</td>", percent(it.budget_left)))
            .collect();
        rows.push_str(&format!(
            "<tr><td><a href=\"#{0}\">{0}</a></td><td>{1}</td>{left}</tr>",
            escape(&it.service),
            badge(worst)
        ));
    }
    format!(
        "<h2>Budget left</h2><table><tr><th>service</th><th>state</th>{heads}</tr>{rows}</table>"
    )
}

fn section(it: &ServiceRates, object: &Service, hosts: &[BurnReport]) -> String {
    let name = escape(&it.service);
    let mut text = format!("<section id=\"{name}\"><h2>{name}</h2>");
    for note in &it.notes {
        text.push_str(&format!("<p class=ticket>{}</p>", escape(note)));
    }
    text.push_str(&rates(it));
    text.push_str(&plots(object, hosts));
    text.push_str("<div class=pair>");
    text.push_str(&spent("Spent by zone", it, |it| &it.zones));
    text.push_str(&spent("Spent by host", it, |it| &it.hosts));
    text.push_str("</div></section>");
    text
}

fn rates(it: &ServiceRates) -> String {
    let windows = it.goals.first().map_or(&[][..], |it| &it.windows);
    let heads: String = windows.iter().map(|it| format!("<th>{}</th>", span(it.minutes))).collect();
    let mut rows = String::new();
    for it in &it.goals {
        let cells: String = it
            .windows
            .iter()
            .map(|w| {
                format!(
                    "<td class=n title=\"{} of {}, {} known\">{:.2}</td>",
                    w.bad,
                    w.total,
                    span(w.known_minutes),
                    w.rate
                )
            })
            .collect();
        rows.push_str(&format!(
            "<tr><td>{} {}</td><td class=n>{}%</td><td title=\"{}\">{}</td>{cells}\
             <td class=n>{}</td></tr>",
            swatch(it.goal),
            it.goal.name(),
            target(it.target),
            escape(&it.because),
            badge(it.severity),
            percent(it.budget_left)
        ));
    }
    let known = it.goals.first().map_or(0, |it| it.budget_known_minutes);
    format!(
        "<table><tr><th>objective</th><th>target</th><th>state</th>{heads}<th>budget left</th></tr>\
         {rows}</table><p class=scope>Burn rate by window; {} of the budget's {} are known.</p>",
        span(known),
        span(it.window_hours.saturating_mul(60))
    )
}

fn plots(object: &Service, hosts: &[BurnReport]) -> String {
    let drawn: String = [Span::Hour, Span::Days]
        .into_iter()
        .filter_map(|it| {
            let svg = draw(object, hosts, it)?;
            Some(format!("<figure><figcaption>{}</figcaption>{svg}</figure>", it.title()))
        })
        .collect();
    if drawn.is_empty() {
        return "<p class=scope>No plot: no host knows a whole minute yet.</p>".to_owned();
    }
    format!("<div class=pair>{drawn}</div>")
}

fn spent(title: &str, it: &ServiceRates, of: fn(&GoalBurn) -> &[Spender]) -> String {
    let mut rows = String::new();
    for goal in &it.goals {
        for (at, it) in of(goal).iter().take(LISTED).enumerate() {
            let goal = if at == 0 {
                format!("{} {}", swatch(goal.goal), goal.goal.name())
            } else {
                String::new()
            };
            let width = (it.share * 100.0).round();
            rows.push_str(&format!(
                "<tr><td>{goal}</td><td>{}</td><td class=n>{}</td><td class=n>{}</td>\
                 <td class=bar><span style=\"width:{width}%\"></span></td>\
                 <td class=n>{width}%</td></tr>",
                escape(&it.name),
                it.bad,
                it.total
            ));
        }
    }
    if rows.is_empty() {
        return format!("<div><h3>{title}</h3><p class=scope>Nothing spent.</p></div>");
    }
    format!(
        "<div><h3>{title}</h3><table><tr><th>objective</th><th>name</th><th>bad</th><th>of</th>\
         <th colspan=2>share</th></tr>{rows}</table></div>"
    )
}

fn swatch(goal: Goal) -> String {
    let it = colour(goal);
    format!("<i style=\"background:rgb({},{},{})\"></i>", it.0, it.1, it.2)
}

fn badge(it: Severity) -> String {
    let name = severity(it);
    format!("<b class={name}>{name}</b>")
}

fn percent(share: f64) -> String {
    format!("{:.1}%", share * 100.0)
}

/// A target in percent without trailing zeros.
fn target(share: f64) -> String {
    let text = format!("{:.4}", share * 100.0);
    text.trim_end_matches('0').trim_end_matches('.').to_owned()
}

pub(crate) fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('"', "&quot;")
}
