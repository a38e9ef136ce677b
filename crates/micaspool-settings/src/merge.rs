//! JSON Merge Patch (RFC 7396).

use serde_json::{Map, Value};

/// Applies `patch` to `target`: objects are merged, null removes a member, and any other value replaces the old one.
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
