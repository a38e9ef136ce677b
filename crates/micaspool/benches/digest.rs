//! Measures the time of a request digest by body size.

use micaspool_types::{CustomerName, RequestDigest};
use std::hint::black_box;
use std::time::Instant;

/// Body sizes in bytes: small calls, prompts, and the largest body that plans allow.
const SIZES: [usize; 5] = [0, 600, 17_000, 100_000, 1 << 20];
/// The number of bytes to hash for each size.
const BYTES_PER_SIZE: usize = 256 << 20;

fn main() {
    let customer = CustomerName::parse("coop-01").expect("a name");
    for size in SIZES {
        let body = vec![7; size];
        let rounds = (BYTES_PER_SIZE / size.max(1_000)).min(100_000);
        let start = Instant::now();
        for _ in 0..rounds {
            black_box(RequestDigest::of(&customer, "POST", "/letters/2f", black_box(&body)));
        }
        let time_per_digest = start.elapsed() / u32::try_from(rounds).expect("few rounds");
        println!("body of {size} bytes: {time_per_digest:?} a digest");
    }
}
