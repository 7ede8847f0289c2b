//! Output of a command.

use std::io;
use std::io::Write;

use serde_json::Value;

/// Output of a command as text and as JSON.
#[derive(Debug, Default)]
pub(crate) struct Report {
    /// Text output; every line ends with a newline.
    pub(crate) text: String,
    /// JSON output; nothing is printed if it is null.
    pub(crate) json: Value,
}

impl Report {
    /// Prints the report as JSON or as text.
    pub(crate) fn print(&self, json: bool) -> io::Result<()> {
        let mut out = io::stdout().lock();
        match json {
            true if self.json.is_null() => Ok(()),
            true => writeln!(out, "{}", self.json),
            false => out.write_all(self.text.as_bytes()),
        }
    }
}

/// Formats rows as left-aligned columns under a header.
pub(crate) fn table<const N: usize>(header: [&str; N], rows: &[[String; N]]) -> String {
    let mut widths = header.map(str::len);
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.len());
        }
    }
    let mut text = line(&header, &widths);
    for row in rows {
        text.push_str(&line(&row.each_ref().map(String::as_str), &widths));
    }
    text
}

fn line<const N: usize>(cells: &[&str; N], widths: &[usize; N]) -> String {
    let padded = cells.iter().zip(widths).map(|(c, w)| format!("{c:w$}"));
    let line = padded.collect::<Vec<_>>().join("  ");
    format!("{}\n", line.trim_end())
}
