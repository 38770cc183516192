//! How the cost of each role grows: the real core and the real codecs with synthetic members,
//! endpoints and flows.
//!
//! Each point is measured in a process of its own, so that memory is that point's alone; a line is
//! fitted through the points of a role and read off at the size of the target.

mod points;

use std::process::Command;

use serde::{Deserialize, Serialize};
use thiserror::Error;

pub use crate::slopes::points::measure_point;

const TARGET_HOSTS: f64 = 1_800.0;
const TARGET_ENDPOINTS: f64 = 20_000.0;
const TARGET_FLOWS: f64 = 20_000_000.0;

/// What is made larger.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Membership: other hosts.
    Members,
    /// The tables of bucket owners and primaries, on a change of one host: hosts.
    View,
    /// Reading a configuration: endpoints.
    Config,
    /// Bucket owner and primary of flows: flows.
    Flows,
    /// Idle upstreams that a host is the primary of: upstreams of this host.
    #[serde(rename = "stewards")]
    Primaries,
    /// Registry, timer and placement of a host in direct return: upstreams.
    Direct,
}

impl Role {
    const ALL: [Role; 6] =
        [Role::Members, Role::View, Role::Config, Role::Flows, Role::Primaries, Role::Direct];

    /// Name on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Role::Members => "members",
            Role::View => "view",
            Role::Config => "config",
            Role::Flows => "flows",
            Role::Primaries => "stewards",
            Role::Direct => "direct",
        }
    }

    /// Finds a role by its name.
    pub fn from_name(name: &str) -> Option<Role> {
        Role::ALL.into_iter().find(|it| it.name() == name)
    }

    fn sizes(self) -> &'static [usize] {
        match self {
            Role::Members | Role::View => &[7, 70, 600, 1_800],
            Role::Config | Role::Direct => &[200, 2_000, 20_000],
            Role::Flows => &[10_000, 100_000, 300_000],
            Role::Primaries => &[10, 100, 1_000],
        }
    }

    /// Size of the role at one daemon, or of the whole where a daemon knows all of it.
    fn target(self) -> f64 {
        match self {
            Role::Members | Role::View => TARGET_HOSTS,
            Role::Config | Role::Direct => TARGET_ENDPOINTS,
            // A daemon knows a flow as its bucket owner and as its primary.
            Role::Flows => 2.0 * TARGET_FLOWS / TARGET_HOSTS,
            // A daemon is the primary of an upstream, and the backup of another.
            Role::Primaries => 2.0 * TARGET_ENDPOINTS / TARGET_HOSTS,
        }
    }
}

/// One figure of one point.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Figure {
    /// What it is, with its unit.
    pub name: String,
    /// Its value.
    pub value: f64,
}

/// The figures of a role at one size.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Point {
    /// Size.
    pub size: usize,
    /// The figures.
    pub figures: Vec<Figure>,
}

/// A line through the points of one figure.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Slope {
    /// What grows.
    pub role: Role,
    /// The figure, with its unit.
    pub figure: String,
    /// Size and value of each point.
    pub points: Vec<(usize, f64)>,
    /// Value at size zero.
    pub base: f64,
    /// Growth for each unit of size.
    pub slope: f64,
    /// Share of the variance that the line explains.
    pub r_squared: f64,
    /// Size at the target.
    pub target_size: f64,
    /// The line's value there.
    pub at_target: f64,
}

/// Why a measurement failed.
#[derive(Debug, Error)]
pub enum SlopeError {
    /// A point's process could not be run.
    #[error("{0}")]
    Point(String),
    /// The system's error.
    #[error(transparent)]
    System(#[from] std::io::Error),
}

/// Measures all points and fits the lines.
///
/// # Errors
/// A point whose process fails.
pub fn run_slopes() -> Result<Vec<Slope>, SlopeError> {
    let mut slopes = Vec::new();
    for role in Role::ALL {
        let points: Result<Vec<Point>, SlopeError> =
            role.sizes().iter().map(|&size| point_in_process(role, size)).collect();
        slopes.extend(fit(role, &points?));
    }
    Ok(slopes)
}

fn point_in_process(role: Role, size: usize) -> Result<Point, SlopeError> {
    let program = std::env::current_exe()?;
    let size = size.to_string();
    let out = Command::new(program).args(["slope", role.name(), &size]).output()?;
    let text = String::from_utf8_lossy(&out.stdout);
    serde_json::from_str(&text).map_err(|e| {
        let errors = String::from_utf8_lossy(&out.stderr);
        SlopeError::Point(format!("{} at {size}: {e}: {text}{errors}", role.name()))
    })
}

fn fit(role: Role, points: &[Point]) -> Vec<Slope> {
    let Some(first) = points.first() else { return Vec::new() };
    let mut slopes = Vec::new();
    for (at, figure) in first.figures.iter().enumerate() {
        let values: Vec<(usize, f64)> =
            points.iter().map(|it| (it.size, it.figures[at].value)).collect();
        let (base, slope, r_squared) = least_squares(&values);
        let target_size = role.target();
        slopes.push(Slope {
            role,
            figure: figure.name.clone(),
            points: values,
            base,
            slope,
            r_squared,
            target_size,
            at_target: base + slope * target_size,
        });
    }
    slopes
}

/// Fits a line; returns base, slope and the share of the variance that it explains.
fn least_squares(points: &[(usize, f64)]) -> (f64, f64, f64) {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|it| it.0 as f64).sum::<f64>() / count;
    let mean_y = points.iter().map(|it| it.1).sum::<f64>() / count;
    let (mut xx, mut xy, mut yy) = (0.0, 0.0, 0.0);
    for (x, y) in points {
        let (dx, dy) = (*x as f64 - mean_x, y - mean_y);
        xx += dx * dx;
        xy += dx * dy;
        yy += dy * dy;
    }
    let slope = if xx > 0.0 { xy / xx } else { 0.0 };
    let r_squared = if yy > 0.0 { xy * xy / (xx * yy) } else { 1.0 };
    (mean_y - slope * mean_x, slope, r_squared)
}

/// Shows slopes as a table.
pub fn slopes_table(slopes: &[Slope]) -> String {
    let mut out = String::from("| Role | Figure | Points | Base | Slope | R² | At target |\n");
    out.push_str("|---|---|---|---|---|---|---|\n");
    for it in slopes {
        let points: Vec<String> =
            it.points.iter().map(|(size, value)| format!("{size}: {}", short(*value))).collect();
        out.push_str(&format!(
            "| {} | {} | {} | {} | {} | {:.3} | {} at {} |\n",
            it.role.name(),
            it.figure,
            points.join(", "),
            short(it.base),
            short(it.slope),
            it.r_squared,
            short(it.at_target),
            short(it.target_size),
        ));
    }
    out
}

fn short(value: f64) -> String {
    let magnitude = value.abs();
    if magnitude >= 100.0 {
        format!("{value:.0}")
    } else if magnitude >= 1.0 {
        format!("{value:.1}")
    } else {
        format!("{value:.4}")
    }
}
