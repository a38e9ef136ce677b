//! A core machine freezes now and then while two operators change the configuration, and later another core machine loses
//! its disk. What was acknowledged has to be readable again.
//!
//! The freezes go on until the frozen machine has not caught up 2 s after one, which the page `status` of the project's own
//! processes tells; the page steers the script and does not judge. The operators' answers judge.

include!("../common-2.rs");

const SIGSTOP: i32 = 19;
const SIGCONT: i32 = 18;
const STATUS_PORT: u16 = FIRST_INTERNAL_PORT + 2;
const ZONES: [&str; 3] = ["cartago-a", "heredia-b", "alajuela-c"];
/// The routes of a configuration, which make it about a megabyte long.
const ROUTES: usize = 4_200;
/// How long freezes go on at most.
const FREEZE_TIME: Duration = Duration::from_secs(62);
/// `catch_up_s` (4 s) after the last freeze, no machine counts as lost.
const CATCH_UP: Duration = Duration::from_millis(4_300);
/// How long the machine without a disk is down.
const DOWN: Duration = Duration::from_millis(1_000);
/// `recovery_s` (12 s) and twice `contact_ms` (3 s), and more.
const READ_LIMIT: Duration = Duration::from_secs(30);

fn config(version: u64) -> String {
    let mut routes = String::new();
    for number in 0..ROUTES {
        routes.push_str(&format!(
            "{{\"name\":\"r-{number:06}\",\"host\":\"hornos.example\",\"path_prefix\":\"/cuti{number}/lo20/\",\
             \"route_type\":\"idempotent\",\"timeout_ms\":{},\"target_latency_ms\":100,\"priority\":2,\
             \"service\":\"agenda\",\"max_attempts\":2,\"public\":false,\"session_affinity\":false,\
             \"stream_resume\":false}},",
            1500 + version % 100
        ));
    }
    routes.pop();
    format!(
        "{{\"version\":{version},\"routes\":[{routes}],\
         \"services\":[{{\"name\":\"agenda\",\"health_path\":\"/health\",\"max_connections\":110,\
         \"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000,\
         \"tokens_per_s\":300000}},\"tenants\":[{{\"name\":\"hule930\",\"api_keys\":[\"key\"],\"priority\":1}}]}}"
    )
}

