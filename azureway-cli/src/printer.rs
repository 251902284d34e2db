//! Writes the reports of every command, in the output format that the operator chose.

use std::fmt::Display;
use std::io::Write;

use anyhow::{Context, Result};
use serde::Serialize;

/// Prints the reports of a command to a writer, as text or as JSON.
#[derive(Debug)]
pub(crate) struct Printer<W> {
    out: W,
    json: bool,
}

impl<W: Write> Printer<W> {
    pub(crate) const fn new(out: W, json: bool) -> Self {
        Self { out, json }
    }

    /// Prints a report as text or as JSON.
    pub(crate) fn print(&mut self, report: &(impl Display + Serialize)) -> Result<()> {
        if self.json {
            serde_json::to_writer_pretty(&mut self.out, report)?;
            writeln!(self.out).context("print")
        } else {
            write!(self.out, "{report}").context("print")
        }
    }
}
