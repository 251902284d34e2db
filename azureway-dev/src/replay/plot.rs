//! Draws the comparison of the policies as an SVG file.

use std::path::Path;

use anyhow::{Result, anyhow};
use plotters::prelude::*;

use super::Summary;

/// A bar chart of the 95th percentile of the time to first token of urgent requests, with a
/// group of bars for each case and a bar for each policy.
#[derive(Clone, Copy, Debug)]
pub struct Plot<'a> {
    groups: &'a [(&'static str, Vec<Summary>)],
}

/// The width of the plot, in pixels.
const WIDTH: u32 = 1_100;
/// The height of the plot, in pixels.
const HEIGHT: u32 = 420;
/// The top of the time axis, in milliseconds. Longer bars are cut off there.
const MAX_TIME: f64 = 4_000.0;
/// The target for the time to first token, in milliseconds.
const TARGET: f64 = 1_000.0;
/// The fraction of the width of a group that its bars fill.
const GROUP_FILL: f64 = 0.8;
/// The colours of the policies, in the order of the summaries.
const COLOURS: [RGBColor; 5] = [
    RGBColor(31, 119, 180),
    RGBColor(255, 127, 14),
    RGBColor(148, 103, 189),
    RGBColor(120, 120, 120),
    RGBColor(44, 160, 44),
];

impl<'a> Plot<'a> {
    /// Creates a plot of `groups`, the names of cases with their summaries.
    pub const fn new(groups: &'a [(&'static str, Vec<Summary>)]) -> Self {
        Self { groups }
    }

    /// Draws the plot into an SVG file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be written.
    pub fn draw(&self, file: &Path) -> Result<()> {
        let root = SVGBackend::new(file, (WIDTH, HEIGHT)).into_drawing_area();
        let failed = |e| anyhow!("cannot draw {}: {e}", file.display());
        root.fill(&WHITE).map_err(failed)?;
        let count = self.groups.len() as f64;
        let mut chart = ChartBuilder::on(&root)
            .caption(
                "Urgent work: 95th percentile of the time to first token, ms",
                ("sans-serif", 16),
            )
            .margin(10)
            .x_label_area_size(40)
            .y_label_area_size(50)
            .build_cartesian_2d(0.0..count, 0.0..MAX_TIME)
            .map_err(failed)?;
        chart
            .configure_mesh()
            .disable_x_mesh()
            .x_labels(0)
            .draw()
            .map_err(failed)?;
        self.draw_bars(&mut chart).map_err(failed)?;
        let target = PathElement::new([(0.0, TARGET), (count, TARGET)], RED);
        chart.draw_series([target]).map_err(failed)?;
        self.draw_names(&root).map_err(failed)?;
        root.present().map_err(failed)
    }

    fn draw_bars<'b>(
        &self,
        chart: &mut ChartContext<'b, SVGBackend<'b>, Cartesian>,
    ) -> Result<(), DrawError> {
        for (index, colour) in COLOURS.iter().enumerate() {
            let bars = self.groups.iter().enumerate();
            let bars = bars.filter_map(|(group, (_, all))| {
                let time = all.get(index)?.urgent_ttft[1].map_or(MAX_TIME, |t| t as f64);
                let width = GROUP_FILL / COLOURS.len() as f64;
                let left = group as f64 + (1.0 - GROUP_FILL) / 2.0 + index as f64 * width;
                let corners = [(left, 0.0), (left + width, time.min(MAX_TIME))];
                Some(Rectangle::new(corners, colour.filled()))
            });
            chart.draw_series(bars)?;
        }
        Ok(())
    }

    /// Draws the names of the cases below their bars, and those of the policies above the chart.
    fn draw_names(&self, root: &Area<'_>) -> Result<(), DrawError> {
        let step = f64::from(WIDTH - 70) / self.groups.len().max(1) as f64;
        for (group, (name, _)) in self.groups.iter().enumerate() {
            let left = 62.0 + group as f64 * step;
            let low = HEIGHT as i32 - 44 + (group as i32 % 2) * 14;
            let font = ("sans-serif", 11).into_font();
            root.draw(&Text::new(*name, (left as i32, low), font))?;
        }
        let policies = self.groups.first().map_or(&[][..], |(_, all)| all);
        for (index, (summary, colour)) in policies.iter().zip(COLOURS).enumerate() {
            let at = (80 + index as i32 * 130, 34);
            let font = ("sans-serif", 13).into_font().color(&colour);
            root.draw(&Text::new(summary.policy, at, font))?;
        }
        Ok(())
    }
}

/// The coordinate system of the plot.
type Cartesian =
    Cartesian2d<plotters::coord::types::RangedCoordf64, plotters::coord::types::RangedCoordf64>;
/// The drawing area of the plot.
type Area<'a> = DrawingArea<SVGBackend<'a>, plotters::coord::Shift>;
/// An error of the drawing backend.
type DrawError = DrawingAreaErrorKind<std::io::Error>;
