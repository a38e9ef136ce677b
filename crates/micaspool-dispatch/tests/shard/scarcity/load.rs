//! Random plans of a run: the load of each customer, and which engines are lost when and for how long.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// The prefill rate of an engine, in tokens per second.
pub const PACE_PER_SECOND: f64 = 50_000.0;
/// When the first engine is lost.
pub const LOSS_AT: Duration = Duration::from_secs(3);
/// The length of a run in which lost engines stay lost.
const LENGTH: Duration = Duration::from_secs(12);
/// The time that a run continues after the first engine has returned.
const TIME_AFTER_RETURN: Duration = Duration::from_secs(5);
/// The most attempts of a caller in these runs.
const ATTEMPTS: u32 = 3;
/// The number of routers in runs in which all customers use all routers.
const ROUTERS: u64 = 6;

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
    /// The routers through which the customer's callers send.
    pub routers: RouterRange,
}

/// Consecutive routers, continuing with the first one after the last.
#[derive(Clone, Copy, Debug)]
pub struct RouterRange {
    pub first: u64,
    pub count: u64,
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
    /// How long each engine is lost; `None` for the rest of the run.
    pub absence: Option<Duration>,
    pub length: Duration,
    pub routers: u64,
    pub habit: RetryHabit,
    /// The most attempts of a caller.
    pub attempts: u32,
    /// How long callers wait for an answer, which they state; `None` if they do not say.
    pub patience: Option<Duration>,
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
            absence: None,
            length: LENGTH,
            routers: ROUTERS,
            habit: [RetryHabit::Immediate, RetryHabit::AsStated][rng.random_range(0..2)],
            attempts: ATTEMPTS,
            patience: None,
            customers: usual_loads.into_iter().chain(flood_loads).collect(),
            floods,
        }
    }

    /// Draws a plan in which all engines together can carry the load, more than half of them are lost for
    /// some seconds, and customers use different numbers of routers.
    pub fn draw_return(seed: u64) -> LoadPlan {
        let mut plan = LoadPlan::draw(seed);
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        rng.set_stream(1);
        let share = rng.random_range(0.5..=0.85);
        let absence = Duration::from_millis(rng.random_range(2_000..=8_000));
        plan.lost = ((plan.engines as f64 * share).round() as usize).clamp(1, plan.engines - 2);
        plan.absence = Some(absence);
        plan.length = LOSS_AT + absence + TIME_AFTER_RETURN;
        plan.attempts = rng.random_range(2..=5);
        plan.patience = Some(Duration::from_secs(rng.random_range(5..=15)));
        plan.scale_loads(rng.random_range(0.6..0.95));
        plan.routers = rng.random_range(12..=48);
        for load in &mut plan.customers {
            let count = [1, 2, 4, plan.routers][rng.random_range(0..4)];
            load.routers = RouterRange { first: rng.random_range(0..plan.routers), count };
        }
        plan
    }

    /// Changes the rates so that the customers together send this part of what all engines prefill.
    fn scale_loads(&mut self, part: f64) {
        let sent: f64 = self.customers.iter().map(|load| load.rate * load.mean_tokens()).sum();
        let factor = part * self.engines as f64 * PACE_PER_SECOND / sent;
        self.customers.iter_mut().for_each(|load| load.rate *= factor);
    }

    /// Describes the plan in failure messages.
    pub fn describe(&self) -> String {
        format!(
            "{} of {} engines {:?} for {:?}, gap {:?}, {} routers, {} customers, {} of them flood, {:?}",
            self.lost,
            self.engines,
            self.loss,
            self.absence,
            self.gap,
            self.routers,
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
            routers: RouterRange { first: 0, count: ROUTERS },
        };
        CustomerLoad { rate: tokens_per_second * weight / all / kind.mean_tokens(), ..kind }
    };
    weights.into_iter().map(load).collect()
}
