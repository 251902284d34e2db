//! Reading typed values out of a section.

use std::str::FromStr;

use super::{Fault, Faults, Section};
use crate::util::nearest;

/// Reads typed values out of a section and notes every fault, unknown keys among them.
#[derive(Debug)]
pub struct SectionReader<'a, 'f> {
    section: &'a Section<'a>,
    faults: &'f mut Faults,
    known: Vec<&'static str>,
}

impl<'a, 'f> SectionReader<'a, 'f> {
    /// Creates a reader of `section`.
    pub fn new(section: &'a Section<'a>, faults: &'f mut Faults) -> Self {
        Self {
            section,
            faults,
            known: Vec::new(),
        }
    }

    /// Returns the text of `key`, if the section has it.
    pub fn text(&mut self, key: &'static str) -> Option<&'a str> {
        self.known.push(key);
        self.section.get(key).map(|e| e.value)
    }

    /// Returns the text of `key`, and notes a fault if the section does not have it.
    pub fn required(&mut self, key: &'static str, expected: &str) -> Option<&'a str> {
        let text = self.text(key);
        if text.is_none() {
            self.fault(None, Some(key), format!("missing; expected {expected}"));
        }
        text
    }

    /// Returns the value of `key` as `read` understands it, or `default`.
    pub fn value<T>(
        &mut self,
        key: &'static str,
        default: T,
        expected: &str,
        read: impl Fn(&'a str) -> Option<T>,
    ) -> T {
        match self.text(key) {
            None => default,
            Some(text) => self
                .understood(key, text, expected, read)
                .unwrap_or(default),
        }
    }

    /// Returns the value of `key` as `read` understands it; the section must have it.
    pub fn required_value<T>(
        &mut self,
        key: &'static str,
        expected: &str,
        read: impl Fn(&'a str) -> Option<T>,
    ) -> Option<T> {
        let text = self.required(key, expected)?;
        self.understood(key, text, expected, read)
    }

    /// Returns the value of `key` as `read` understands it, or `default`. A fault does not show
    /// the text, which may be a secret that was entered by mistake.
    pub fn secret<T>(
        &mut self,
        key: &'static str,
        default: T,
        expected: &str,
        read: impl Fn(&'a str) -> Option<T>,
    ) -> T {
        let Some(text) = self.text(key) else {
            return default;
        };
        read(text).unwrap_or_else(|| {
            self.reject(Some(key), format!("expected {expected}"));
            default
        })
    }

    /// Returns the number of `key` if it lies from `low` to `high`, or `default`.
    pub fn number<T>(&mut self, key: &'static str, default: T, low: T, high: T, unit: &str) -> T
    where
        T: FromStr + PartialOrd + Copy + std::fmt::Display,
    {
        let expected = format!("a number of {unit} from {low} to {high}");
        let read = |text: &str| text.parse().ok().filter(|n| *n >= low && *n <= high);
        self.value(key, default, &expected, read)
    }

    /// Returns whether `key` is `yes`, or `default`.
    pub fn flag(&mut self, key: &'static str, default: bool) -> bool {
        self.value(key, default, "`yes` or `no`", |text| match text {
            "yes" => Some(true),
            "no" => Some(false),
            _ => None,
        })
    }

    /// Notes a fault of `key`, or of the whole section.
    pub fn reject(&mut self, key: Option<&'static str>, detail: String) {
        let line = key.and_then(|k| self.section.get(k)).map(|e| e.line);
        self.fault(line, key, detail);
    }

    /// Notes a fault for each key that was not asked for.
    pub fn finish(mut self) {
        let section = self.section;
        for entry in &section.entries {
            if !self.known.contains(&entry.key) {
                let hint = nearest(entry.key, &self.known);
                let hint = hint
                    .map(|k| format!("; did you mean `{k}`?"))
                    .unwrap_or_default();
                self.fault(
                    Some(entry.line),
                    Some(entry.key),
                    format!("unknown key{hint}"),
                );
            }
        }
    }

    fn understood<T>(
        &mut self,
        key: &'static str,
        text: &'a str,
        expected: &str,
        read: impl Fn(&'a str) -> Option<T>,
    ) -> Option<T> {
        let value = read(text);
        if value.is_none() {
            self.reject(Some(key), format!("expected {expected}, found `{text}`"));
        }
        value
    }

    fn fault(&mut self, line: Option<u32>, key: Option<&str>, detail: String) {
        self.faults.push(Fault {
            line: line.unwrap_or(self.section.line),
            section: self.section.name.into(),
            key: key.map(Into::into),
            detail: detail.into(),
        });
    }
}
