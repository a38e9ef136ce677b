//! Combining a tree with a patch (JSON Merge Patch, RFC 7396).

use serde_json::{Map, Value};

/// Changes `target` as `patch` says: objects merge, null removes, anything else replaces.
pub fn merge_patch(target: &mut Value, patch: &Value) {
    let Value::Object(changes) = patch else {
        *target = patch.clone();
        return;
    };
    if !target.is_object() {
        *target = Value::Object(Map::new());
    }
    let members = target.as_object_mut().expect("the target was made an object above");
    for (key, change) in changes {
        if change.is_null() {
            members.remove(key);
        } else {
            merge_patch(members.entry(key.clone()).or_insert(Value::Null), change);
        }
    }
}
