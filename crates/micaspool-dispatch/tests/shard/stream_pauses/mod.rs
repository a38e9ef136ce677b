//! Prompts are spaced so that the streams of an engine keep their pauses.
//!
//! Guards against long prompts that are granted to an engine one after the other: between two chunks of a
//! prompt, each running stream gets one token, so a slow engine has pauses of 460 ms where the limit is 400 ms.

mod model;
mod rules;

use model::{EngineFleet, KindOutcome, RequestKind, PAUSE};
use std::ops::Range;
use std::time::Duration;
use test_case::test_case;

/// The load of twelve engines that are as busy as those of the site at its highest load, which needs 130 engines
/// where there are 112.
const LONG: RequestKind = RequestKind {
    shared_tokens: 5_382,
    own_tokens: 6_610,
    events: 55,
    objective: Duration::from_millis(1_000),
    rate: 31.2,
};
const SHORT: RequestKind = RequestKind {
    shared_tokens: 198,
    own_tokens: 628,
    events: 42,
    objective: Duration::from_millis(400),
    rate: 23.8,
};
const LABELS: RequestKind = RequestKind {
    shared_tokens: 568,
    own_tokens: 1_800,
    events: 3,
    objective: Duration::from_millis(500),
    rate: 62.4,
};
const SPEEDS: [f64; 12] = [0.55, 1.2, 1.2, 1.2, 0.55, 1.2, 1.2, 1.2, 0.55, 1.2, 1.2, 1.2];
/// Time that an engine spends on a request of each kind in a full batch, in milliseconds.
const ENGINE_MILLIS: [f64; 3] = [239.0, 117.0, 45.0];
const MODERATE: f64 = 0.6;
const FULL: f64 = 1.0;
/// The part of the streams that may be late by a pause at moderate load.
const MAX_LATE: f64 = 0.05;
const START: Duration = Duration::from_secs(3);
const END: Duration = Duration::from_secs(30);
const SEEDS: Range<u64> = 1..7;

/// A load and how it is simulated.
#[derive(Clone, Debug)]
struct Play {
    speeds: Vec<f64>,
    kinds: Vec<RequestKind>,
    pause: Option<Duration>,
    event_tokens: u32,
    /// Time of a message in microseconds, if not the usual one.
    transit: Option<Range<u64>>,
}

impl Play {
    /// All kinds at this part of the highest load.
    fn of(part: f64) -> Play {
        let kinds = [LONG, SHORT, LABELS].map(|kind| RequestKind { rate: kind.rate * part, ..kind });
        Play {
            speeds: SPEEDS.to_vec(),
            kinds: kinds.to_vec(),
            pause: Some(PAUSE),
            event_tokens: 7,
            transit: None,
        }
    }

    fn without_pause(self) -> Play {
        Play { pause: None, ..self }
    }

    fn run(&self, seed: u64) -> (Vec<KindOutcome>, Vec<u32>) {
        let mut fleet = EngineFleet::new(&self.speeds, &self.kinds, self.pause, seed);
        fleet.set_event_tokens(self.event_tokens);
        fleet.transit = self.transit.clone().unwrap_or(fleet.transit);
        fleet.counted_from = START.as_micros() as u64;
        fleet.play(END);
        (fleet.outcomes, fleet.grants)
    }

    /// The outcomes of each kind over all seeds.
    fn run_all(&self) -> Vec<KindOutcome> {
        let mut sums = vec![KindOutcome::default(); self.kinds.len()];
        for seed in SEEDS {
            let (outcomes, _) = self.run(seed);
            sums.iter_mut().zip(outcomes).for_each(|(sum, outcome)| sum.add(outcome));
        }
        println!("{} pause {:?} transit {:?}: {sums:?}", self.kinds[0].rate, self.pause, self.transit);
        sums
    }
}

/// The engine time of all finished requests.
fn work(outcomes: &[KindOutcome]) -> f64 {
    outcomes.iter().zip(ENGINE_MILLIS).map(|(outcome, millis)| f64::from(outcome.finished) * millis).sum()
}

fn in_time(outcomes: &[KindOutcome]) -> f64 {
    outcomes.iter().zip(ENGINE_MILLIS).map(|(outcome, millis)| f64::from(outcome.in_time) * millis).sum()
}

/// Guards against streams that are late by a pause although there is capacity. Without spacing, more are late than
/// [`MAX_LATE`].
#[test]
fn streams_keep_their_pauses_at_moderate_load() {
    let before = Play::of(MODERATE).without_pause().run_all();
    assert!(before[0].late_by_pause() > MAX_LATE, "the load shows the failure: {before:?}");
    let after = Play::of(MODERATE).run_all();
    assert!(after.iter().all(|outcome| outcome.late_by_pause() < MAX_LATE), "{after:?}");
    assert!(after.iter().all(|outcome| outcome.refused * 100 < outcome.submitted), "{after:?}");
}

/// Guards against spacing that costs throughput, also where reports of first events arrive late, as from gateways
/// with little processor time.
#[test_case(None; "usual messages")]
#[test_case(Some(10_000..50_000); "late messages")]
fn full_load_is_served_as_before(transit: Option<Range<u64>>) {
    let play = Play { transit, ..Play::of(FULL) };
    let before = play.clone().without_pause().run_all();
    let after = play.run_all();
    assert!(work(&after) >= 0.97 * work(&before), "{after:?} {before:?}");
    assert!(in_time(&after) >= in_time(&before), "{after:?} {before:?}");
}

/// Guards against long prompts that starve beside many short ones, which fit into a smaller rest of the limit.
#[test]
fn long_prompts_are_not_starved() {
    let mut play = Play::of(FULL);
    play.kinds[1].rate *= 2.0;
    play.kinds[2].rate *= 2.0;
    let before = play.clone().without_pause().run_all();
    let after = play.run_all();
    assert!(after[0].finished * 10 >= before[0].finished * 9, "{after:?} {before:?}");
}

/// Guards against refusing long prompts because they break pauses on every engine.
#[test]
fn long_prompts_run_on_slow_engines_if_there_are_no_others() {
    let mut play = Play { speeds: vec![0.55; 6], ..Play::of(FULL) };
    play.kinds = vec![RequestKind { rate: 5.0, ..LONG }];
    let before = play.clone().without_pause().run_all();
    let after = play.run_all();
    assert!(after[0].finished * 100 >= before[0].finished * 97, "{after:?} {before:?}");
    assert!(after[0].in_time >= before[0].in_time, "{after:?} {before:?}");
}

/// Guards against changed decisions where tickets have no pause or the settings state no size of events.
#[test]
fn nothing_changes_where_the_feature_is_off() {
    let unset = Play { event_tokens: 0, ..Play::of(FULL).without_pause() };
    let no_pause = Play::of(FULL).without_pause();
    let no_events = Play { event_tokens: 0, ..Play::of(FULL) };
    assert_eq!(no_pause.run(1), unset.run(1));
    assert_eq!(no_events.run(1), unset.run(1));
    assert_ne!(Play::of(FULL).run(1), unset.run(1));
}
