//! Verdicts on arrivals in every state of their calls, and the bounds of the ledger.

use micaspool_ledger::{
    BodyDigest, ClaimCommand, ClaimKey, ClaimToken, ClaimVerdict, FinishCommand, FinishKind, LedgerOptions,
    LedgerState, LedgerTime, StoredAnswer,
};
use micaspool_types::CustomerName;
use std::time::Duration;
use test_case::test_case;

const HOUR: u64 = 3_600_000;

fn key(text: &str) -> ClaimKey {
    ClaimKey { customer: CustomerName::parse("coop-01").expect("the name is well-formed"), key: text.into() }
}

fn claim(text: &str, token: u64, at: u64) -> ClaimCommand {
    ClaimCommand { key: key(text), body: BodyDigest([1; 32]), token: ClaimToken(token), at: LedgerTime(at) }
}

fn finish(text: &str, token: u64, kind: FinishKind, at: u64) -> FinishCommand {
    FinishCommand { key: key(text), token: ClaimToken(token), kind, at: LedgerTime(at) }
}

fn answer(bytes: usize) -> StoredAnswer {
    StoredAnswer { status: 200, content_type: "application/json".to_owned(), body: vec![7; bytes] }
}

#[test_case(None, ClaimVerdict::Running; "still running")]
#[test_case(Some(FinishKind::Released), ClaimVerdict::Granted; "released because nothing was sent")]
#[test_case(Some(FinishKind::Unknown), ClaimVerdict::MayHaveRun; "outcome lost")]
#[test_case(Some(FinishKind::Answered(answer(3))), ClaimVerdict::Done(answer(3)); "answered")]
#[test_case(Some(FinishKind::Answered(answer(300 * 1024))), ClaimVerdict::AnswerDropped; "answer too large")]
fn the_verdict_on_a_second_arrival_depends_on_the_outcome(end: Option<FinishKind>, expected: ClaimVerdict) {
    let mut ledger = LedgerState::new(LedgerOptions::default());
    assert_eq!(ledger.claim(&claim("k", 1, 0)), ClaimVerdict::Granted);
    if let Some(kind) = end {
        ledger.finish(&finish("k", 1, kind, 10));
    }
    assert_eq!(ledger.claim(&claim("k", 2, 20)), expected);
}

#[test]
fn a_resent_arrival_is_granted_again() {
    let mut ledger = LedgerState::new(LedgerOptions::default());
    assert_eq!(ledger.claim(&claim("k", 1, 0)), ClaimVerdict::Granted);
    assert_eq!(ledger.claim(&claim("k", 1, 5)), ClaimVerdict::Granted);
}

#[test]
fn a_key_with_another_body_is_refused() {
    let mut ledger = LedgerState::new(LedgerOptions::default());
    ledger.claim(&claim("k", 1, 0));
    let other = ClaimCommand { body: BodyDigest([2; 32]), ..claim("k", 2, 1) };
    assert_eq!(ledger.claim(&other), ClaimVerdict::KeyReused);
}

#[test]
fn a_call_that_never_ends_may_have_run() {
    let mut ledger = LedgerState::new(LedgerOptions::default());
    ledger.claim(&claim("k", 1, 0));
    assert_eq!(ledger.claim(&claim("k", 2, HOUR)), ClaimVerdict::MayHaveRun);
    ledger.finish(&finish("k", 1, FinishKind::Answered(answer(1)), HOUR + 1));
    assert_eq!(ledger.claim(&claim("k", 3, HOUR + 2)), ClaimVerdict::Done(answer(1)));
}

#[test]
fn only_the_claiming_arrival_can_finish_a_call() {
    let mut ledger = LedgerState::new(LedgerOptions::default());
    ledger.claim(&claim("k", 1, 0));
    ledger.finish(&finish("k", 2, FinishKind::Released, 1));
    assert_eq!(ledger.claim(&claim("k", 3, 2)), ClaimVerdict::Running);
}

#[test]
fn a_late_release_does_not_free_a_call_that_may_have_run() {
    let mut ledger = LedgerState::new(LedgerOptions::default());
    ledger.claim(&claim("k", 1, 0));
    ledger.finish(&finish("k", 1, FinishKind::Unknown, 1));
    ledger.finish(&finish("k", 1, FinishKind::Released, 2));
    assert_eq!(ledger.claim(&claim("k", 2, 3)), ClaimVerdict::MayHaveRun);
}

