//! A core machine is replaced as planned (the new one first, then SIGTERM for the old one), and after that one other core
//! machine loses its disk. What was acknowledged has to be readable again.

include!("../common-2.rs");

const ZONES: [&str; 3] = ["cartago-a", "heredia-b", "alajuela-c"];
/// The successor has had `catch_up_s` (4 s) when the old machine is stopped.
const CATCH_UP: Duration = Duration::from_millis(4_300);
const GRACE: Duration = Duration::from_secs(8);
/// How long after the old machine has ended the disk is lost.
const PAUSE: Duration = Duration::from_millis(800);
/// How long the machine without a disk is down.
const DOWN: Duration = Duration::from_millis(1_000);
/// `recovery_s` (12 s) and twice `contact_ms` (3 s), and as much again.
const READ_LIMIT: Duration = Duration::from_secs(36);

fn config(version: u64) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-hold\",\"host\":\"hornos.example\",\
         \"path_prefix\":\"/hold/\",\"route_type\":\"non_idempotent\",\"timeout_ms\":1500,\
         \"target_latency_ms\":100,\"priority\":2,\"service\":\"agenda\",\"max_attempts\":1,\"public\":false}}],\
         \"services\":[{{\"name\":\"agenda\",\"health_path\":\"/health\",\"max_connections\":110,\
         \"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000,\
         \"tokens_per_s\":300000}},\"tenants\":[{{\"name\":\"hule930\",\"api_keys\":[\"key-{version}\"],\
         \"priority\":1}}]}}"
    )
}

/// Sends a configuration to the machines in turn, as the operator does, until one acknowledges it.
fn put(site: &Site, record: &Record, version: u64, machines: &[u8], limit: Duration) -> bool {
    let start = Instant::now();
    let body = config(version);
    let json = [("Content-Type", "application/json")];
    let mut turn = 0;
    while start.elapsed() < limit {
        let machine = machines[turn % machines.len()];
        turn += 1;
        let address = site.control(machine);
        match call(address, "PUT", "/config", &json, body.as_bytes(), Duration::from_secs(1)) {
            Ok(answer) if answer.status == 200 => {
                record.note(&format!("core {machine} acknowledges version {version}: {}", answer.text()));
                return true;
            }
            Ok(answer) => {
                record.note(&format!("core {machine} answers version {version} with {}", answer.status))
            }
            Err(error) => record.note(&format!("core {machine}, version {version}: {error}")),
        }
        std::thread::sleep(Duration::from_millis(300));
    }
    false
}

/// Reads the configuration from the machines in turn until one answers with it.
fn read(site: &Site, record: &Record, machines: &[u8], limit: Duration) -> Option<String> {
    let start = Instant::now();
    let mut turn = 0;
    let mut answers = std::collections::BTreeMap::new();
    while start.elapsed() < limit {
        let machine = machines[turn % machines.len()];
        turn += 1;
        let seen = match call(site.control(machine), "GET", "/config", &[], b"", Duration::from_secs(1)) {
            Ok(answer) if answer.status == 200 => {
                record.note(&format!("core {machine} answers the read with 200: {}", answer.text()));
                return Some(answer.text());
            }
            Ok(answer) => format!("core {machine}: {} {}", answer.status, answer.text()),
            Err(error) => format!("core {machine}: {error}"),
        };
        let count = answers.entry(seen.clone()).or_insert(0);
        *count += 1;
        if *count == 1 {
            record.note(&format!("read: {seen}"));
        }
        std::thread::sleep(Duration::from_millis(300));
    }
    for (answer, count) in answers {
        record.note(&format!("{count} reads: {answer}"));
    }
    None
}

fn start_core(site: &Site, machine: u8, seeds: &[u8], bootstrap: bool) -> Option<Process> {
    let zone = ZONES[usize::from(machine - 1) % 3];
    fs::create_dir_all(site.data_folder(machine)).ok()?;
    let settings = site.write_settings("core", machine, zone, seeds, bootstrap);
    let log = site.folder.join(format!("log-{machine}.txt"));
    Process::start("target/release/micaspool-core", &settings, &log).ok()
}

fn run(folder: &Path) -> i32 {
    let record = Record::create(folder);
    let Some(site) = Site::find() else { return COULD_NOT_RUN };
    let code = play(&site, &record);
    record.note(match code {
        HELD => "result: the rule held",
        BROKEN => "result: the rule was broken",
        _ => "result: the case could not run",
    });
    code
}

fn play(site: &Site, record: &Record) -> i32 {
    let mut cores: Vec<Option<Process>> = vec![None];
    for machine in 1..=3 {
        cores.push(start_core(site, machine, &[1, 2, 3], true));
    }
    record.note("cores 1, 2 and 3 start for the first time");
    if cores[1..].iter().any(Option::is_none) || !put(site, record, 1, &[1, 2, 3], Duration::from_secs(20)) {
        return COULD_NOT_RUN;
    }
    cores.push(start_core(site, 4, &[1, 2, 3], false));
    record.note("core 4 starts with an empty disk: the successor of core 1");
    std::thread::sleep(CATCH_UP);
    let Some(old) = &mut cores[1] else { return COULD_NOT_RUN };
    old.signal(SIGTERM);
    record.note("core 1 gets SIGTERM");
    if !old.wait(GRACE) {
        return COULD_NOT_RUN;
    }
    cores[1] = None;
    record.note("core 1 has ended and is removed for good");
    if !put(site, record, 2, &[2, 3, 4], Duration::from_secs(4)) {
        return COULD_NOT_RUN;
    }
    std::thread::sleep(PAUSE);
    if is_calm() {
        record.note("no disruption");
    } else {
        let Some(victim) = &mut cores[2] else { return COULD_NOT_RUN };
        victim.signal(SIGKILL);
        victim.wait(Duration::from_secs(2));
        cores[2] = None;
        let _ = fs::remove_dir_all(site.data_folder(2));
        record.note("core 2 is killed and its disk is lost");
        std::thread::sleep(DOWN);
        cores[2] = start_core(site, 2, &[2, 3, 4], false);
        record.note("core 2 starts again at its address with an empty disk");
    }
    let back = Instant::now();
    let text = read(site, record, &[2, 3, 4], READ_LIMIT);
    let is_whole = text.as_deref() == Some(config(2).as_str());
    let is_taken = is_whole && put(site, record, 3, &[3, 4, 2], Duration::from_secs(4));
    let alive = cores[2..].iter_mut().flatten().filter_map(|core| core.is_running().then_some(())).count();
    record.note(&format!(
        "{:.1} s after all were back: cores 2, 3 and 4 running: {alive}; version 2 read back: {is_whole}; \
         version 3 acknowledged: {is_taken}",
        back.elapsed().as_secs_f64()
    ));
    match (is_whole, alive) {
        (_, alive) if alive < 3 => COULD_NOT_RUN,
        (true, _) => HELD,
        (false, _) => BROKEN,
    }
}

fn main() {
    let folder = PathBuf::from(std::env::args().nth(1).expect("the folder of the case"));
    std::process::exit(run(&folder));
}