/// Sends a version to machines in turn until one acknowledges it.
fn put(site: &Site, version: u64, machines: &[u8], limit: Duration) -> bool {
    let (start, body) = (Instant::now(), config(version));
    let mut turn = 0;
    while start.elapsed() < limit {
        let address = site.control(machines[turn % machines.len()]);
        turn += 1;
        let json = [("Content-Type", "application/json")];
        let answer = call(address, "PUT", "/config", &json, body.as_bytes(), Duration::from_secs(2));
        if answer.is_ok_and(|answer| answer.status == 200) {
            return true;
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    false
}

fn status(site: &Site, machine: u8) -> String {
    let address: SocketAddr = format!("{}:{STATUS_PORT}", site.ip(machine)).parse().unwrap();
    call(address, "GET", "/status", &[], b"", Duration::from_secs(1)).map(|answer| answer.text()).unwrap_or_default()
}

fn applied_plan(site: &Site, machine: u8) -> Option<u64> {
    let text = status(site, machine);
    let rest = text.split("\"plan\":").nth(1)?;
    rest.split(|c: char| !c.is_ascii_digit()).next()?.parse().ok()
}

fn leader(site: &Site) -> Option<u8> {
    (1..=3).find(|machine| status(site, *machine).contains("\"role\":\"leader\""))
}

fn start_core(site: &Site, machine: u8, bootstrap: bool) -> Option<Process> {
    let zone = ZONES[usize::from(machine - 1) % 3];
    fs::create_dir_all(site.data_folder(machine)).ok()?;
    let settings = site.write_settings("core", machine, zone, &[1, 2, 3], bootstrap);
    let log = site.folder.join(format!("log-{machine}.txt"));
    Process::start("target/release/micaspool-core", &settings, &log).ok()
}

/// What the configuration log holds since it was last shortened, as the operators can tell from the sizes.
struct Changes {
    next: u64,
    since_shortened: usize,
    /// The number of changes after which the log is shortened.
    period: usize,
}

impl Changes {
    fn note(&mut self, count: u64) {
        self.next += count;
        self.since_shortened += count as usize;
        if self.since_shortened >= self.period {
            self.since_shortened -= self.period;
        }
    }
}

fn play(site: &Site, record: &Record) -> i32 {
    let mut cores = Vec::new();
    for machine in 1..=3 {
        match start_core(site, machine, true) {
            Some(core) => cores.push(core),
            None => return COULD_NOT_RUN,
        }
    }
    record.note("cores 1, 2 and 3 start for the first time");
    let mut changes = Changes { next: 1, since_shortened: 0, period: 4 * 1024 * 1024 / config(1).len() + 1 };
    if !put(site, 1, &[1, 2, 3], Duration::from_secs(20)) {
        return COULD_NOT_RUN;
    }
    changes.note(1);
    let start = Instant::now();
    let mut freezes = 0;
    let mut behind = None;
    let mut other = 3;
    while start.elapsed() < FREEZE_TIME && behind.is_none() {
        while changes.since_shortened != changes.period - 1 {
            if !put(site, changes.next, &[1, 2, 3], Duration::from_secs(4)) {
                return COULD_NOT_RUN;
            }
            changes.note(1);
        }
        let Some(leads) = leader(site) else { continue };
        let frozen = (1..=3).find(|machine| *machine != leads).unwrap();
        other = (1..=3).find(|machine| *machine != leads && *machine != frozen).unwrap();
        if !is_calm() {
            cores[usize::from(frozen) - 1].signal(SIGSTOP);
            freezes += 1;
        }
        std::thread::sleep(Duration::from_millis(120 + freezes % 7 * 14));
        let (one, two) = (changes.next, changes.next + 1);
        let both = std::thread::scope(|scope| {
            let one = scope.spawn(|| put(site, one, &[leads, other], Duration::from_secs(4)));
            let two = scope.spawn(|| put(site, two, &[other, leads], Duration::from_secs(4)));
            one.join().unwrap_or(false) && two.join().unwrap_or(false)
        });
        changes.note(2);
        std::thread::sleep(Duration::from_millis(250));
        cores[usize::from(frozen) - 1].signal(SIGCONT);
        if !both {
            record.note("a change was not acknowledged within 4 s");
        }
        std::thread::sleep(Duration::from_millis(400));
        let held = |machine| applied_plan(site, machine);
        if held(frozen) < held(leads) {
            std::thread::sleep(Duration::from_millis(1_600));
            if held(frozen) < held(leads) {
                record.note(&format!(
                    "core {frozen} stays behind core {leads}, the leader, 2 s after freeze {freezes}: {:?} and {:?}",
                    held(frozen),
                    held(leads)
                ));
                behind = Some(leads);
            }
        }
    }
    record.note(&format!("{freezes} freezes of core machines; {} changes acknowledged", changes.next - 1));
    std::thread::sleep(CATCH_UP);
    if is_calm() {
        record.note("no disruption");
    } else {
        let victim = usize::from(other) - 1;
        cores[victim].signal(SIGKILL);
        cores[victim].wait(Duration::from_secs(2));
        let _ = fs::remove_dir_all(site.data_folder(other));
        record.note(&format!("core {other} is killed and its disk is lost"));
        std::thread::sleep(DOWN);
        match start_core(site, other, false) {
            Some(core) => cores[victim] = core,
            None => return COULD_NOT_RUN,
        }
        record.note(&format!("core {other} starts again at its address with an empty disk"));
    }
    let newest = config(changes.next - 1);
    let is_whole = read(site, record, &newest);
    let alive = cores.iter_mut().filter_map(|core| core.is_running().then_some(())).count();
    record.note(&format!("cores running: {alive}; the newest acknowledged version was read back: {is_whole}"));
    match (alive, is_whole) {
        (3, true) => HELD,
        (3, false) => BROKEN,
        _ => COULD_NOT_RUN,
    }
}

/// Reads the configuration from the machines in turn until one answers with the expected one.
fn read(site: &Site, record: &Record, expected: &str) -> bool {
    let start = Instant::now();
    let mut counts = std::collections::BTreeMap::new();
    let mut turn = 0;
    while start.elapsed() < READ_LIMIT {
        let machine = 1 + turn % 3;
        turn += 1;
        let seen = match call(site.control(machine), "GET", "/config", &[], b"", Duration::from_secs(1)) {
            Ok(answer) if answer.status == 200 => {
                record.note(&format!("core {machine} answers the read with 200, {} bytes", answer.body.len()));
                return answer.text() == expected;
            }
            Ok(answer) => format!("core {machine}: {} {}", answer.status, answer.text()),
            Err(error) => format!("core {machine}: {error}"),
        };
        *counts.entry(seen).or_insert(0) += 1;
        std::thread::sleep(Duration::from_millis(300));
    }
    for (seen, count) in counts {
        record.note(&format!("{count} reads: {seen}"));
    }
    false
}

fn main() {
    let folder = PathBuf::from(std::env::args().nth(1).expect("the folder of the case"));
    let record = Record::create(&folder);
    let Some(site) = Site::find() else { std::process::exit(COULD_NOT_RUN) };
    let code = play(&site, &record);
    drop(site);
    record.note(match code {
        HELD => "result: the rule held",
        BROKEN => "result: the rule was broken",
        _ => "result: the case could not run",
    });
    std::process::exit(code);
}
