//! Expecting output lengths from what callers state.

use micaspool_engine::{OutputEstimate, StatedOutput};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use test_case::test_case;

/// Guards against a capacity that follows from guesses as they are: right in the median, and off by up to
/// `factor` either way, their sum is too high.
#[test_case(1.0; "exact")]
#[test_case(3.0; "off by up to three times")]
#[test_case(8.0; "off by up to eight times")]
fn the_sum_of_expected_lengths_is_right(factor: f64) {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut estimate = OutputEstimate::default();
    let (mut expected, mut seen) = (0.0, 0.0);
    for number in 0..4_000 {
        let real = rng.random_range(24..440_u64);
        let hint = (real as f64 * factor.powf(rng.random_range(-1.0..=1.0))).max(1.0) as u64;
        let stated = StatedOutput { most: 1_024, hint };
        if number >= 1_000 {
            expected += estimate.expect(&stated).expect("a stated output");
            seen += real as f64;
        }
        estimate.observe(&stated, real);
    }
    assert!((0.85..1.15).contains(&(expected / seen)), "{}", expected / seen);
}

/// Guards against taking upper limits for expected lengths, and against one correction for limits and guesses.
#[test]
fn limits_alone_are_corrected() {
    let mut estimate = OutputEstimate::default();
    let stated = StatedOutput { most: 1_000, hint: 0 };
    assert_eq!(estimate.expect(&stated), Some(1_000.0));
    (0..500).for_each(|_| estimate.observe(&stated, 250));
    let expected = estimate.expect(&stated).expect("a stated output");
    assert!((230.0..280.0).contains(&expected), "{expected}");
    let with_hint = StatedOutput { most: 1_000, hint: 400 };
    assert_eq!(estimate.expect(&with_hint), Some(400.0), "guesses are corrected apart");
}

/// Guards against an expectation beyond the stated limit, below one token, or out of nothing.
#[test]
fn an_expectation_is_within_what_is_stated() {
    let mut estimate = OutputEstimate::default();
    assert_eq!(estimate.expect(&StatedOutput::default()), None);
    assert_eq!(estimate.expect(&StatedOutput { most: 100, hint: 5_000 }), Some(100.0));
    (0..500).for_each(|_| estimate.observe(&StatedOutput { most: 0, hint: 100 }, 0));
    assert_eq!(estimate.expect(&StatedOutput { most: 0, hint: 10 }), Some(1.0), "at least one token");
}
