//! A core loses power right after it has acknowledged that a worker leaves.
#[path = "../common.rs"]
mod common;

use common::*;
use std::path::PathBuf;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

const SERVICE: &str = "wuno96b";
const BOUNDS: Bounds = Bounds::SMALL;
/// How soon after the acknowledgement the core has lost power, at the latest (`after_ack_kill`: within 4 ms), and how long
/// it is down (3 s at the most).
const WITHIN: Duration = Duration::from_millis(4);
const DOWN: Duration = Duration::from_millis(500);
/// Two of this many workers leave, a share of 0.125 (`scale_in`: 0.13), this long after one another.
const WORKERS: usize = 16;
const APART: Duration = Duration::from_millis(40);
/// Added to the time at which all machines are in touch again.
const MARGIN: Duration = Duration::from_millis(200);
/// How long the worker serves on after its DELETE was acknowledged: `drain_ms` "and a little longer (at times many seconds)".
const SERVES_ON: Duration = Duration::from_secs(9);
/// How many clients call at the same time, and how long a worker works on a request.
const CLIENTS: usize = 24;
const WORK: Duration = Duration::from_millis(20);

fn main() {
    let folder =
        PathBuf::from(std::env::args().nth(1).unwrap_or_else(|| give_up("name the folder of the case")));
    let record = Record::create(&folder);
    let mut fleet = Fleet::start(3, 2, BOUNDS);
    fleet.publish(&record, &idempotent_configuration(SERVICE));
    fleet.wait_ready(&record);
    let workers: Vec<_> = (0..WORKERS)
        .map(|n| {
            let id = format!("i-7f3a91{n:02x}");
            Worker::start(&record, &id, SERVICE, ZONES[n % 3], false, working_handler(WORK))
        })
        .collect();
    let (leaving, staying) = workers.split_at(2);
    let beat = |fleet: &Fleet, worker: &Worker, core: usize| {
        let core = &fleet.cores[core % 3];
        if !worker.beat(&core.name, core.control(), "ready") {
            give_up("a heartbeat was not acknowledged");
        }
    };
    let clients = Clients::start(&record, &fleet, CLIENTS, "GET", "/pufi791/2f");
    // A worker chooses among the daemons that serve control: each heartbeat goes to the next one.
    for round in 0..6 {
        for (n, worker) in workers.iter().enumerate() {
            beat(&fleet, worker, round + n);
        }
        thread::sleep(BOUNDS.heartbeat());
    }
    // Two workers are emptied and taken away. They say DELETE first, serve on, and end.
    let core = &mut fleet.cores[0];
    for worker in leaving {
        thread::sleep(APART);
        if !worker.deregister(&core.name, core.control()) {
            give_up("a DELETE was not acknowledged");
        }
    }
    let answered = Instant::now();
    if trouble() {
        core.strike();
        let took = answered.elapsed();
        core.kill();
        record.line(&format!(
            "{} lost power {:.1} ms after it had acknowledged",
            core.name,
            took.as_secs_f64() * 1_000.0
        ));
        if took > WITHIN {
            give_up("the core lost power too late");
        }
    }
    let acknowledged = record.now();
    leaving.iter().for_each(|worker| worker.leaving.store(true, Ordering::SeqCst));
    thread::sleep(DOWN);
    if trouble() {
        fleet.cores[0].start();
        record.line("core-0 starts again");
    }
    while record.now() < acknowledged + SERVES_ON {
        staying.iter().for_each(|worker| beat(&fleet, worker, 1));
        thread::sleep(BOUNDS.heartbeat());
    }
    leaving.iter().for_each(|worker| worker.end());
    let served = clients.end();
    record.say(&format!("{served} requests were served"));
    // All machines are in touch again `contact_ms` after the core was started; the rule holds for them only.
    let counts_from = acknowledged + BOUNDS.drain().max(DOWN + BOUNDS.contact() + MARGIN);
    let result = judge_drain(&record, &leaving[1], acknowledged, counts_from);
    fleet.end();
    std::process::exit(result);
}
