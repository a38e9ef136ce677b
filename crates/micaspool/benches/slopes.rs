//! Measures the resource usage of each role by numbers of processes and requests.
//!
//! Run with `cargo bench -p micaspool --bench slopes [-- PART]`, where a part is `watchers`,
//! `followers`, `claims`, `sessions`, `requests` or `delay`. It starts daemons on loopback and reads their processor time,
//! resident memory and control bytes. Every part is limited in its number of requests and in time.

#[path = "../tests/harness/mod.rs"]
mod harness;
mod parts;

use async_std::task;

fn main() {
    let named: Vec<String> = std::env::args().skip(1).filter(|argument| !argument.starts_with('-')).collect();
    let wanted = |part: &str| named.is_empty() || named.iter().any(|name| name == part);
    task::block_on(async {
        if wanted("watchers") {
            parts::watchers::run().await;
        }
        if wanted("followers") {
            parts::followers::run().await;
        }
        if wanted("claims") {
            parts::claims::run().await;
        }
        if wanted("sessions") {
            parts::sessions::run().await;
        }
        if wanted("requests") {
            parts::requests::run().await;
        }
        if wanted("delay") {
            parts::delay::run().await;
        }
    });
}
