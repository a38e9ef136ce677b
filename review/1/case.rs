//! A worker sends a second answer for a request that it has rejected, late, in the slot of the next answer on that
//! connection; the next request there is the same one, sent again.
#[path = "../common.rs"]
mod common;

use common::*;
use std::collections::HashMap;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const SERVICE: &str = "wuno96b";
const BOUNDS: Bounds = Bounds::SMALL;
/// How long a worker works on a request.
const WORK: Duration = Duration::from_millis(15);
/// The largest share of its answers to which a faulty worker sends a second one: `garble`, `extra late`, `x = 0.03`.
const LARGEST_SHARE: f64 = 0.03;
/// Clients and the ordinary requests of each ahead of each time at which the workers are full, and how often they are.
const CLIENTS: usize = 4;
const ORDINARY: usize = 25;
const ROUNDS: usize = 6;
/// The paths of the two routes: requests that may run once at most, and streams that may not be resumed.
const PATHS: [&str; 2] = ["/puxa403/2f", "/lohu930/2f"];

fn main() {
    let folder =
        PathBuf::from(std::env::args().nth(1).unwrap_or_else(|| give_up("name the folder of the case")));
    let record = Record::create(&folder);
    let fleet = Fleet::start(3, 1, BOUNDS);
    let configuration = format!(
        "{{\"version\":7,\"routes\":[\
         {{\"name\":\"r-1\",\"host\":\"{HOST}\",\"path_prefix\":\"/puxa403/\",\"route_type\":\"non_idempotent\",\
         \"timeout_ms\":3000,\"target_latency_ms\":800,\"priority\":1,\"service\":\"{SERVICE}\",\"max_attempts\":2,\
         \"public\":false}},\
         {{\"name\":\"r-2\",\"host\":\"{HOST}\",\"path_prefix\":\"/lohu930/\",\"route_type\":\"streaming\",\
         \"timeout_ms\":12000,\"target_latency_ms\":800,\"priority\":1,\"service\":\"{SERVICE}\",\"max_attempts\":1,\
         \"public\":false,\"stream_resume\":false,\"gap_aim_ms\":400}}],\
         \"services\":[{{\"name\":\"{SERVICE}\",\"health_path\":\"/health\",\"max_connections\":110,\
         \"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"hule930\",\"api_keys\":[\"{KEY}\"],\"priority\":1}}]}}"
    );
    fleet.publish(&record, &configuration);
    fleet.wait_ready(&record);

    // While `full` is set, a worker rejects what it gets. The faulty one sends its rejections twice, the second time late.
    // One of the two is faulty in the first half of the rounds, and the other one in the second half.
    let full = Arc::new(AtomicBool::new(false));
    let faulty = Arc::new(AtomicUsize::new(0));
    let answers: Arc<[AtomicUsize; 2]> = Arc::default();
    let garbled: Arc<[AtomicUsize; 2]> = Arc::default();
    let handler = |number: usize| -> Handler {
        let (full, faulty, answers, garbled) =
            (full.clone(), faulty.clone(), answers.clone(), garbled.clone());
        Arc::new(move |worker, request| {
            answers[number].fetch_add(1, Ordering::SeqCst);
            if !full.load(Ordering::SeqCst) {
                let bytes = worker.run(request);
                thread::sleep(WORK);
                return Reply { bytes, ..Reply::default() };
            }
            let id = request.header("x-micaspool-request-id");
            worker.record.line(&format!("worker {}: is full, rejects {id}", worker.id));
            let bytes = answer("503 Service Unavailable", id, "X-Micaspool-Not-Executed: 1\r\n", b"");
            let is_garbled = trouble() && faulty.load(Ordering::SeqCst) == number;
            garbled[number].fetch_add(usize::from(is_garbled), Ordering::SeqCst);
            Reply { surplus: is_garbled.then(|| bytes.clone()), bytes, ..Reply::default() }
        })
    };
    let workers = [
        Worker::start(&record, "i-7f3a91c2", SERVICE, ZONES[0], false, handler(0)),
        Worker::start(&record, "i-1b5d90c4", SERVICE, ZONES[1], false, handler(1)),
    ];
    let ended = Arc::new(AtomicBool::new(false));
    let beats: Vec<_> = workers
        .iter()
        .map(|worker| {
            let (worker, ended) = (worker.clone(), ended.clone());
            let cores: Vec<_> = fleet.cores.iter().map(|core| (core.name.clone(), core.control())).collect();
            thread::spawn(move || {
                for (name, control) in cores.iter().cycle() {
                    if ended.load(Ordering::SeqCst) {
                        return;
                    }
                    worker.beat(name, *control, "ready");
                    thread::sleep(BOUNDS.heartbeat());
                }
            })
        })
        .collect();
    thread::sleep(BOUNDS.contact());

    let front = fleet.fronts[0].front();
    let answered: Arc<Mutex<HashMap<String, u16>>> = Arc::default();
    let number = Arc::new(AtomicUsize::new(0));
    let send = {
        let (answered, record) = (answered.clone(), record.clone());
        Arc::new(move |path: &str| {
            let id = format!("9c41d07b{:08x}", number.fetch_add(1, Ordering::SeqCst));
            let answer = client_request(front, "POST", path, &id, 3_000, b"one slot, please");
            let status = answer.as_ref().map_or(0, |answer| answer.status);
            record.line(&format!("client: {id} to {path} answered {status}"));
            answered.lock().unwrap().insert(id, status);
        })
    };
    for round in 0..ROUNDS {
        faulty.store(round * 2 / ROUNDS, Ordering::SeqCst);
        let clients = (0..CLIENTS).map(|_| {
            let send = send.clone();
            thread::spawn(move || (0..ORDINARY).for_each(|count| send(PATHS[count % 2])))
        });
        clients
            .collect::<Vec<_>>()
            .into_iter()
            .for_each(|client| client.join().expect("a client does not panic"));
        // Both workers are full for a fifth of a second, and one request comes.
        record.line(&format!("round {round}: the workers are full for 200 ms"));
        full.store(true, Ordering::SeqCst);
        let flag = full.clone();
        let clearing = thread::spawn(move || {
            thread::sleep(Duration::from_millis(200));
            flag.store(false, Ordering::SeqCst);
        });
        send(PATHS[round % 2]);
        let _ = clearing.join();
        thread::sleep(Duration::from_millis(700));
    }
    ended.store(true, Ordering::SeqCst);
    for beat in beats {
        let _ = beat.join();
    }

    let answered = answered.lock().unwrap().clone();
    let mut runs: HashMap<String, usize> = HashMap::new();
    for run in workers.iter().flat_map(|worker| worker.runs.lock().unwrap().clone()) {
        *runs.entry(run.id).or_default() += 1;
    }
    let mut twice: Vec<_> = runs.iter().filter(|(_, count)| **count > 1).map(|(id, _)| id.clone()).collect();
    twice.sort();
    let promises = [408, 421, 429, 503];
    let mut refused: Vec<_> = runs
        .keys()
        .filter(|id| answered.get(*id).is_some_and(|status| promises.contains(status)))
        .cloned()
        .collect();
    refused.sort();
    let served = answered.values().filter(|status| **status == 200).count();
    let share_of = |number: usize| {
        garbled[number].load(Ordering::SeqCst) as f64 / answers[number].load(Ordering::SeqCst).max(1) as f64
    };
    let share = share_of(0).max(share_of(1));
    record.say(&format!(
        "{} requests, {served} served; a worker sent a second answer to {share:.4} of its answers at the most",
        answered.len(),
    ));
    if share > LARGEST_SHARE || served * 10 < answered.len() * 9 {
        give_up("more second answers than the page allows, or too few requests were served");
    }
    record.say(&format!("requests that ran more than once although they are not idempotent: {twice:?}"));
    record.say(&format!("requests that were answered with a promise not to have run, and ran: {refused:?}"));
    fleet.end();
    std::process::exit(if twice.is_empty() && refused.is_empty() { HELD } else { BROKEN });
}
