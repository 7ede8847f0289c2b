//! A plot of the share served over the day, as SVG.

use std::fmt::Write;

use super::measure::Report;

/// Size of the plot, and of the margin around it, in pixels.
const SIZE: (f64, f64) = (900.0, 300.0);
const MARGIN: f64 = 40.0;

/// Colours of the lines, one for each report.
const COLOURS: [&str; 3] = ["#1f5fa8", "#c2571a", "#3a8f3a"];

/// Draws the share served in each second, a line for each named report.
pub fn plot(title: &str, reports: &[(String, Report)]) -> String {
    let (width, height) = SIZE;
    let mut svg = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{width}\" height=\"{height}\" \
         font-family=\"sans-serif\" font-size=\"12\">\n\
         <rect width=\"{width}\" height=\"{height}\" fill=\"white\"/>\n\
         <text x=\"{MARGIN}\" y=\"20\">{}</text>\n",
        escape(title)
    );
    for share in [0.0, 0.25, 0.5, 0.75, 1.0] {
        let y = vertical(share);
        let end = width - MARGIN;
        // Writing to a string does not fail.
        let _ = writeln!(
            svg,
            "<line x1=\"{MARGIN}\" y1=\"{y:.1}\" x2=\"{end}\" y2=\"{y:.1}\" stroke=\"#ddd\"/>\
             <text x=\"6\" y=\"{:.1}\">{share:.2}</text>",
            y + 4.0
        );
    }
    for (n, (name, report)) in reports.iter().enumerate() {
        let colour = COLOURS[n % COLOURS.len()];
        let points = report.seconds.iter().enumerate().map(|(second, share)| {
            let part = second as f64 / report.seconds.len().max(2) as f64;
            let x = MARGIN + part * (width - 2.0 * MARGIN);
            format!("{x:.1},{:.1}", vertical(*share))
        });
        let points: Vec<String> = points.collect();
        let _ = writeln!(
            svg,
            "<polyline fill=\"none\" stroke=\"{colour}\" points=\"{}\"/>\
             <text x=\"{:.1}\" y=\"{:.1}\" fill=\"{colour}\">{}</text>",
            points.join(" "),
            MARGIN + 150.0 * n as f64,
            height - 10.0,
            escape(name)
        );
    }
    svg.push_str("</svg>\n");
    svg
}

fn vertical(share: f64) -> f64 {
    let (_, height) = SIZE;
    height - MARGIN - share * (height - 2.0 * MARGIN)
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;")
}
