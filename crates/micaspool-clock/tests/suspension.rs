//! Detection of suspensions, and arithmetic of boot instants.

use micaspool_clock::{BootInstant, ClockPair, SuspensionWatch};
use std::time::Duration;
use test_case::test_case;

fn pair(boot: u64, monotonic: u64) -> ClockPair {
    ClockPair { boot: Duration::from_millis(boot), monotonic: Duration::from_millis(monotonic) }
}

#[test_case(&[(1_000, 900), (2_000, 1_900)] => Vec::<u64>::new(); "none after one before the first reading")]
#[test_case(&[(1_000, 1_000), (9_000, 9_000)] => Vec::<u64>::new(); "a stopped process")]
#[test_case(&[(1_000, 1_000), (6_050, 1_050)] => vec![5_000]; "five seconds")]
#[test_case(&[(1_000, 1_000), (1_140, 1_100), (1_300, 1_260)] => Vec::<u64>::new(); "below the threshold")]
#[test_case(&[(1_000, 1_000), (1_130, 1_100), (1_260, 1_200)] => vec![60]; "two short suspensions add up")]
#[test_case(&[(1_000, 1_000), (3_000, 1_000), (4_000, 2_000), (7_000, 3_000)] => vec![2_000, 2_000]; "two suspensions")]
fn suspensions_are_detected_from_the_difference_of_the_clocks(readings: &[(u64, u64)]) -> Vec<u64> {
    let mut pairs = readings.iter().map(|(boot, monotonic)| pair(*boot, *monotonic));
    let mut watch = SuspensionWatch::new(pairs.next().expect("there are readings"));
    let lengths = pairs.filter_map(|now| watch.observe(now));
    lengths.map(|length| length.as_millis() as u64).collect()
}

#[test]
fn instants_are_ordered_and_never_step_back() {
    let mut last = BootInstant::now();
    for _ in 0..10_000 {
        let now = BootInstant::now();
        assert!(now >= last);
        last = now;
    }
    let later = last + Duration::from_secs(5);
    assert_eq!(later - last, Duration::from_secs(5));
    assert_eq!(last - later, Duration::ZERO);
    assert_eq!(last.saturating_duration_since(later), Duration::ZERO);
    assert_eq!(later - Duration::from_secs(5), last);
}

#[test]
fn both_clocks_are_read_together() {
    let first = (0..100).find_map(|_| ClockPair::read()).expect("a pair");
    std::thread::sleep(Duration::from_millis(20));
    let second = (0..100).find_map(|_| ClockPair::read()).expect("a pair");
    assert!(second.monotonic > first.monotonic && second.boot > first.boot);
    assert_eq!(SuspensionWatch::new(first).observe(second), None);
}
