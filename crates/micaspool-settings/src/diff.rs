//! The differences between two trees, for operators to read.

use serde_json::Value;

/// One path at which two trees differ.
#[derive(Debug, Clone, PartialEq)]
pub struct TreeDifference {
    /// The keys to the value, joined by dots.
    pub path: String,
    /// The value in the first tree, if it has one.
    pub before: Option<Value>,
    /// The value in the second tree, if it has one.
    pub after: Option<Value>,
}

/// Every leaf at which the trees differ, in path order.
pub fn diff_trees(before: &Value, after: &Value) -> Vec<TreeDifference> {
    let mut differences = Vec::new();
    collect(String::new(), Some(before), Some(after), &mut differences);
    differences
}

fn collect(path: String, before: Option<&Value>, after: Option<&Value>, out: &mut Vec<TreeDifference>) {
    if before == after {
        return;
    }
    let (Some(Value::Object(old)), Some(Value::Object(new))) = (before, after) else {
        out.push(TreeDifference { path, before: before.cloned(), after: after.cloned() });
        return;
    };
    let mut keys: Vec<&String> = old.keys().chain(new.keys()).collect();
    keys.sort();
    keys.dedup();
    for key in keys {
        let inner = if path.is_empty() { key.clone() } else { format!("{path}.{key}") };
        collect(inner, old.get(key), new.get(key), out);
    }
}
