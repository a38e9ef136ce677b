//! The requests that engines sustain, beside a stepwise simulation of one engine.

use micaspool_engine::{EngineGroup, RequestMix};
use std::collections::VecDeque;
use test_case::test_case;

const CHUNK_TOKENS: u64 = 2_048;
/// Requests until the simulated engine is judged, and until its end.
const WARM_UP: usize = 300;
const JUDGED: usize = 3_000;

/// A load of equal requests.
#[derive(Clone, Copy)]
struct Load {
    prompt: u64,
    output: u64,
}

/// The outcome of a simulation.
struct Simulated {
    requests_per_second: f64,
    /// Mean time from the start of a request to the end of its prefill, in seconds.
    before: f64,
}

/// Runs an engine (56.6 tokens per millisecond, 3.79 ms per step) whose slots are always taken.
fn simulate(slots: usize, load: Load) -> Simulated {
    let (mut clock, mut done, mut before) = (0.0, 0, 0.0);
    let mut begun_at = 0.0;
    let mut prompts: VecDeque<(u64, f64)> = VecDeque::new();
    // Streams begin at different points, as they do after a while.
    let mut streams: Vec<u64> =
        (0..slots as u64).map(|number| 1 + load.output * number / slots as u64).collect();
    while done < JUDGED {
        if let Some((left, arrived_at)) = prompts.front_mut() {
            let chunk = CHUNK_TOKENS.min(*left);
            *left -= chunk;
            clock += chunk as f64 / 56.6;
            if *left == 0 {
                before += clock - *arrived_at;
                prompts.pop_front();
                streams.push(load.output + 1);
            }
        }
        clock += 3.79;
        streams.iter_mut().for_each(|left| *left -= 1);
        let running = streams.len();
        streams.retain(|left| *left > 0);
        for _ in streams.len()..running {
            done += 1;
            prompts.push_back((load.prompt, clock));
            if done == WARM_UP {
                (begun_at, before) = (clock, 0.0);
            }
        }
    }
    let count = (JUDGED - WARM_UP) as f64;
    Simulated { requests_per_second: count / (clock - begun_at) * 1_000.0, before: before / count / 1_000.0 }
}

/// Guards against an estimate that takes either resource for the only one.
#[test_case(24, Load { prompt: 628, output: 288 }; "short prompts, bound by slots")]
#[test_case(12, Load { prompt: 6_610, output: 385 }; "long prompts, bound by both")]
#[test_case(24, Load { prompt: 1_800, output: 24 }; "labels, bound by prefill")]
#[test_case(1, Load { prompt: 2_048, output: 100 }; "one slot")]
#[test_case(1, Load { prompt: 20_480, output: 20 }; "one slot, mostly prefill")]
#[test_case(2, Load { prompt: 8_192, output: 60 }; "two slots, half of the time prefill")]
fn slots_sustain_what_a_simulated_engine_does(slots: usize, load: Load) {
    let Simulated { requests_per_second: simulated, before } = simulate(slots, load);
    // Chunks of short prompts are smaller, with a step after each.
    let per_prompt =
        (load.prompt as f64 / 56.6 + 3.79 * (load.prompt as f64 / CHUNK_TOKENS as f64).ceil()) / 1e3;
    let group = EngineGroup {
        engines: 1.0,
        slots: slots as f64,
        prefill_tokens: load.prompt as f64 / per_prompt,
        steps: 1_000.0 / 3.79,
    };
    let mut mix = RequestMix::default();
    for _ in 0..100 {
        mix.note_grant(load.prompt, load.prompt, load.output as f64);
        mix.note_first_event(before);
    }
    let bound = mix.slot_bound(&group).expect("a known mix");
    let sustained = bound.min(1.0 / per_prompt);
    assert!((0.85..1.15).contains(&(sustained / simulated)), "{sustained} {simulated}");
}

/// Guards against a solution of the equation that leaves slots unused or takes more than there are.
#[test]
fn all_slots_are_taken_at_the_bound() {
    for slots in [1.0, 2.0, 6.0, 24.0, 200.0] {
        for (uncached, output, before) in [(100, 10.0, 0.02), (628, 288.0, 0.05), (20_000, 30.0, 1.5)] {
            let group = EngineGroup { engines: 1.0, slots, prefill_tokens: 55_000.0, steps: 260.0 };
            let mut mix = RequestMix::default();
            for _ in 0..10 {
                mix.note_grant(uncached * 2, uncached, output);
                mix.note_first_event(before);
            }
            let bound = mix.slot_bound(&group).expect("known");
            let prefill = bound * uncached as f64 / 55_000.0 * (1.0 - 1.0 / slots);
            let token_rate = 260.0 * (1.0 - prefill) + 55_000.0 / 2_048.0 * prefill;
            let running = bound * (before + output / token_rate);
            assert!(token_rate > 0.0 && (running - slots).abs() < 1e-6 * slots, "{running} of {slots}");
        }
    }
}

/// Guards against a bound that depends on the size of the group, and against one from unknown rates.
#[test]
fn engines_of_a_group_add_up() {
    let mut mix = RequestMix::default();
    let one = EngineGroup { engines: 1.0, slots: 12.0, prefill_tokens: 60_000.0, steps: 250.0 };
    assert_eq!(mix.slot_bound(&one), None, "nothing is known of requests");
    for _ in 0..10 {
        mix.note_grant(1_000, 500, 200.0);
        mix.note_first_event(0.05);
    }
    let ten = EngineGroup { engines: 10.0, slots: 120.0, prefill_tokens: 600_000.0, steps: 2_500.0 };
    let (of_one, of_ten) = (mix.slot_bound(&one).expect("known"), mix.slot_bound(&ten).expect("known"));
    assert!((of_ten / of_one - 10.0).abs() < 1e-6, "{of_ten} {of_one}");
    assert_eq!(mix.slot_bound(&EngineGroup { steps: 0.0, ..one }), None, "nothing is known of steps");
}
