//! Reading JSON while collecting every fault with its path and remedy.

use serde_json::{Map, Value};
use std::fmt;

/// One fault in a JSON document.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsFault {
    /// Where the fault is, as keys joined by dots; `.` is the document itself.
    pub path: String,
    /// What is wrong and how to mend it.
    pub remedy: String,
}

impl fmt::Display for SettingsFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.remedy)
    }
}

/// Joins faults into one text, a line each.
pub fn join_faults(faults: &[SettingsFault]) -> String {
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

/// A value inside a document together with its path.
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

    /// Gives the value when there is no fault, else every fault.
    pub fn finish<T>(self, value: T) -> Result<T, Vec<SettingsFault>> {
        if self.faults.is_empty() {
            Ok(value)
        } else {
            Err(self.faults)
        }
    }
}

impl<'a> DocumentNode<'a> {
    /// The node of a whole document.
    pub fn root(value: &'a Value) -> Self {
        DocumentNode { value, parent: None, key: "" }
    }

    /// The keys from the document to this node, joined by dots.
    pub fn path(&self) -> String {
        match self.parent {
            None if self.key.is_empty() => ".".to_owned(),
            None => self.key.to_owned(),
            Some(parent) if parent.parent.is_none() && parent.key.is_empty() => self.key.to_owned(),
            Some(parent) => format!("{}.{}", parent.path(), self.key),
        }
    }

    /// The last key of the path.
    pub fn key(&self) -> &'a str {
        self.key
    }

    /// The JSON value at this node.
    pub fn value(&self) -> &'a Value {
        self.value
    }

    /// The members of an object that has no keys besides `known`; a fault for each other key.
    pub fn object(&self, known: &[&str], faults: &mut FaultList) -> Option<&'a Map<String, Value>> {
        let members = self.members(faults)?;
        for key in members.keys().filter(|key| !known.contains(&key.as_str())) {
            faults.add(self, format!("remove the key {key:?}, or use one of: {}", known.join(", ")));
        }
        Some(members)
    }

    /// The members of an object with any keys.
    pub fn members(&self, faults: &mut FaultList) -> Option<&'a Map<String, Value>> {
        let members = self.value.as_object();
        if members.is_none() {
            faults.add(self, "give a JSON object");
        }
        members
    }

    /// The member with this key, when the node is an object that has it and it is not null.
    pub fn child<'b>(&'b self, key: &'b str) -> Option<DocumentNode<'b>> {
        let value = self.value.as_object()?.get(key)?;
        (!value.is_null()).then_some(DocumentNode { value, parent: Some(self), key })
    }

    /// The member with this key; a fault when it is missing.
    pub fn required<'b>(&'b self, key: &'b str, faults: &mut FaultList) -> Option<DocumentNode<'b>> {
        let child = self.child(key);
        if child.is_none() {
            faults.add(self, format!("add the key {key:?}"));
        }
        child
    }

    /// The node as text.
    pub fn text(&self, faults: &mut FaultList) -> Option<&'a str> {
        let text = self.value.as_str();
        if text.is_none() {
            faults.add(self, "give a JSON string");
        }
        text
    }

    /// The node as a whole number within a range.
    pub fn number(&self, low: u64, high: u64, faults: &mut FaultList) -> Option<u64> {
        let number = self.value.as_u64().filter(|number| (low..=high).contains(number));
        if number.is_none() {
            faults.add(self, format!("give a whole number from {low} to {high}"));
        }
        number
    }

    /// The node as true or false.
    pub fn boolean(&self, faults: &mut FaultList) -> Option<bool> {
        let value = self.value.as_bool();
        if value.is_none() {
            faults.add(self, "give true or false");
        }
        value
    }

    /// The node as an array of texts.
    pub fn texts(&self, faults: &mut FaultList) -> Option<Vec<&'a str>> {
        let items: Option<Vec<&'a str>> =
            self.value.as_array().and_then(|items| items.iter().map(Value::as_str).collect());
        if items.is_none() {
            faults.add(self, "give a JSON array of strings");
        }
        items
    }

    /// The node as a value that `parse` reads from text.
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
