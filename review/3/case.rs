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
/// Added to the time at which all machines are in touch again.
const MARGIN: Duration = Duration::from_millis(200);
/// How long the worker serves on after its DELETE was acknowledged: `drain_ms` "and a little longer (at times many seconds)".
const SERVES_ON: Duration = Duration::from_secs(9);
/// How many clients call at the same time, and how long a worker works on a request.
const CLIENTS: usize = 8;
const WORK: Duration = Duration::from_millis(20);

fn main() {
    let folder = PathBuf::from(std::env::args().nth(1).unwrap_or_else(|| give_up("name the folder of the case")));
    let record = Record::create(&folder);
    let mut fleet = Fleet::start(3, 2, BOUNDS);
    fleet.publish(&record, &idempotent_configuration(SERVICE));
    fleet.wait_ready(&record);
    let start = |id: &str, zone: &str| Worker::start(&record, id, SERVICE, zone, false, working_handler(WORK));
    let leaving = start("i-7f3a91c2", ZONES[0]);
    let staying = [start("i-1b5d90c4", ZONES[1]), start("i-02d9e6b4", ZONES[2])];
    let beat = |fleet: &Fleet, worker: &Worker, core: usize| {
        let core = &fleet.cores[core % 3];
        if !worker.beat(&core.name, core.control(), "ready") {
            give_up("a heartbeat was not acknowledged");
        }
    };
    let clients = Clients::start(&record, &fleet, CLIENTS, "GET", "/pufi791/2f");
    // A worker chooses among the daemons that serve control: each heartbeat goes to the next one.
    for round in 0..6 {
        beat(&fleet, &leaving, round);
        staying.iter().for_each(|worker| beat(&fleet, worker, round + 1));
        thread::sleep(BOUNDS.heartbeat());
    }
    // A planned end: the worker says DELETE first, serves on, and ends.
    let core = &mut fleet.cores[0];
    if !leaving.deregister(&core.name, core.control()) {
        give_up("the DELETE was not acknowledged");
    }
    let answered = Instant::now();
    if trouble() {
        core.kill();
        let took = answered.elapsed();
        record.line(&format!("{} lost power {:.1} ms after it had acknowledged", core.name, took.as_secs_f64() * 1_000.0));
        if took > WITHIN {
            give_up("the core lost power too late");
        }
    }
    let acknowledged = record.now();
    leaving.leaving.store(true, Ordering::SeqCst);
    thread::sleep(DOWN);
    if trouble() {
        fleet.cores[0].start();
        record.line("core-0 starts again");
    }
    while record.now() < acknowledged + SERVES_ON {
        staying.iter().for_each(|worker| beat(&fleet, worker, 1));
        thread::sleep(BOUNDS.heartbeat());
    }
    leaving.end();
    let served = clients.end();
    record.say(&format!("{served} requests were served"));
    // All machines are in touch again `contact_ms` after the core was started; the rule holds for them only.
    let counts_from = acknowledged + BOUNDS.drain().max(DOWN + BOUNDS.contact() + MARGIN);
    let result = judge_drain(&record, &leaving, acknowledged, counts_from);
    fleet.end();
    std::process::exit(result);
}
