//! Replays of the committed traces: fairness, utilisation, recovery and prefix hits stay within their bounds.

use micaspool_replay::generate::{generate, GenerateOptions};
use micaspool_replay::run::{replay, FaultKind, ReplayFault, ReplayOptions, ReplayReport};
use micaspool_replay::trace::RecordedTrace;
use std::io::Cursor;
use test_case::test_case;

const MILK: &str = include_str!("../../../traces/milk.jsonl");
const KILNS: &str = include_str!("../../../traces/kilns.jsonl");

fn trace(text: &str) -> RecordedTrace {
    RecordedTrace::read(Cursor::new(text)).expect("the committed trace is well-formed")
}

fn run(text: &str, policy: &str, faults: Vec<ReplayFault>) -> ReplayReport {
    let options = ReplayOptions { policy: policy.to_owned(), faults, ..ReplayOptions::default() };
    let report = replay(&trace(text), options);
    assert_eq!(report.unfinished, 0, "every request completes or is refused");
    report
}

fn at(seconds: u64, kind: FaultKind) -> Vec<ReplayFault> {
    vec![ReplayFault { at_millis: seconds * 1_000, kind }]
}

#[test_case(MILK, GenerateOptions::milk(); "milk")]
#[test_case(KILNS, GenerateOptions::kilns(); "kilns")]
fn committed_traces_match_their_seeds(text: &str, options: GenerateOptions) {
    let mut bytes = Vec::new();
    generate(&options).write(&mut bytes).expect("writing to memory works");
    assert!(bytes == text.as_bytes(), "the committed trace differs from its seed; record it again");
}

#[test_case(MILK; "milk")]
#[test_case(KILNS; "kilns")]
fn the_fairness_gap_is_under_a_tenth_of_arrival_order_at_full_utilisation(text: &str) {
    let progress = run(text, "progress", Vec::new());
    let arrival = run(text, "arrival", Vec::new());
    assert!(
        progress.gap_largest * 10.0 < arrival.gap_largest,
        "{} {}",
        progress.gap_largest,
        arrival.gap_largest
    );
    assert!(progress.utilisation >= 0.999, "{}", progress.utilisation);
    assert_eq!(progress.refused, 0);
}

#[test_case(MILK; "milk")]
#[test_case(KILNS; "kilns")]
fn a_lost_dispatcher_causes_no_refusal_or_retry(text: &str) {
    let restored = run(text, "progress", at(100, FaultKind::DispatcherLost { restore_state: true }));
    let empty = run(text, "progress", at(100, FaultKind::DispatcherLost { restore_state: false }));
    assert_eq!((restored.refused, restored.retries), (0, 0));
    assert!(empty.retries > 0, "a dispatcher without restored state sends to full endpoints");
    assert!(restored.recovery_gap < empty.recovery_gap);
    assert!(restored.recovery_millis < Some(200.0));
}

#[test]
fn repeated_losses_of_the_dispatcher_cause_no_refusal_or_retry() {
    let kind = FaultKind::DispatcherLost { restore_state: true };
    let faults = [100_000, 100_050, 100_150, 130_000].map(|at_millis| ReplayFault { at_millis, kind });
    let report = run(MILK, "progress", faults.to_vec());
    assert_eq!((report.refused, report.retries), (0, 0));
}

#[test_case(MILK; "milk")]
#[test_case(KILNS; "kilns")]
fn losing_a_third_of_the_endpoints_adds_few_attempts(text: &str) {
    let report = run(text, "progress", at(60, FaultKind::EndpointsLost { from: 0, count: 3 }));
    assert!(report.sent_ratio < 1.2, "{}", report.sent_ratio);
    assert!(report.utilisation >= 0.999, "{}", report.utilisation);
}

#[test]
fn routing_by_prefix_raises_the_hit_rate_despite_lost_cache_events() {
    let with_loss = |use_prefixes, cache_loss_percent| {
        let options = ReplayOptions { use_prefixes, cache_loss_percent, ..ReplayOptions::default() };
        replay(&trace(KILNS), options).prefix_hits
    };
    let by_load = with_loss(false, 0);
    assert!(with_loss(true, 0) > by_load + 0.05);
    assert!(with_loss(true, 60) > by_load + 0.05);
}

#[test]
fn replays_are_deterministic() {
    let first = run(KILNS, "progress", Vec::new());
    let second = run(KILNS, "progress", Vec::new());
    assert_eq!(format!("{first:?}"), format!("{second:?}"));
}

#[test_case("", 1; "no header")]
#[test_case("{}", 1; "empty header")]
fn errors_of_malformed_traces_name_the_line(text: &str, line: usize) {
    let error = RecordedTrace::read(Cursor::new(text)).expect_err("it is malformed");
    assert!(error.to_string().contains(&format!("line {line} ")), "{error}");
}
