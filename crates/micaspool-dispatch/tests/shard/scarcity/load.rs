//! Random plans of a run: the load of each customer, and which engines are lost when.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// The prefill rate of an engine, in tokens per second.
pub const PACE_PER_SECOND: f64 = 50_000.0;
/// When the first engine is lost.
pub const LOSS_AT: Duration = Duration::from_secs(3);

/// How an engine is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LossKind {
    /// Connections are refused, and running requests are broken at once.
    Gone,
    /// The engine sends nothing any more; connections and runs fail after a timeout.
    Silent,
    /// The engine prefills at a quarter of its rate.
    Slow,
}

/// When a refused caller retries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryHabit {
    /// Almost at once.
    Immediate,
    /// After the delay that the refusal states.
    AsStated,
}

/// The load of one customer.
#[derive(Clone, Copy, Debug)]
pub struct CustomerLoad {
    /// Requests per second.
    pub rate: f64,
    /// The number of shared parts; each prompt begins with one of them.
    pub parts: u64,
    pub part_tokens: u32,
    /// Mean number of tokens that only this prompt has.
    pub own_tokens: u32,
    pub objective: Duration,
}

impl CustomerLoad {
    fn mean_tokens(&self) -> f64 {
        f64::from(self.part_tokens + self.own_tokens)
    }
}

/// The load and the lost engines of one run.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    pub engines: usize,
    pub lost: usize,
    pub loss: LossKind,
    /// Time from the loss of one engine to the next.
    pub gap: Duration,
    pub habit: RetryHabit,
    pub customers: Vec<CustomerLoad>,
    /// The number of customers with the load of a flood, which come last.
    pub floods: usize,
}

impl LoadPlan {
    /// Draws a plan.
    pub fn draw(seed: u64) -> LoadPlan {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let engines: usize = rng.random_range(10..=24);
        let share = rng.random_range(0.1..=0.8);
        let floods: usize = rng.random_range(1..=8);
        let usual: usize = rng.random_range(3..=10);
        let capacity = engines as f64 * PACE_PER_SECOND;
        let usual_part = rng.random_range(0.4..0.9);
        let flood_part = rng.random_range(0.6..2.5);
        let usual_loads = draw_loads(&mut rng, usual, usual_part * capacity);
        let flood_loads = draw_loads(&mut rng, floods, flood_part * capacity);
        LoadPlan {
            engines,
            lost: ((engines as f64 * share).round() as usize).clamp(1, engines - 2),
            loss: [LossKind::Gone, LossKind::Silent, LossKind::Slow][rng.random_range(0..3)],
            gap: [Duration::ZERO, Duration::from_millis(150)][rng.random_range(0..2)],
            habit: [RetryHabit::Immediate, RetryHabit::AsStated][rng.random_range(0..2)],
            customers: usual_loads.into_iter().chain(flood_loads).collect(),
            floods,
        }
    }

    /// Describes the plan in failure messages.
    pub fn describe(&self) -> String {
        format!(
            "{} of {} engines {:?}, gap {:?}, {} customers, {} of them flood, {:?}",
            self.lost,
            self.engines,
            self.loss,
            self.gap,
            self.customers.len(),
            self.floods,
            self.habit
        )
    }
}

/// Draws loads of customers that together send `tokens_per_second`, some for several times as much as
/// others.
fn draw_loads(rng: &mut ChaCha8Rng, count: usize, tokens_per_second: f64) -> Vec<CustomerLoad> {
    let weights: Vec<f64> = (0..count).map(|_| rng.random_range(0.3..2.0)).collect();
    let all: f64 = weights.iter().sum();
    let load = |weight: f64| {
        let kind = CustomerLoad {
            rate: 0.0,
            parts: rng.random_range(1..=12),
            part_tokens: rng.random_range(500..=8_000),
            own_tokens: rng.random_range(500..=3_000),
            objective: Duration::from_millis(rng.random_range(500..=1_000)),
        };
        CustomerLoad { rate: tokens_per_second * weight / all / kind.mean_tokens(), ..kind }
    };
    weights.into_iter().map(load).collect()
}
