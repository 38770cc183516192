//! Plots of burn over time as inline SVG.

use plotters::prelude::{
    ChartBuilder, Color, IntoDrawingArea, IntoFont, LineSeries, RGBColor, SVGBackend,
};
use pomelorun::{BurnReport, ServiceBurn};
use pomelorun_config::Service;
use pomelorun_core::Outcomes;

use crate::burn::rate::{Goal, Tally};

const SIZE: (u32, u32) = (620, 230);
/// Drawn in the page's text colour.
const TEXT: RGBColor = RGBColor(1, 1, 1);
const GRID: RGBColor = RGBColor(128, 128, 128);
/// Rate that spends the budget exactly over its window.
const EVEN: f64 = 1.0;

/// Colour of an objective in plots and legends.
pub(crate) fn colour(goal: Goal) -> RGBColor {
    match goal {
        Goal::FlowsKept => RGBColor(214, 69, 65),
        Goal::AnsweredInTime => RGBColor(47, 126, 216),
        Goal::NotRefused => RGBColor(212, 140, 0),
    }
}

/// The part of the history that a plot shows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Span {
    Hour,
    Days,
}

impl Span {
    pub(crate) fn title(self) -> &'static str {
        match self {
            Span::Hour => "last hour, by minute, mean of 5 minutes",
            Span::Days => "last 3 days, by half hour",
        }
    }

    fn cells(self, it: &ServiceBurn) -> &[[u32; Outcomes::LEN]] {
        match self {
            Span::Hour => &it.hour,
            Span::Days => &it.days,
        }
    }

    /// Length of a cell and of the whole plot in the unit of the axis, which is named.
    fn axis(self) -> (f64, f64, &'static str) {
        match self {
            Span::Hour => (1.0, 60.0, "minutes ago"),
            Span::Days => (0.5, 72.0, "hours ago"),
        }
    }

    /// Cells over which a point is the mean.
    fn smooth(self) -> usize {
        match self {
            Span::Hour => 5,
            Span::Days => 1,
        }
    }
}

/// Outcomes of a service over all hosts by cell, newest first.
fn cells(service: &str, hosts: &[BurnReport], span: Span) -> Vec<Outcomes> {
    let mut sums: Vec<[u64; Outcomes::LEN]> = Vec::new();
    let found = hosts.iter().flat_map(|it| &it.services).filter(|it| it.service == service);
    for it in found {
        let cells = span.cells(it);
        if sums.len() < cells.len() {
            sums.resize(cells.len(), [0; Outcomes::LEN]);
        }
        for (sum, cell) in sums.iter_mut().zip(cells) {
            sum.iter_mut().zip(cell).for_each(|(sum, it)| *sum += u64::from(*it));
        }
    }
    sums.into_iter().map(Outcomes::from_array).collect()
}

/// Burn rate by age, in the unit of the span's axis.
fn points(goal: Goal, target: f64, cells: &[Outcomes], span: Span) -> Vec<(f64, f64)> {
    let (cell, _, _) = span.axis();
    let tallies: Vec<Tally> = cells.iter().map(|it| goal.tally(*it)).collect();
    let mean = |at: usize| {
        let near = &tallies[at..tallies.len().min(at + span.smooth())];
        let sum = |of: fn(&Tally) -> u64| near.iter().map(of).sum();
        Tally { bad: sum(|it| it.bad), total: sum(|it| it.total) }
    };
    (0..tallies.len()).map(|at| (at as f64 * cell, mean(at).rate(target))).collect()
}

/// Draws the burn of a service's objectives; none where no cell is known yet.
pub(crate) fn draw(service: &Service, hosts: &[BurnReport], span: Span) -> Option<String> {
    let cells = cells(&service.name, hosts, span);
    if cells.is_empty() {
        return None;
    }
    let lines: Vec<(Goal, Vec<(f64, f64)>)> = Goal::ALL
        .iter()
        .map(|&it| (it, points(it, it.target(&service.objectives), &cells, span)))
        .collect();
    let highest = lines.iter().flat_map(|it| &it.1).map(|it| it.1).fold(EVEN, f64::max);
    let mut svg = String::new();
    chart(&mut svg, &lines, highest * 1.1, span).expect("a string takes every drawing");
    Some(adapt(&svg, &format!("Burn rate of {}, {}", service.name, span.title())))
}

type DrawError = plotters::drawing::DrawingAreaErrorKind<std::io::Error>;

fn chart(
    svg: &mut String,
    lines: &[(Goal, Vec<(f64, f64)>)],
    highest: f64,
    span: Span,
) -> Result<(), DrawError> {
    let (_, oldest, unit) = span.axis();
    let root = SVGBackend::with_string(svg, SIZE).into_drawing_area();
    let mut chart = ChartBuilder::on(&root)
        .margin(8)
        .margin_right(16)
        .x_label_area_size(38)
        .y_label_area_size(52)
        .build_cartesian_2d(-oldest..0.0, 0.0..highest)?;
    let font = ("sans-serif", 13).into_font().color(&TEXT);
    chart
        .configure_mesh()
        .disable_x_mesh()
        .light_line_style(GRID.mix(0.0))
        .bold_line_style(GRID.mix(0.25))
        .axis_style(GRID)
        .label_style(font.clone())
        .axis_desc_style(font)
        .x_labels(7)
        .y_labels(5)
        .x_label_formatter(&|it| format!("{:.0}", it.abs()))
        .y_label_formatter(&|it| short(*it))
        .x_desc(unit)
        .y_desc("burn rate")
        .draw()?;
    chart.draw_series(LineSeries::new([(-oldest, EVEN), (0.0, EVEN)], GRID.mix(0.9)))?;
    for (goal, points) in lines {
        let line = points.iter().map(|(age, rate)| (-age, *rate));
        chart.draw_series(LineSeries::new(line, colour(*goal).stroke_width(2)))?;
    }
    root.present()
}

fn short(rate: f64) -> String {
    if rate >= 10.0 { format!("{rate:.0}") } else { format!("{rate:.1}") }
}

/// Lets the drawing take its size and text colour from the page, and names it for readers that
/// cannot see it.
fn adapt(svg: &str, label: &str) -> String {
    let (width, height) = SIZE;
    let sized = format!("<svg width=\"{width}\" height=\"{height}\"");
    let named = format!("<svg role=\"img\" aria-label=\"{}\"", super::page::escape(label));
    svg.replacen(&sized, &named, 1).replace("\"#010101\"", "\"currentColor\"")
}
