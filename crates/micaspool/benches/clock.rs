//! Measures the time of reading the boot clock, compared to the steady clock.

use micaspool_clock::BootInstant;
use std::hint::black_box;
use std::time::{Duration, Instant};

const READINGS: u32 = 5_000_000;

fn time_per_reading(read: impl Fn()) -> Duration {
    let start = Instant::now();
    for _ in 0..READINGS {
        read();
    }
    start.elapsed() / READINGS
}

fn main() {
    println!("steady clock: {:?} a reading", time_per_reading(|| _ = black_box(Instant::now())));
    println!("clock since boot: {:?} a reading", time_per_reading(|| _ = black_box(BootInstant::now())));
}
