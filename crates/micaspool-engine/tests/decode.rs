//! Learning the step time from the progress of streams.

use micaspool_engine::{DecodeRate, PrefillClock, PrefillWork, StreamMark, StreamSpan};
use micaspool_types::Moment;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;
use test_case::test_case;

const CHUNK_TOKENS: f64 = 2_048.0;
/// Milliseconds of a chunk, with the step after it.
const CHUNK_MILLIS: f64 = 40.0;

/// A span of `steps` pure steps and some chunks of prefill, whose time is known to `noise` of itself.
fn span(rng: &mut ChaCha8Rng, steps: u64, step_millis: f64, chunks: u64, noise: f64) -> StreamSpan {
    let prefill = chunks as f64 * CHUNK_MILLIS;
    let took = steps as f64 * step_millis + prefill;
    let known = prefill * (1.0 + rng.random_range(-noise..=noise));
    StreamSpan {
        tokens: steps + chunks,
        took: Duration::from_secs_f64(took / 1_000.0),
        prefill: PrefillWork { micros: known * 1_000.0, tokens: chunks as f64 * CHUNK_TOKENS },
    }
}

fn learn(rate: &mut DecodeRate, rng: &mut ChaCha8Rng, count: u64, step_millis: f64, noise: f64) {
    for _ in 0..count {
        let chunks = rng.random_range(0..6);
        let span = span(rng, 64 - chunks, step_millis, chunks, noise);
        rate.observe(&span);
    }
}

fn millis(rate: &DecodeRate) -> f64 {
    rate.per_step().expect("an observed rate") / 1_000.0
}

/// Guards against counting prefill as decode, which makes a busy engine appear several times slower than it is.
#[test_case(3.79, 0.0; "exact prefill times")]
#[test_case(3.79, 0.4; "prefill times known to 40 percent")]
#[test_case(12.0, 0.4; "a slower engine")]
fn prefill_is_told_apart_from_steps(step_millis: f64, noise: f64) {
    for seed in 0..20 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut rate = DecodeRate::default();
        learn(&mut rate, &mut rng, 100, step_millis, noise);
        let learnt = millis(&rate);
        assert!((0.85..1.15).contains(&(learnt / step_millis)), "seed {seed}: {learnt} of {step_millis}");
    }
}

/// Guards against a step time that lags behind a slow period of an engine, or behind its end, for more than 40
/// spans.
#[test_case(2.5)]
#[test_case(6.0)]
fn a_change_of_speed_is_followed(times: f64) {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut rate = DecodeRate::default();
    learn(&mut rate, &mut rng, 100, 4.0, 0.2);
    for step_millis in [4.0 * times, 4.0] {
        learn(&mut rate, &mut rng, 40, step_millis, 0.2);
        let learnt = millis(&rate);
        assert!((0.75..1.25).contains(&(learnt / step_millis)), "{learnt} of {step_millis}");
    }
}

/// Guards against a late report of a paused router that makes an engine appear slow for long.
#[test]
fn a_late_report_has_no_lasting_effect() {
    let mut rng = ChaCha8Rng::seed_from_u64(2);
    let mut rate = DecodeRate::default();
    learn(&mut rate, &mut rng, 100, 4.0, 0.2);
    let late = StreamSpan { took: Duration::from_secs(30), ..span(&mut rng, 64, 4.0, 0, 0.0) };
    rate.observe(&late);
    assert!(millis(&rate) < 10.0, "{}", millis(&rate));
    learn(&mut rate, &mut rng, 40, 4.0, 0.2);
    assert!((0.8..1.3).contains(&(millis(&rate) / 4.0)), "{}", millis(&rate));
}

