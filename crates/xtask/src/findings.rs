//! What a journal entry says went wrong.
//!
//! A day may break no rule and still miss a floor: 0.40 of the worth of one kind of request stood in an entry for a
//! landing, unread, since days were searched for broken rules alone.

use serde::Deserialize;
use std::collections::BTreeMap;
use std::fmt;
use std::path::{Path, PathBuf};

/// Why an entry can't be read.
#[derive(Debug)]
pub(crate) enum Error {
    /// The file can't be opened or read.
    File(PathBuf, std::io::Error),
    /// It is no journal entry.
    Entry(PathBuf, serde_json::Error),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::File(path, error) => {
                write!(f, "{} can't be read ({error}); check the path", path.display())
            }
            Error::Entry(path, error) => {
                write!(f, "{} is no journal entry ({error}); name the JSON files only", path.display())
            }
        }
    }
}

#[derive(Debug, Deserialize)]
struct JournalEntry {
    #[serde(default)]
    site: Option<String>,
    #[serde(default)]
    error: Option<String>,
    #[serde(default)]
    days: Option<Vec<PlayedDay>>,
}

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

/// One thing that went wrong.
#[derive(Debug)]
pub(crate) struct Finding {
    entry: PathBuf,
    site: String,
    day: String,
    what: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {} {}: {}", self.entry.display(), self.site, self.day, self.what)
    }
}

/// The findings of one entry, in the order of its days.
pub(crate) fn of_entry(path: &Path) -> Result<Vec<Finding>, Error> {
    let text = std::fs::read_to_string(path).map_err(|error| Error::File(path.to_owned(), error))?;
    let entry: JournalEntry =
        serde_json::from_str(&text).map_err(|error| Error::Entry(path.to_owned(), error))?;
    let site = entry.site.unwrap_or_default();
    let finding = |day: &str, what: String| Finding {
        entry: path.to_owned(),
        site: site.clone(),
        day: day.to_owned(),
        what,
    };
    let mut findings: Vec<Finding> = entry.error.into_iter().map(|error| finding("", error)).collect();
    for day in entry.days.unwrap_or_default() {
        findings.extend(day.faults().into_iter().map(|what| finding(&day.name, what)));
    }
    Ok(findings)
}

impl PlayedDay {
    fn faults(&self) -> Vec<String> {
        let rules = self.rules.iter().map(|(rule, count)| format!("broke {rule} {count} times"));
        let short = self.short.iter().map(|text| format!("short: {text}"));
        let fault = self.fault.iter().map(|fault| format!("fault: {fault}"));
        let mut faults: Vec<String> = rules.chain(short).chain(fault).collect();
        if faults.is_empty() && self.gate == Some(false) {
            faults.push("failed its gate".to_owned());
        }
        faults
    }
}
