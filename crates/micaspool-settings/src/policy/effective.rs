//! The effective policy values for a customer and a service, each with the layer that sets it.

use super::LAYER_FIELDS;
use serde_json::Value;

/// One effective policy value and the layer that sets it.
#[derive(Debug, Clone, PartialEq)]
pub struct EffectiveValue {
    /// The name of the policy field.
    pub field: &'static str,
    /// The value; `None` if the built-in default applies.
    pub value: Option<Value>,
    /// The path of the layer that sets the value, its keys joined by dots, or `built-in`.
    pub layer: String,
}

/// Returns the effective values for a customer and a service, one for each policy field, or `None` if the tree has no
/// such customer or service.
pub fn effective_values(tree: &Value, customer: &str, service: &str) -> Option<Vec<EffectiveValue>> {
    let paths = layer_paths(tree, customer, service)?;
    let values = LAYER_FIELDS.iter().map(|field| effective_value(tree, &paths, field));
    Some(values.collect())
}

/// Returns the paths of the policy layers in ascending order of precedence.
fn layer_paths(tree: &Value, customer: &str, service: &str) -> Option<Vec<Vec<String>>> {
    tree.get("services")?.get(service)?;
    let groups = tree.get("groups")?.as_object()?;
    let has_customer = |group: &Value| group.get("customers").and_then(|all| all.get(customer)).is_some();
    let (group, _) = groups.iter().find(|(_, group)| has_customer(group))?;
    let path = |keys: &[&str]| keys.iter().map(|key| (*key).to_owned()).collect::<Vec<String>>();
    Some(vec![
        path(&["policy"]),
        path(&["services", service, "policy"]),
        path(&["groups", group, "policy"]),
        path(&["groups", group, "customers", customer, "policy"]),
        path(&["groups", group, "customers", customer, "services", service]),
    ])
}

fn effective_value(tree: &Value, paths: &[Vec<String>], field: &'static str) -> EffectiveValue {
    for path in paths.iter().rev() {
        let node = path.iter().try_fold(tree, |value, key| value.get(key));
        if let Some(value) = node.and_then(|node| node.get(field)).filter(|value| !value.is_null()) {
            return EffectiveValue { field, value: Some(value.clone()), layer: path.join(".") };
        }
    }
    EffectiveValue { field, value: None, layer: "built-in".to_owned() }
}
