//! Markdown tables, SVG plots and line fits.

use std::path::Path;

use plotters::prelude::*;

/// Size of a plot, in pixels.
const PLOT_SIZE: (u32, u32) = (800, 480);

/// A Markdown table, printed row by row while an experiment runs.
pub struct Table;

impl Table {
    /// Prints the head of a table.
    pub fn new(columns: &[&str]) -> Self {
        println!("| {} |", columns.join(" | "));
        println!("|{}", "---|".repeat(columns.len()));
        Self
    }

    /// Prints a row.
    pub fn row(&mut self, cells: &[String]) {
        println!("| {} |", cells.join(" | "));
    }
}

/// One line of a plot.
pub struct Series {
    pub name: String,
    pub points: Vec<(f64, f64)>,
}

/// Draws the lines of a plot to an SVG file.
///
/// Returns an error if the file cannot be written.
pub fn plot(path: &Path, title: &str, x: &str, y: &str, series: &[Series]) -> std::io::Result<()> {
    draw(path, title, x, y, series).map_err(|e| std::io::Error::other(e.to_string()))
}

/// Draws a plot; axes start at zero and end at the largest value.
fn draw(
    path: &Path,
    title: &str,
    x: &str,
    y: &str,
    series: &[Series],
) -> Result<(), Box<dyn std::error::Error>> {
    let all = || series.iter().flat_map(|line| &line.points);
    let largest = |pick: fn(&(f64, f64)) -> f64| all().map(pick).fold(f64::MIN, f64::max).max(1e-9);
    let (x_max, y_max) = (largest(|point| point.0), largest(|point| point.1));
    let root = SVGBackend::new(path, PLOT_SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 20))
        .margin(10)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..x_max, 0.0..y_max * 1.05)?;
    chart.configure_mesh().x_desc(x).y_desc(y).draw()?;
    for (number, line) in series.iter().enumerate() {
        let colour = Palette99::pick(number).to_rgba();
        chart
            .draw_series(LineSeries::new(line.points.iter().copied(), colour.stroke_width(2)))?
            .label(&line.name)
            .legend(move |(x, y)| {
                PathElement::new(vec![(x, y), (x + 20, y)], colour.stroke_width(2))
            });
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK).draw()?;
    root.present()?;
    Ok(())
}

/// Fits a line by least squares; returns its slope, intercept and largest absolute residual.
pub fn fit_line(points: &[(f64, f64)]) -> (f64, f64, f64) {
    let n = points.len() as f64;
    let mean = |pick: fn(&(f64, f64)) -> f64| points.iter().map(pick).sum::<f64>() / n;
    let (x_mean, y_mean) = (mean(|point| point.0), mean(|point| point.1));
    let covariance: f64 = points.iter().map(|(x, y)| (x - x_mean) * (y - y_mean)).sum();
    let variance: f64 = points.iter().map(|(x, _)| (x - x_mean).powi(2)).sum();
    let slope = covariance / variance.max(f64::MIN_POSITIVE);
    let intercept = y_mean - slope * x_mean;
    let residual =
        points.iter().map(|(x, y)| (y - slope * x - intercept).abs()).fold(0.0, f64::max);
    (slope, intercept, residual)
}

/// Formats microseconds as milliseconds with one decimal.
pub fn format_ms(us: u64) -> String {
    format!("{:.1}", us as f64 / 1000.0)
}
