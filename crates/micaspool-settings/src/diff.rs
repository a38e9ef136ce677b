//! Human-readable differences between two trees.

use serde_json::Value;

/// One path at which two trees differ.
#[derive(Debug, Clone, PartialEq)]
pub struct TreeDifference {
    /// The keys that lead to the value, joined by dots.
    pub path: String,
    /// The value in the first tree, if present.
    pub before: Option<Value>,
    /// The value in the second tree, if present.
    pub after: Option<Value>,
}

/// Returns every path at which the trees differ, in path order. Only objects that are present in both trees are compared
/// member by member.
pub fn diff_trees(before: &Value, after: &Value) -> Vec<TreeDifference> {
    let mut differences = Vec::new();
    collect_differences(String::new(), Some(before), Some(after), &mut differences);
    differences
}

fn collect_differences(
    path: String,
    before: Option<&Value>,
    after: Option<&Value>,
    differences: &mut Vec<TreeDifference>,
) {
    if before == after {
        return;
    }
    let (Some(Value::Object(old)), Some(Value::Object(new))) = (before, after) else {
        differences.push(TreeDifference { path, before: before.cloned(), after: after.cloned() });
        return;
    };
    let mut keys: Vec<&String> = old.keys().chain(new.keys()).collect();
    keys.sort();
    keys.dedup();
    for key in keys {
        let inner = if path.is_empty() { key.clone() } else { format!("{path}.{key}") };
        collect_differences(inner, old.get(key), new.get(key), differences);
    }
}
