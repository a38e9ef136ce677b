//! Validation, inheritance and changes of settings trees, and validation of process files.

use micaspool_settings::apply::{Error, SettingsChange, SettingsState, REMEMBERED_CHANGES};
use micaspool_settings::diff::diff_trees;
use micaspool_settings::document::SettingsFault;
use micaspool_settings::merge::merge_patch;
use micaspool_settings::policy::{compile_tree, effective_values};
use micaspool_settings::process::{read_value, ProcessRole};
use micaspool_types::{HallMask, Revision};
use serde_json::{json, Value};
use std::time::Duration;
use test_case::test_case;

const MILK: &str = include_str!("../../../examples/milk/tree.json");
const KILNS: &str = include_str!("../../../examples/kilns/tree.json");

fn milk() -> Value {
    serde_json::from_str(MILK).expect("the example is JSON")
}

fn faults(tree: &Value) -> Vec<SettingsFault> {
    compile_tree(Revision(1), tree).expect_err("the input has faults")
}

#[test_case(MILK; "milk")]
#[test_case(KILNS; "kilns")]
fn the_example_trees_are_valid_and_have_sixteen_customers(text: &str) {
    let tree = serde_json::from_str(text).expect("the example is JSON");
    let policy = compile_tree(Revision(1), &tree).expect("the tree is valid");
    assert_eq!((policy.customers.len(), policy.halls.len(), policy.services.len()), (16, 3, 2));
}

#[test]
fn each_layer_overrides_only_what_it_sets() {
    let tree = json!({
        "policy": { "weight": 2, "max_waiting": 10, "wait_limit_ms": 1000 },
        "halls": { "a": { "region": "r" }, "b": { "region": "r" }, "c": { "region": "s" } },
        "services": { "m": { "kind": "model", "endpoints": {}, "policy": { "max_waiting": 20, "halls": ["r"] } } },
        "groups": { "g": { "policy": { "weight": 3 }, "customers": {
            "plain": {},
            "own": { "policy": { "weight": 5 }, "services": { "m": { "halls": ["c"] } } },
        } } },
    });
    let policy = compile_tree(Revision(1), &tree).expect("the tree is valid");
    let policy_of = |name: &str| {
        let customer = policy.customers.iter().position(|customer| customer.name.as_str() == name);
        policy.request_policy(customer.expect("the customer exists"), 0).clone()
    };
    let (plain, own) = (policy_of("plain"), policy_of("own"));
    assert_eq!((plain.weight.get(), plain.max_waiting, plain.halls), (3, 20, HallMask(0b011)));
    assert_eq!((own.weight.get(), own.max_waiting, own.halls), (5, 20, HallMask(0b100)));
    assert_eq!(own.wait_limit, Duration::from_secs(1));
    let values = effective_values(&tree, "own", "m").expect("customer and service exist");
    let layer =
        |field: &str| values.iter().find(|value| value.field == field).expect("a field").layer.clone();
    assert_eq!(layer("weight"), "groups.g.customers.own.policy");
    assert_eq!(layer("max_waiting"), "services.m.policy");
    assert_eq!(layer("priority"), "built-in");
}

#[test_case(json!({"policy": {"weight": 0}}), "policy.weight"; "weight of zero")]
#[test_case(json!({"policy": {"colour": 1}}), "policy"; "unknown field")]
#[test_case(json!({"halls": {"a": {}}}), "halls.a"; "hall without region")]
#[test_case(json!({"halls": {"a b": {"region": "r"}}}), "halls.a b"; "malformed name")]
#[test_case(json!({"policy": {"halls": ["nowhere"]}}), "policy.halls"; "unknown hall")]
#[test_case(json!({"services": {"s": {"kind": "x"}}}), "services.s.kind"; "unknown kind")]
#[test_case(json!({"services": {"s": {"kind": "plain"}}}), "services.s"; "plain without prefix")]
#[test_case(json!({"services": {"s": {"kind": "model", "once": ["POST"]}}}), "services.s.once"; "malformed once rule")]
#[test_case(json!({"groups": {"g": {"customers": {"c": {"keys_sha256": ["zz"]}}}}}), "groups.g.customers.c.keys_sha256"; "malformed key")]
#[test_case(json!({"groups": {"g": {"customers": {"c": {"services": {"no": {}}}}}}}), "groups.g.customers.c.services.no"; "unknown service")]
#[test_case(json!([]), "."; "not an object")]
fn each_fault_names_its_path(tree: Value, path: &str) {
    let reported = faults(&tree);
    assert!(reported.iter().any(|fault| fault.path == path), "{reported:?}");
}

#[test]
fn every_fault_is_reported_at_once() {
    let tree = json!({"policy": {"weight": 0, "priority": 77}, "services": {"s": {"kind": "x"}}, "extra": 1});
    assert_eq!(faults(&tree).len(), 4);
}

#[test]
fn a_key_shared_by_two_customers_is_rejected() {
    let mut tree = milk();
    let key = tree["groups"]["large-co-ops"]["customers"]["coop-01"]["keys_sha256"].clone();
    tree["groups"]["large-co-ops"]["customers"]["coop-02"]["keys_sha256"] = key;
    assert_eq!(faults(&tree).len(), 1);
}

