//! The measures of the committed traces, which policies and recovery are judged by.

use micaspool_replay::generate::{generate, GenerateOptions};
use micaspool_replay::run::{replay, FaultKind, ReplayFault, ReplayOptions, ReplayReport};
use micaspool_replay::trace::RecordedTrace;
use std::io::Cursor;
use test_case::test_case;

const MILK: &str = include_str!("../../../traces/milk.jsonl");
const KILNS: &str = include_str!("../../../traces/kilns.jsonl");

fn trace(text: &str) -> RecordedTrace {
    RecordedTrace::read(Cursor::new(text)).expect("the committed trace is whole")
}

fn run(text: &str, policy: &str, faults: Vec<ReplayFault>) -> ReplayReport {
    let options = ReplayOptions { policy: policy.to_owned(), faults, ..ReplayOptions::default() };
    let report = replay(&trace(text), options);
    assert_eq!(report.unfinished, 0, "every request gets an answer");
    report
}

fn at(seconds: u64, kind: FaultKind) -> Vec<ReplayFault> {
    vec![ReplayFault { at_millis: seconds * 1_000, kind }]
}

#[test_case(MILK, GenerateOptions::milk(); "milk")]
#[test_case(KILNS, GenerateOptions::kilns(); "kilns")]
fn a_committed_trace_is_what_its_seed_gives(text: &str, options: GenerateOptions) {
    let mut bytes = Vec::new();
    generate(&options).write(&mut bytes).expect("writing to memory works");
    assert!(bytes == text.as_bytes(), "record the trace again");
}

#[test_case(MILK; "milk")]
#[test_case(KILNS; "kilns")]
fn the_gap_is_under_a_tenth_of_arrival_order_and_no_slot_idles(text: &str) {
    let ours = run(text, "progress", Vec::new());
    let baseline = run(text, "arrival", Vec::new());
    assert!(ours.gap_largest * 10.0 < baseline.gap_largest, "{} {}", ours.gap_largest, baseline.gap_largest);
    assert!(ours.utilisation >= 0.999, "{}", ours.utilisation);
    assert_eq!(ours.refused, 0);
}

#[test_case(MILK; "milk")]
#[test_case(KILNS; "kilns")]
fn a_lost_dispatcher_costs_no_request(text: &str) {
    let restored = run(text, "progress", at(100, FaultKind::DispatcherLost { restore_state: true }));
    let empty = run(text, "progress", at(100, FaultKind::DispatcherLost { restore_state: false }));
    assert_eq!((restored.refused, restored.retries), (0, 0));
    assert!(empty.retries > 0, "the baseline sends to full endpoints");
    assert!(restored.recovery_gap < empty.recovery_gap);
    assert!(restored.recovery_millis < Some(200.0));
}

#[test]
fn a_dispatcher_lost_twice_costs_no_request() {
    let kind = FaultKind::DispatcherLost { restore_state: true };
    let faults = [100_000, 100_050, 100_150, 130_000].map(|at_millis| ReplayFault { at_millis, kind });
    let report = run(MILK, "progress", faults.to_vec());
    assert_eq!((report.refused, report.retries), (0, 0));
}

#[test_case(MILK; "milk")]
#[test_case(KILNS; "kilns")]
fn losing_a_third_of_the_endpoints_does_not_multiply_traffic(text: &str) {
    let report = run(text, "progress", at(60, FaultKind::EndpointsLost { from: 0, count: 3 }));
    assert!(report.sent_ratio < 1.2, "{}", report.sent_ratio);
    assert!(report.utilisation >= 0.999, "{}", report.utilisation);
}

#[test]
fn known_prefixes_raise_the_hits_also_when_cache_events_are_lost() {
    let with_loss = |use_prefixes, cache_loss_percent| {
        let options = ReplayOptions { use_prefixes, cache_loss_percent, ..ReplayOptions::default() };
        replay(&trace(KILNS), options).prefix_hits
    };
    let by_load = with_loss(false, 0);
    assert!(with_loss(true, 0) > by_load + 0.05);
    assert!(with_loss(true, 60) > by_load + 0.05);
}

#[test]
fn a_replay_gives_the_same_figures_every_time() {
    let one = run(KILNS, "progress", Vec::new());
    let other = run(KILNS, "progress", Vec::new());
    assert_eq!(format!("{one:?}"), format!("{other:?}"));
}

#[test_case("", 1; "no header")]
#[test_case("{}", 1; "empty header")]
fn a_malformed_trace_names_its_line(text: &str, line: usize) {
    let error = RecordedTrace::read(Cursor::new(text)).expect_err("it is malformed");
    assert!(error.to_string().contains(&format!("line {line} ")), "{error}");
}
