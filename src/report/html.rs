//! Burn report as one self-contained HTML page with plots.

use displaydoc::Display;
use plotters::backend::SVGBackend;
use plotters::{
    chart::{ChartBuilder, SeriesLabelPosition},
    drawing::{DrawingAreaErrorKind, IntoDrawingArea},
    element::PathElement,
    series::LineSeries,
    style::{BLACK, Color, IntoFont, Palette, Palette99, WHITE},
};

use super::{BurnReport, table::format_window, table::table_row};

/// Width and height of the plot, in pixels.
const PLOT_SIZE_PX: (u32, u32) = (900, 360);
/// Smallest upper bound of the plot's burn-rate axis, before a margin of 10 % is
/// added.
const MIN_PLOT_BURN: f64 = 2.0;

/// Error while rendering a report.
#[derive(Debug, Display)]
pub enum PlotError {
    /// cannot draw the plot: {0}
    Draw(String),
}

impl std::error::Error for PlotError {}

impl<E> From<DrawingAreaErrorKind<E>> for PlotError
where
    E: std::error::Error + Send + Sync,
{
    fn from(error: DrawingAreaErrorKind<E>) -> Self {
        Self::Draw(error.to_string())
    }
}

impl BurnReport {
    /// Renders the burn rate of each service over time as an SVG image.
    ///
    /// # Errors
    ///
    /// Fails if the plot cannot be drawn.
    pub fn to_svg(&self) -> Result<String, PlotError> {
        let mut svg = String::new();
        self.draw(&mut svg)?;
        Ok(svg)
    }

    /// Renders the report as one self-contained HTML page.
    ///
    /// # Errors
    ///
    /// Fails if the plot cannot be drawn.
    pub fn to_html(&self) -> Result<String, PlotError> {
        let svg = self.to_svg()?;
        let table = self.html_table();
        let objective = self.objective * 100.0;
        Ok(format!(
            "<!DOCTYPE html>\n<html lang=\"en\">\n<head>\n<meta charset=\"utf-8\">\n\
             <title>Service-level burn</title>\n<style>{STYLE}</style>\n</head>\n<body>\n\
             <h1>Service-level burn</h1>\n\
             <p>Objective: {objective:.1} % of requests complete within their deadlines. \
             A burn rate of 1 spends exactly the error budget.</p>\n\
             {svg}\n{table}\n</body>\n</html>\n"
        ))
    }

    fn draw(&self, svg: &mut String) -> Result<(), PlotError> {
        let root = SVGBackend::with_string(svg, PLOT_SIZE_PX).into_drawing_area();
        root.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&root)
            .caption("burn rate", ("sans-serif", 18).into_font())
            .margin(10)
            .x_label_area_size(35)
            .y_label_area_size(50)
            .build_cartesian_2d(-self.oldest_age_min()..0.0, 0.0..self.plot_burn_limit())?;
        chart.configure_mesh().x_desc("minutes ago").draw()?;
        for (index, series) in self.series.iter().enumerate() {
            let color = Palette99::pick(index).to_rgba();
            let points = series.points.iter();
            let points = points.map(|point| (-minutes(point.age_s), point.burn_rate));
            chart
                .draw_series(LineSeries::new(points, color.stroke_width(2)))?
                .label(escape_html(&series.service))
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], color));
        }
        if !self.series.is_empty() {
            chart
                .configure_series_labels()
                .position(SeriesLabelPosition::UpperLeft)
                .background_style(WHITE)
                .border_style(BLACK)
                .draw()?;
        }
        root.present()?;
        Ok(())
    }

    fn oldest_age_min(&self) -> f64 {
        let points = self.series.iter().flat_map(|series| &series.points);
        points.map(|point| minutes(point.age_s)).fold(1.0, f64::max)
    }

    /// Returns the upper bound of the burn-rate axis.
    fn plot_burn_limit(&self) -> f64 {
        let points = self.series.iter().flat_map(|series| &series.points);
        let highest = points.map(|point| point.burn_rate);
        highest.fold(MIN_PLOT_BURN, f64::max) * 1.1
    }

    fn html_table(&self) -> String {
        let mut html = String::from("<table>\n<tr><th>service</th><th>account</th>");
        for window_s in &self.windows_s {
            let window = format_window(*window_s);
            for column in ["requests", "good %", "burn"] {
                html.push_str(&format!("<th>{window} {column}</th>"));
            }
        }
        html.push_str("</tr>\n");
        for row in &self.rows {
            let class = if row.account.is_none() { "service" } else { "" };
            html.push_str(&format!("<tr class=\"{class}\">"));
            for cell in table_row(row) {
                html.push_str(&format!("<td>{}</td>", escape_html(&cell)));
            }
            html.push_str("</tr>\n");
        }
        html.push_str("</table>");
        html
    }
}

/// Style sheet of the page.
const STYLE: &str = "body{font-family:sans-serif;margin:2em}\
    table{border-collapse:collapse}\
    th,td{padding:.2em .6em;border:1px solid #ccc;text-align:right}\
    td:nth-child(-n+2),th:nth-child(-n+2){text-align:left}\
    tr.service{font-weight:bold}";

fn minutes(seconds: u64) -> f64 {
    seconds as f64 / 60.0
}

fn escape_html(text: &str) -> String {
    let mut escaped = String::with_capacity(text.len());
    for character in text.chars() {
        match character {
            '&' => escaped.push_str("&amp;"),
            '<' => escaped.push_str("&lt;"),
            '>' => escaped.push_str("&gt;"),
            '"' => escaped.push_str("&quot;"),
            other => escaped.push(other),
        }
    }
    escaped
}
