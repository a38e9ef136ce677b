//! Extracts findings from journal entries: broken rules, missed floors, faults and failed gates.
//!
//! A day can break no rule and still miss a floor. When entries were searched for broken rules alone, a day that
//! served 0.40 of the worth of one kind of request went unnoticed in the entry of a landing.

use serde::Deserialize;
use std::collections::BTreeMap;
use std::fmt;
use std::path::{Path, PathBuf};

/// An error from reading a journal entry.
#[derive(Debug)]
pub(crate) enum Error {
    /// The file can't be read.
    File(PathBuf, std::io::Error),
    /// The file isn't a journal entry.
    Entry(PathBuf, serde_json::Error),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::File(path, error) => {
                write!(f, "cannot read {} ({error}); check the path", path.display())
            }
            Error::Entry(path, error) => {
                write!(
                    f,
                    "{} is not a journal entry ({error}); pass only JSON files of entries",
                    path.display()
                )
            }
        }
    }
}

/// The fields of a journal entry that can hold findings.
#[derive(Debug, Deserialize)]
struct JournalEntry {
    #[serde(default)]
    site: Option<String>,
    #[serde(default)]
    error: Option<String>,
    #[serde(default)]
    days: Option<Vec<PlayedDay>>,
}

/// The results of one day of an entry.
#[derive(Debug, Deserialize)]
struct PlayedDay {
    name: String,
    #[serde(default)]
    rules: BTreeMap<String, u64>,
    #[serde(default)]
    short: Vec<String>,
    #[serde(default)]
    fault: Option<serde_json::Value>,
    #[serde(default)]
    gate: Option<bool>,
}

/// A failure of a day, or of the whole entry if `day` is empty.
#[derive(Debug)]
pub(crate) struct Finding {
    entry: PathBuf,
    site: String,
    day: String,
    description: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {} {}: {}", self.entry.display(), self.site, self.day, self.description)
    }
}

/// Returns the findings of an entry, first its error, then those of its days in order.
pub(crate) fn read_findings(path: &Path) -> Result<Vec<Finding>, Error> {
    let text = std::fs::read_to_string(path).map_err(|error| Error::File(path.to_owned(), error))?;
    let entry: JournalEntry =
        serde_json::from_str(&text).map_err(|error| Error::Entry(path.to_owned(), error))?;
    let site = entry.site.unwrap_or_default();
    let finding = |day: &str, description: String| Finding {
        entry: path.to_owned(),
        site: site.clone(),
        day: day.to_owned(),
        description,
    };
    let mut findings: Vec<Finding> = entry.error.into_iter().map(|error| finding("", error)).collect();
    for day in entry.days.unwrap_or_default() {
        findings.extend(day.failures().into_iter().map(|description| finding(&day.name, description)));
    }
    Ok(findings)
}

impl PlayedDay {
    /// Describes the broken rules, missed floors and fault of the day, or its failed gate if there are none.
    fn failures(&self) -> Vec<String> {
        let rules = self.rules.iter().map(|(rule, count)| format!("broke {rule} {count} times"));
        let short = self.short.iter().map(|text| format!("short: {text}"));
        let fault = self.fault.iter().map(|fault| format!("fault: {fault}"));
        let mut failures: Vec<String> = rules.chain(short).chain(fault).collect();
        if failures.is_empty() && self.gate == Some(false) {
            failures.push("failed its gate".to_owned());
        }
        failures
    }
}
