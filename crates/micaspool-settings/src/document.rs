//! Reading of JSON documents that collects all faults, each with its path and remedy.

use serde_json::{Map, Value};
use std::fmt;

/// One fault in a JSON document.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsFault {
    /// The path of the faulty value as keys joined by dots; `.` is the document itself.
    pub path: String,
    /// How to correct the fault.
    pub remedy: String,
}

impl fmt::Display for SettingsFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.remedy)
    }
}

/// Joins faults into one text with one line each.
pub fn join_faults(faults: &[SettingsFault]) -> String {
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

/// A value in a document together with its path.
#[derive(Clone, Copy, Debug)]
pub struct DocumentNode<'a> {
    value: &'a Value,
    parent: Option<&'a DocumentNode<'a>>,
    key: &'a str,
}

/// Collects the faults of one document.
#[derive(Debug, Default)]
pub struct FaultList {
    faults: Vec<SettingsFault>,
}

impl FaultList {
    /// Adds a fault at a node.
    pub fn add(&mut self, node: &DocumentNode<'_>, remedy: impl Into<String>) {
        self.faults.push(SettingsFault { path: node.path(), remedy: remedy.into() });
    }

    /// Returns the value if there are no faults, otherwise all faults.
    pub fn finish<T>(self, value: T) -> Result<T, Vec<SettingsFault>> {
        if self.faults.is_empty() {
            Ok(value)
        } else {
            Err(self.faults)
        }
    }
}

impl<'a> DocumentNode<'a> {
    /// Creates the root node of a document.
    pub fn root(value: &'a Value) -> Self {
        DocumentNode { value, parent: None, key: "" }
    }

    /// Returns the keys from the root to this node, joined by dots.
    pub fn path(&self) -> String {
        match self.parent {
            None if self.key.is_empty() => ".".to_owned(),
            None => self.key.to_owned(),
            Some(parent) if parent.parent.is_none() && parent.key.is_empty() => self.key.to_owned(),
            Some(parent) => format!("{}.{}", parent.path(), self.key),
        }
    }

    /// Returns the last key of the path.
    pub fn key(&self) -> &'a str {
        self.key
    }

    /// Returns the JSON value at this node.
    pub fn value(&self) -> &'a Value {
        self.value
    }

    /// Returns the members of an object and adds a fault for each key that is not in `known`.
    pub fn object(&self, known: &[&str], faults: &mut FaultList) -> Option<&'a Map<String, Value>> {
        let members = self.members(faults)?;
        for key in members.keys().filter(|key| !known.contains(&key.as_str())) {
            faults.add(self, format!("remove the key {key:?}, or use one of: {}", known.join(", ")));
        }
        Some(members)
    }

    /// Returns the members of an object with arbitrary keys.
    pub fn members(&self, faults: &mut FaultList) -> Option<&'a Map<String, Value>> {
        let members = self.value.as_object();
        if members.is_none() {
            faults.add(self, "give a JSON object");
        }
        members
    }

    /// Returns the member with this key if the node is an object that has it and it is not null.
    pub fn child<'b>(&'b self, key: &'b str) -> Option<DocumentNode<'b>> {
        let value = self.value.as_object()?.get(key)?;
        (!value.is_null()).then_some(DocumentNode { value, parent: Some(self), key })
    }

    /// Returns the member with this key, or adds a fault if it is missing.
    pub fn required<'b>(&'b self, key: &'b str, faults: &mut FaultList) -> Option<DocumentNode<'b>> {
        let child = self.child(key);
        if child.is_none() {
            faults.add(self, format!("add the key {key:?}"));
        }
        child
    }

    /// Returns the node as a string.
    pub fn text(&self, faults: &mut FaultList) -> Option<&'a str> {
        let text = self.value.as_str();
        if text.is_none() {
            faults.add(self, "give a JSON string");
        }
        text
    }

    /// Returns the node as an integer from `low` to `high`, both inclusive.
    pub fn number(&self, low: u64, high: u64, faults: &mut FaultList) -> Option<u64> {
        let number = self.value.as_u64().filter(|number| (low..=high).contains(number));
        if number.is_none() {
            faults.add(self, format!("give a whole number from {low} to {high}"));
        }
        number
    }

    /// Returns the node as a boolean.
    pub fn boolean(&self, faults: &mut FaultList) -> Option<bool> {
        let value = self.value.as_bool();
        if value.is_none() {
            faults.add(self, "give true or false");
        }
        value
    }

    /// Returns the node as an array of strings.
    pub fn texts(&self, faults: &mut FaultList) -> Option<Vec<&'a str>> {
        let items: Option<Vec<&'a str>> =
            self.value.as_array().and_then(|items| items.iter().map(Value::as_str).collect());
        if items.is_none() {
            faults.add(self, "give a JSON array of strings");
        }
        items
    }

    /// Returns the node as a value that `parse` reads from a string.
    pub fn parsed<T, E: fmt::Display>(
        &self,
        parse: impl Fn(&str) -> Result<T, E>,
        faults: &mut FaultList,
    ) -> Option<T> {
        match parse(self.text(faults)?) {
            Ok(value) => Some(value),
            Err(error) => {
                faults.add(self, error.to_string());
                None
            }
        }
    }
}
