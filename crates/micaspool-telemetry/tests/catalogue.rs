//! Tests that the event catalogue and `docs/EVENTS.md` list the same events, and how spans are parsed and written.

use micaspool_telemetry::events::CATALOGUE;
use micaspool_telemetry::spans::SpanSink;
use std::collections::BTreeSet;

const PAGE: &str = include_str!("../../../docs/EVENTS.md");

fn page_numbers() -> BTreeSet<String> {
    let rows = PAGE.lines().filter_map(|line| line.strip_prefix("| MP"));
    rows.map(|row| format!("MP{}", row.split_whitespace().next().expect("a number"))).collect()
}

#[test]
fn the_page_and_the_catalogue_list_the_same_events() {
    let code: BTreeSet<String> = CATALOGUE.iter().map(|kind| kind.number.to_owned()).collect();
    assert_eq!(code.len(), CATALOGUE.len(), "an event number is used twice");
    assert_eq!(code, page_numbers());
}

#[test]
fn a_span_continues_the_callers_trace_and_is_written_with_its_fields() {
    let path = std::env::temp_dir().join(format!("micaspool-spans-{}", std::process::id()));
    let sink = SpanSink::open(Some(&path), "entry-1").expect("the file opens");
    let parent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
    let mut span = sink.start("router", Some(parent));
    span.set("customer", "coop-01");
    let own = span.traceparent();
    drop(span);
    let text = std::fs::read_to_string(&path).expect("the file is there");
    let _ = std::fs::remove_file(&path);
    assert!(own.starts_with("00-0af7651916cd43dd8448eb211c80319c-"));
    assert!(
        text.contains("\"parent\":\"b7ad6b7169203331\"") && text.contains("\"customer\":\"coop-01\""),
        "{text}"
    );
}

#[test]
fn a_malformed_traceparent_starts_a_new_trace() {
    let sink = SpanSink::open(None, "entry-1").expect("no file is needed");
    for parent in ["", "00-zz-b7ad6b7169203331-01", "00-00000000000000000000000000000000-0000000000000000-00"]
    {
        let span = sink.start("router", Some(parent));
        assert!(!span.traceparent().contains("00000000000000000000000000000000"));
    }
}
