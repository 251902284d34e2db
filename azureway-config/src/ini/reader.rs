//! Converts the values of a section to their types and collects the faults.

use std::str::FromStr;

use super::{Fault, Faults, Section};
use crate::util::nearest;

/// Reads the typed values of a section and collects every fault, including unknown keys.
#[derive(Debug)]
pub struct SectionReader<'a, 'f> {
    section: &'a Section<'a>,
    faults: &'f mut Faults,
    known_keys: Vec<&'static str>,
}

impl<'a, 'f> SectionReader<'a, 'f> {
    /// Creates a reader of `section` that adds its faults to `faults`.
    pub fn new(section: &'a Section<'a>, faults: &'f mut Faults) -> Self {
        Self {
            section,
            faults,
            known_keys: Vec::new(),
        }
    }

    /// Returns the text of `key`, or `None` if the section does not have it.
    pub fn text(&mut self, key: &'static str) -> Option<&'a str> {
        self.known_keys.push(key);
        self.section.get(key).map(|e| e.value)
    }

    /// Returns the text of `key`, and adds a fault if the section does not have it.
    pub fn required(&mut self, key: &'static str, expected: &str) -> Option<&'a str> {
        let text = self.text(key);
        if text.is_none() {
            self.push_fault(None, Some(key), format!("missing; expected {expected}"));
        }
        text
    }

    /// Returns the value of `key` as parsed by `parse`, or `default` if it is missing or invalid.
    pub fn value<T>(
        &mut self,
        key: &'static str,
        default: T,
        expected: &str,
        parse: impl Fn(&'a str) -> Option<T>,
    ) -> T {
        match self.text(key) {
            None => default,
            Some(text) => self
                .parse_value(key, text, expected, parse)
                .unwrap_or(default),
        }
    }

    /// Returns the value of `key` as parsed by `parse`, and adds a fault if it is missing or
    /// invalid.
    pub fn required_value<T>(
        &mut self,
        key: &'static str,
        expected: &str,
        parse: impl Fn(&'a str) -> Option<T>,
    ) -> Option<T> {
        let text = self.required(key, expected)?;
        self.parse_value(key, text, expected, parse)
    }

    /// Returns the value of `key` as parsed by `parse`, or `default` if it is missing or invalid.
    /// Unlike [`value`](Self::value), the fault does not contain the text, which may be a secret
    /// entered by mistake.
    pub fn secret<T>(
        &mut self,
        key: &'static str,
        default: T,
        expected: &str,
        parse: impl Fn(&'a str) -> Option<T>,
    ) -> T {
        let Some(text) = self.text(key) else {
            return default;
        };
        parse(text).unwrap_or_else(|| {
            self.add_fault(Some(key), format!("expected {expected}"));
            default
        })
    }

    /// Returns the number of `key` if it is between `low` and `high`, both included, or `default`
    /// if it is missing or invalid.
    pub fn number<T>(&mut self, key: &'static str, default: T, low: T, high: T, unit: &str) -> T
    where
        T: FromStr + PartialOrd + Copy + std::fmt::Display,
    {
        let expected = format!("a number of {unit} from {low} to {high}");
        let parse = |text: &str| text.parse().ok().filter(|n| *n >= low && *n <= high);
        self.value(key, default, &expected, parse)
    }

    /// Returns whether `key` is `yes`, or `default` if it is missing or neither `yes` nor `no`.
    pub fn flag(&mut self, key: &'static str, default: bool) -> bool {
        self.value(key, default, "`yes` or `no`", |text| match text {
            "yes" => Some(true),
            "no" => Some(false),
            _ => None,
        })
    }

    /// Adds a fault of `key`, or of the section if no key is given. The fault is located at the
    /// header if the section does not have the key.
    pub fn add_fault(&mut self, key: Option<&'static str>, detail: String) {
        let line = key.and_then(|k| self.section.get(k)).map(|e| e.line);
        self.push_fault(line, key, detail);
    }

    /// Adds a fault for each key of the section that was never read.
    pub fn finish(mut self) {
        let section = self.section;
        for entry in &section.entries {
            if !self.known_keys.contains(&entry.key) {
                let hint = nearest(entry.key, &self.known_keys);
                let hint = hint
                    .map(|k| format!("; did you mean `{k}`?"))
                    .unwrap_or_default();
                self.push_fault(
                    Some(entry.line),
                    Some(entry.key),
                    format!("unknown key{hint}"),
                );
            }
        }
    }

    fn parse_value<T>(
        &mut self,
        key: &'static str,
        text: &'a str,
        expected: &str,
        parse: impl Fn(&'a str) -> Option<T>,
    ) -> Option<T> {
        let value = parse(text);
        if value.is_none() {
            self.add_fault(Some(key), format!("expected {expected}, found `{text}`"));
        }
        value
    }

    fn push_fault(&mut self, line: Option<u32>, key: Option<&str>, detail: String) {
        self.faults.push(Fault {
            line: line.unwrap_or(self.section.line),
            section: self.section.name.into(),
            key: key.map(Into::into),
            detail: detail.into(),
        });
    }
}