/// Guards against a step time that depends on how many reports arrive: missing ones make spans longer, and
/// repeated or outdated ones are no spans.
#[test]
fn missing_and_repeated_reports_change_nothing() {
    let mark =
        |at: u64, tokens: u64| StreamMark::new(Moment::from_millis(at), tokens, PrefillWork::default());
    let (mut all, mut few) = (DecodeRate::default(), DecodeRate::default());
    let (mut frequent, mut sparse) = (mark(0, 8), mark(0, 8));
    for number in 1..=100_u64 {
        let newer = mark(number * 256, 8 + number * 64);
        frequent.advance(newer).into_iter().for_each(|span| all.observe(&span));
        assert_eq!(frequent.advance(newer), None, "a repeated report");
        assert_eq!(frequent.advance(mark(number * 256, 8)), None, "an outdated report");
        if number.is_multiple_of(5) {
            sparse.advance(newer).into_iter().for_each(|span| few.observe(&span));
        }
    }
    assert!((millis(&all) - 4.0).abs() < 0.1, "{}", millis(&all));
    assert!((millis(&few) - 4.0).abs() < 0.1, "{}", millis(&few));
}

/// Guards against an infinitely fast engine: where more prefill is assumed than was done, pure steps seem to
/// take no time.
#[test]
fn the_step_time_stays_above_its_floor() {
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let mut rate = DecodeRate::default();
    learn(&mut rate, &mut rng, 50, 4.0, 0.0);
    for _ in 0..200 {
        let span = span(&mut rng, 64, 4.0, 0, 0.0);
        let prefill = PrefillWork { micros: 400_000.0, tokens: 10_000.0 };
        rate.observe(&StreamSpan { prefill, ..span });
        assert!(millis(&rate) >= 0.2, "{}", millis(&rate));
    }
    learn(&mut rate, &mut rng, 60, 4.0, 0.0);
    assert!((0.8..1.2).contains(&(millis(&rate) / 4.0)), "{}", millis(&rate));
}

/// Guards against a step time from the few tokens of one event, which arrive together.
#[test]
fn a_few_steps_are_no_observation() {
    let mut rate = DecodeRate::default();
    let span = StreamSpan { tokens: 8, took: Duration::from_millis(1), prefill: PrefillWork::default() };
    rate.observe(&span);
    assert_eq!((rate.per_step(), rate.observations()), (None, 0));
}

/// Guards against a step time from noise, while an engine prefills without a break and shows no pure steps.
#[test]
fn without_pure_steps_the_last_value_stays() {
    let mut rng = ChaCha8Rng::seed_from_u64(4);
    let mut rate = DecodeRate::default();
    learn(&mut rate, &mut rng, 50, 4.0, 0.0);
    for _ in 0..500 {
        let span = span(&mut rng, 0, 4.0, 16, 0.0);
        rate.observe(&span);
    }
    assert!((0.8..1.2).contains(&(millis(&rate) / 4.0)), "{}", millis(&rate));
}

/// Guards against an assumption that replaces what an engine has shown itself.
#[test]
fn an_assumption_ends_with_the_first_observations() {
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    let mut rate = DecodeRate::default();
    assert_eq!(rate.per_step(), None);
    rate.assume(Some(9_000.0));
    assert_eq!((rate.per_step(), rate.settled_per_step()), (Some(9_000.0), None));
    learn(&mut rate, &mut rng, 20, 4.0, 0.0);
    rate.assume(Some(9_000.0));
    assert!((0.8..1.2).contains(&(millis(&rate) / 4.0)), "{}", millis(&rate));
    assert!(rate.settled_per_step().is_some());
}

/// Guards against prefill that is counted only once a prompt is done, or beyond its size while it is late.
#[test]
fn the_clock_counts_pending_prompts_in_part() {
    let mut clock = PrefillClock::default();
    clock.complete(2_000, Duration::from_millis(40), Duration::from_millis(40));
    let total = clock.total(Duration::from_millis(10), Duration::from_millis(40), 2_000);
    assert_eq!(total, PrefillWork { micros: 50_000.0, tokens: 2_500.0 });
    let overdue = clock.total(Duration::from_secs(10), Duration::from_millis(40), 2_000);
    assert_eq!(overdue, PrefillWork { micros: 80_000.0, tokens: 4_000.0 });
    clock.complete(2_000, Duration::from_secs(30), Duration::from_millis(40));
    assert!(
        clock.total(Duration::ZERO, Duration::ZERO, 0).micros < 300_000.0,
        "a late first event is clipped"
    );
}