#[test]
fn a_clock_that_steps_back_drops_nothing() {
    let mut ledger = LedgerState::new(LedgerOptions::default());
    ledger.claim(&claim("k", 1, 100 * HOUR));
    ledger.finish(&finish("k", 1, FinishKind::Answered(answer(1)), HOUR));
    assert_eq!(ledger.claim(&claim("k", 2, 101 * HOUR)), ClaimVerdict::Done(answer(1)));
}

#[test]
fn keys_expire_after_their_retention() {
    let mut ledger = LedgerState::new(LedgerOptions::default());
    ledger.claim(&claim("k", 1, 0));
    ledger.finish(&finish("k", 1, FinishKind::Answered(answer(9)), 0));
    assert_eq!(ledger.claim(&claim("k", 2, 24 * HOUR)), ClaimVerdict::Granted);
    assert_eq!(ledger.answer_bytes(), 0);
}

#[test]
fn a_full_ledger_refuses_new_keys_and_keeps_old_ones() {
    let options = LedgerOptions { max_keys: 2, ..LedgerOptions::default() };
    let mut ledger = LedgerState::new(options);
    ledger.claim(&claim("a", 1, 0));
    ledger.claim(&claim("b", 2, 0));
    assert_eq!(ledger.claim(&claim("c", 3, 0)), ClaimVerdict::Full);
    assert_eq!(ledger.claim(&claim("a", 4, 0)), ClaimVerdict::Running);
}

#[test]
fn the_oldest_answers_are_dropped_first_and_their_keys_stay() {
    let options = LedgerOptions { max_answer_bytes: 100, ..LedgerOptions::default() };
    let mut ledger = LedgerState::new(options);
    for (number, text) in ["a", "b", "c"].into_iter().enumerate() {
        let token = number as u64;
        ledger.claim(&claim(text, token, 0));
        ledger.finish(&finish(text, token, FinishKind::Answered(answer(40)), 0));
    }
    assert_eq!(ledger.claim(&claim("a", 9, 1)), ClaimVerdict::AnswerDropped);
    assert_eq!(ledger.claim(&claim("c", 9, 1)), ClaimVerdict::Done(answer(40)));
    assert_eq!(ledger.answer_bytes(), 80);
}

#[test]
fn the_number_of_ended_keys_is_bounded_by_retention() {
    let options = LedgerOptions { retention: Duration::from_secs(1), ..LedgerOptions::default() };
    let mut ledger = LedgerState::new(options);
    for number in 0..1_000_u64 {
        let text = number.to_string();
        ledger.claim(&claim(&text, number, number * 10));
        ledger.finish(&finish(&text, number, FinishKind::Unknown, number * 10));
    }
    assert!(ledger.len() <= 101);
}

/// A router releases a claim that got no answer in time. If the release overtakes the claim, the late claim must not
/// hold the key: the arrival is over, and the next one gets the key.
#[test]
fn a_claim_after_its_own_release_does_not_hold_the_key() {
    let mut ledger = LedgerState::new(LedgerOptions::default());
    ledger.finish(&finish("k", 1, FinishKind::Released, 0));
    assert_eq!(ledger.claim(&claim("k", 1, 10)), ClaimVerdict::Running);
    assert_eq!(ledger.claim(&claim("k", 2, 20)), ClaimVerdict::Granted);
    assert_eq!(ledger.claim(&claim("k", 1, 30)), ClaimVerdict::Running, "the second arrival runs it");
}

/// An early release is remembered only for as long as its claim may be in flight.
#[test]
fn early_releases_expire() {
    let options = LedgerOptions::default();
    let mut ledger = LedgerState::new(options);
    ledger.finish(&finish("k", 1, FinishKind::Released, 0));
    let later = options.running_limit.as_millis() as u64 + 1;
    assert_eq!(ledger.claim(&claim("other", 9, later)), ClaimVerdict::Granted);
    assert_eq!(ledger.early_release_count(), 0);
}

#[test]
fn the_number_of_early_releases_is_bounded() {
    let mut ledger = LedgerState::new(LedgerOptions { max_keys: 10, ..LedgerOptions::default() });
    for token in 0..100 {
        ledger.finish(&finish("k", token, FinishKind::Released, token));
    }
    assert_eq!(ledger.early_release_count(), 10);
}