#[test]
fn customers_are_found_by_key_and_services_by_the_longest_prefix() {
    let policy = compile_tree(Revision(1), &milk()).expect("the tree is valid");
    let customer = policy.customer_of_key("demo-farm-03").expect("a known key");
    assert_eq!(policy.customers[customer].name.as_str(), "farm-03");
    assert_eq!(policy.customer_of_key("demo-farm-3"), None);
    let service = policy.service_of_path("/rutas/x").expect("a known path");
    assert_eq!(policy.services[service].name.as_str(), "app-rutas");
    assert_eq!(policy.service_of_path("/other"), None);
}

#[test]
fn a_patch_merges_removes_and_replaces() {
    let mut tree = json!({"a": {"b": 1, "c": 2}, "d": [1]});
    merge_patch(&mut tree, &json!({"a": {"b": null, "e": {"f": 3}}, "d": [2]}));
    assert_eq!(tree, json!({"a": {"c": 2, "e": {"f": 3}}, "d": [2]}));
    let paths: Vec<String> =
        diff_trees(&json!({"a": {"b": 1}}), &json!({"a": {"c": 1}})).into_iter().map(|d| d.path).collect();
    assert_eq!(paths, vec!["a.b", "a.c"]);
}

fn change(id: &str, base: u64, weight: u64) -> SettingsChange {
    let patch = json!({"policy": {"weight": weight}}).to_string();
    SettingsChange { id: id.to_owned(), operator: "op".to_owned(), base: Revision(base), patch }
}

#[test]
fn a_resend_gets_the_first_outcome_even_after_a_restart() {
    let mut state = SettingsState::default();
    assert_eq!(state.accept(&change("one", 0, 2)), Ok(Revision(1)));
    assert_eq!(state.accept(&change("two", 1, 3)), Ok(Revision(2)));
    let bytes = serde_json::to_vec(&state).expect("it can be encoded");
    let mut state: SettingsState = serde_json::from_slice(&bytes).expect("it can be decoded");
    assert_eq!(state.accept(&change("one", 0, 2)), Ok(Revision(1)));
    assert!(matches!(state.accept(&change("one", 0, 9)), Err(Error::IdTaken { .. })));
    assert_eq!(state.revision(), Revision(2));
}

#[test]
fn a_conflict_names_the_accepted_change() {
    let mut state = SettingsState::default();
    state.accept(&change("winner", 0, 2)).expect("accepted");
    let error = state.accept(&change("loser", 0, 3)).expect_err("a conflict");
    assert!(error.to_string().contains("change winner of op"), "{error}");
}

#[test]
fn check_rejects_invalid_changes() {
    let state = SettingsState::default();
    assert!(matches!(state.check(&change("bad", 0, 0)), Err(Error::Invalid(_))));
    let malformed = SettingsChange { patch: "{".to_owned(), ..change("bad", 0, 1) };
    assert!(matches!(state.check(&malformed), Err(Error::Malformed(_))));
}

#[test]
fn a_watcher_gets_patches_or_the_whole_tree_if_far_behind() {
    let mut state = SettingsState::default();
    for number in 0..300 {
        state.accept(&change(&number.to_string(), number, 1 + number)).expect("accepted");
    }
    assert_eq!(state.updates_since(Revision(290)).len(), 10);
    let snapshot = state.updates_since(Revision(1));
    assert_eq!((snapshot.len(), snapshot[0].revision, snapshot[0].tree.is_some()), (1, Revision(300), true));
    assert!(state.updates_since(Revision(300)).is_empty());
    assert!(state.updates_since(Revision(999)).is_empty(), "a watcher that is ahead gets no updates");
}

#[test]
fn the_history_is_bounded() {
    let mut state = SettingsState::default();
    for number in 0..REMEMBERED_CHANGES as u64 + 50 {
        state.accept(&change(&number.to_string(), number, 1)).expect("accepted");
    }
    assert_eq!(state.history().count(), REMEMBERED_CHANGES);
}

#[test]
fn every_fault_of_a_process_file_is_reported_at_once() {
    let file =
        json!({"instance": "a b", "keepers": [{"name": "x"}], "log_level": "loud", "status": "localhost:1"});
    let reported = read_value(&file, ProcessRole::Keeper).expect_err("the input has faults");
    let paths: Vec<&str> = reported.iter().map(|fault| fault.path.as_str()).collect();
    for path in ["instance", "keepers", "log_level", "status", "."] {
        assert!(paths.contains(&path), "{path} is not in {paths:?}");
    }
}

#[test_case(include_str!("../../../examples/milk/keeper-1.json"), ProcessRole::Keeper; "keeper")]
#[test_case(include_str!("../../../examples/kilns/dispatcher-2.json"), ProcessRole::Dispatcher; "dispatcher")]
#[test_case(include_str!("../../../examples/milk/router-3.json"), ProcessRole::Router; "router")]
fn the_example_process_files_are_valid(text: &str, role: ProcessRole) {
    let file = serde_json::from_str(text).expect("the example is JSON");
    assert!(read_value(&file, role).is_ok());
}
