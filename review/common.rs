//! What the scripts of this review share: a small deployment of the project's programs on loopback, stand-ins for
//! clients, the operator and workers, and a record of what they saw. Standard library only.
#![allow(dead_code)]

use std::collections::HashMap;
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Write};
use std::net::{IpAddr, Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const COULD_NOT_RUN: i32 = 2;

/// The bounds of a sheet that differ between the deployments, in milliseconds.
#[derive(Clone, Copy)]
pub struct Bounds {
    pub contact_ms: u64,
    pub drain_ms: u64,
    pub heartbeat_ms: u64,
}

impl Bounds {
    /// Those of the small deployments, such as hornos-unidos.
    pub const SMALL: Bounds = Bounds { contact_ms: 3_000, drain_ms: 2_000, heartbeat_ms: 1_200 };
    /// Those of fjordlab-sim-grown.
    pub const FJORDLAB: Bounds = Bounds { contact_ms: 4_000, drain_ms: 2_500, heartbeat_ms: 1_200 };
    /// Those of acopio-ruta-fleet.
    pub const FLEET: Bounds = Bounds { contact_ms: 6_000, drain_ms: 4_000, heartbeat_ms: 2_000 };

    pub fn contact(&self) -> Duration {
        Duration::from_millis(self.contact_ms)
    }

    pub fn drain(&self) -> Duration {
        Duration::from_millis(self.drain_ms)
    }

    pub fn heartbeat(&self) -> Duration {
        Duration::from_millis(self.heartbeat_ms)
    }
}

/// The path prefix of the routes whose answers are streams.
pub const STREAMS: &str = "/lohu930/";

/// The host of all routes and the key of the only tenant.
pub const HOST: &str = "ficu95.example";
pub const KEY: &str = "asnmgkcuyj8pjbvk9m68";

/// Returns whether the disruption of the case is to happen: `TROUBLE=0` leaves it out.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// What was sent, answered and run, with milliseconds since the start.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(folder: &Path) -> Record {
        let file =
            File::create(folder.join("record.txt")).unwrap_or_else(|e| give_up(&format!("record.txt: {e}")));
        Record { start: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:>8.1} ms  {text}\n", self.now().as_secs_f64() * 1_000.0);
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}

/// What a script that gives up still has to end and to remove.
static STARTED: Mutex<(Vec<u32>, Option<PathBuf>)> = Mutex::new((Vec::new(), None));

/// Ends the script because the case could not run, and with it all processes that it started.
pub fn give_up(text: &str) -> ! {
    eprintln!("the case could not run: {text}");
    if let Ok(started) = STARTED.try_lock() {
        for id in &started.0 {
            let _ = Command::new("kill").args(["-KILL", &id.to_string()]).status();
        }
        if let Some(folder) = &started.1 {
            let _ = fs::remove_dir_all(folder);
        }
    }
    std::process::exit(COULD_NOT_RUN);
}

/// Makes a process end with the thread that starts it, however that ends. Called in the new process.
fn end_with_parent() -> io::Result<()> {
    extern "C" {
        fn prctl(option: i32, signal: u64, unused: u64, unused_too: u64, unused_as_well: u64) -> i32;
    }
    const PR_SET_PDEATHSIG: i32 = 1;
    const SIGKILL: u64 = 9;
    // SAFETY: the call has no pointers.
    match unsafe { prctl(PR_SET_PDEATHSIG, SIGKILL, 0, 0, 0) } {
        0 => Ok(()),
        _ => Err(io::Error::last_os_error()),
    }
}

/// A process of the system. It is killed when it is dropped.
pub struct Node {
    pub name: String,
    pub ip: IpAddr,
    command: Vec<String>,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    ports: Ports,
}

#[derive(Clone, Copy)]
struct Ports {
    internal: u16,
    control: u16,
    front: u16,
    ready: u16,
}

impl Node {
    pub fn control(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.ports.control)
    }

    pub fn front(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.ports.front)
    }

    pub fn readiness(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.ports.ready)
    }

    pub fn start(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log).expect("the folder is writable");
        let errors = log.try_clone().expect("the log can be shared");
        let mut command = Command::new(&self.command[0]);
        command.args(&self.command[1..]).env_clear();
        for name in ["PATH", "HOME", "LANG"] {
            if let Ok(value) = std::env::var(name) {
                command.env(name, value);
            }
        }
        command.env("MICASPOOL_SETTINGS", &self.settings).stdin(Stdio::null()).stdout(log).stderr(errors);
        // SAFETY: `end_with_parent` makes one system call and allocates nothing.
        unsafe { command.pre_exec(end_with_parent) };
        match command.spawn() {
            Ok(child) => {
                STARTED.lock().unwrap().0.push(child.id());
                self.child = Some(child);
            }
            Err(error) => give_up(&format!("{}: {error}; build the deploy file first", self.command[0])),
        }
    }

    /// Sends SIGKILL and does not wait for the end of the process.
    pub fn strike(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = child.kill();
        }
    }

    /// Ends the process with SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            STARTED.lock().unwrap().0.retain(|id| *id != child.id());
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends another signal, by the name that `kill` knows.
    pub fn signal(&self, name: &str) {
        let Some(child) = &self.child else { return };
        let sent = Command::new("kill").args([name, &child.id().to_string()]).status();
        if !sent.is_ok_and(|status| status.success()) {
            give_up("a signal could not be sent");
        }
    }

    pub fn log_text(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Cores and fronts with settings like those of a small deployment, each on a loopback address of its own.
pub struct Fleet {
    pub cores: Vec<Node>,
    pub fronts: Vec<Node>,
    folder: PathBuf,
}

impl Fleet {
    /// Writes the settings of a fleet and starts it.
    pub fn start(cores: usize, fronts: usize, bounds: Bounds) -> Fleet {
        let id = std::process::id();
        let net = [64 + (id % 64) as u8, ((id / 64) % 250) as u8];
        let address = |host: u8| Ipv4Addr::new(127, net[0], net[1], host);
        let ports = free_ports(address(1));
        let folder = std::env::temp_dir().join(format!("micaspool-review-{id}"));
        fs::create_dir_all(&folder).unwrap_or_else(|e| give_up(&format!("temporary folder: {e}")));
        STARTED.lock().unwrap().1 = Some(folder.clone());
        let seeds: Vec<String> =
            (0..cores.min(3)).map(|n| format!("\"{}:{}\"", address(1 + n as u8), ports.control)).collect();
        let node = |role: &str, index: usize, first: u8| {
            let ip = address(first + index as u8);
            let data = folder.join(format!("{role}-{index}.data"));
            let (listen, disk) = match role {
                "core" => {
                    fs::create_dir_all(&data).expect("the folder is writable");
                    (format!("control = \"{ip}:{}\"", ports.control), format!("data_dir = {data:?}\n"))
                }
                _ => (
                    format!("front = \"{ip}:{}\"\nreadiness = \"{ip}:{}\"", ports.front, ports.ready),
                    String::new(),
                ),
            };
            let zone = ZONES[index % ZONES.len()];
            let text = format!(
                "node_name = \"{role}-{zone}-{index}\"\nrole = \"{role}\"\nmachine_class = \"{role}\"\nserves = [\"{}\"]\n\
                 ip = \"{ip}\"\nzone = \"{zone}\"\nregion = \"valle-central\"\ninternal_ports = [{},{}]\nseeds = [{}]\n\
                 bootstrap = true\nfault_counted = {}\n{disk}discovery = \"registration\"\nentry = \"vip\"\n\
                 heartbeat_ms = {}\nconfig_mode = \"highest\"\n[zones]\n{}[listen]\n{listen}\n[limits]\nmemory_mb = 260\n\
                 max_fds = 4096\n[fault_tolerance]\nmachines = 1\nzones = 1\nregions = 0\n[bounds]\nseed_lag_s = 3\n\
                 addr_reuse_s = 2\ncontact_ms = {}\nack_ms = 4000\ncatch_up_s = 4\ndrain_ms = {}\ngrace_s = 8\n\
                 config_apply_ms = 2000\nmax_skew_ms = 5000\nrecovery_s = 12\n",
                if role == "core" { "control" } else { "front" },
                ports.internal,
                ports.internal + 15,
                seeds.join(","),
                role == "core",
                bounds.heartbeat_ms,
                ZONES.map(|zone| format!("{zone} = \"valle-central\"\n")).concat(),
                bounds.contact_ms,
                bounds.drain_ms,
            );
            let settings = folder.join(format!("{role}-{index}.toml"));
            fs::write(&settings, text).expect("the folder is writable");
            Node {
                name: format!("{role}-{index}"),
                ip: IpAddr::V4(ip),
                command: deploy_command(role),
                settings,
                log: folder.join(format!("{role}-{index}.log")),
                child: None,
                ports,
            }
        };
        let mut fleet = Fleet {
            cores: (0..cores).map(|index| node("core", index, 1)).collect(),
            fronts: (0..fronts).map(|index| node("front", index, 100)).collect(),
            folder,
        };
        for node in fleet.cores.iter_mut().chain(&mut fleet.fronts) {
            node.start();
        }
        fleet
    }

    /// Sends a configuration as an operator does, to one core after the other, until it is acknowledged.
    pub fn publish(&self, record: &Record, configuration: &str) {
        let end = Instant::now() + Duration::from_secs(20);
        for core in self.cores.iter().cycle() {
            if let Ok(answer) =
                call(core.control(), "PUT", "/config", &[], configuration.as_bytes(), Duration::from_secs(1))
            {
                if answer.status == 200 {
                    record.line(&format!("operator: configuration acknowledged by {}", core.name));
                    return;
                }
                if answer.status == 400 {
                    give_up(&format!("the configuration was refused: {}", answer.text()));
                }
            }
            if Instant::now() > end {
                give_up("no core acknowledged the configuration");
            }
            thread::sleep(Duration::from_millis(100));
        }
    }

    /// Waits until each front says that it is ready.
    pub fn wait_ready(&self, record: &Record) {
        let end = Instant::now() + Duration::from_secs(20);
        for front in &self.fronts {
            while !call(front.readiness(), "GET", "/readyz", &[], b"", Duration::from_secs(1))
                .is_ok_and(|a| a.status == 200)
            {
                if Instant::now() > end {
                    give_up(&format!("{} is not ready", front.name));
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
        record.line("all fronts are ready");
    }

    /// Ends all processes, and removes the folder unless `KEEP=1`.
    pub fn end(mut self) {
        for node in self.cores.iter_mut().chain(&mut self.fronts) {
            node.kill();
        }
        if std::env::var("KEEP").is_ok() {
            println!("kept: {}", self.folder.display());
        } else {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

pub const ZONES: [&str; 3] = ["cartago-a", "heredia-b", "alajuela-c"];

/// Returns ports that are free on an address: 16 internal ones and one for each interface.
fn free_ports(address: Ipv4Addr) -> Ports {
    for base in (18_000..30_000).step_by(100) {
        let wanted = (base..base + 16).chain([base + 50, base + 51, base + 52, 9_464]);
        let listeners: Vec<_> = wanted.map(|port| TcpListener::bind((address, port))).collect();
        if listeners.iter().all(Result::is_ok) {
            return Ports { internal: base, control: base + 50, front: base + 51, ready: base + 52 };
        }
    }
    give_up("no free ports")
}

/// Returns the command of a role in the deploy file.
fn deploy_command(role: &str) -> Vec<String> {
    let text = fs::read_to_string("deploy/system.toml")
        .unwrap_or_else(|e| give_up(&format!("deploy/system.toml: {e}")));
    let section =
        text.split(&format!("[roles.{role}]")).nth(1).unwrap_or_else(|| give_up("a role is missing"));
    let run = section.lines().find_map(|line| line.trim().strip_prefix("run = "));
    let run = run.unwrap_or_else(|| give_up("a command is missing")).trim().trim_matches('"');
    run.split_whitespace().map(str::to_owned).collect()
}

/// A whole message of HTTP/1.1: a request at a worker, or an answer at a client.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// The request line or the status line.
    pub first: String,
    pub status: u16,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// The path of a request.
    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }
}

fn invalid(text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, text.to_owned())
}

fn read_line(reader: &mut impl BufRead) -> io::Result<String> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 || !line.ends_with('\n') {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(line.trim_end().to_owned())
}

/// Reads one message; an answer that breaks off is an error.
pub fn read_message(reader: &mut impl BufRead) -> io::Result<Message> {
    let mut message = Message { first: read_line(reader)?, ..Message::default() };
    if message.first.starts_with("HTTP/") {
        let status = message.first.split(' ').nth(1).and_then(|status| status.parse().ok());
        message.status = status.ok_or_else(|| invalid("no status"))?;
    }
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':').ok_or_else(|| invalid("no header"))?;
        message.headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
    if message.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
        loop {
            let size = read_line(reader)?;
            let size = usize::from_str_radix(size.split(';').next().unwrap_or_default().trim(), 16);
            let size = size.map_err(|_| invalid("no chunk"))?;
            let mut chunk = vec![0; size];
            reader.read_exact(&mut chunk)?;
            message.body.extend_from_slice(&chunk);
            read_line(reader)?;
            if size == 0 {
                return Ok(message);
            }
        }
    }
    if message.status > 0 && !message.headers.contains_key("content-length") {
        // The answer ends with its connection. A reset is an error, and not its end.
        reader.read_to_end(&mut message.body)?;
        return Ok(message);
    }
    let length: usize = message.header("content-length").parse().unwrap_or(0);
    message.body = vec![0; length];
    reader.read_exact(&mut message.body)?;
    Ok(message)
}

/// Sends a request on a new connection and returns the whole answer.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(limit))?;
    stream.set_write_timeout(Some(limit))?;
    let _ = stream.set_nodelay(true);
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    if !headers.iter().any(|(name, _)| name.eq_ignore_ascii_case("host")) {
        text += &format!("Host: {address}\r\n");
    }
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += &format!("Content-Length: {}\r\n\r\n", body.len());
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)?;
    read_message(&mut BufReader::new(stream))
}

/// Sends a request as a client does, with an id of its own.
pub fn client_request(
    front: SocketAddr,
    method: &str,
    path: &str,
    id: &str,
    deadline: u64,
    body: &[u8],
) -> io::Result<Message> {
    let deadline_text = deadline.to_string();
    let bearer = format!("Bearer {KEY}");
    let headers = [
        ("Host", HOST),
        ("X-Micaspool-Request-Id", id),
        ("X-Micaspool-Deadline-Ms", deadline_text.as_str()),
        ("Authorization", bearer.as_str()),
    ];
    call(front, method, path, &headers, body, Duration::from_millis(deadline))
}

/// One run or rejection of a request at a worker.
#[derive(Debug, Clone)]
pub struct Seen {
    pub at: Duration,
    pub id: String,
    pub path: String,
}

/// How a worker answers one request.
#[derive(Default)]
pub struct Reply {
    pub bytes: Vec<u8>,
    /// True if the connection is reset a little after these bytes.
    pub reset: bool,
    /// Bytes that are sent ahead of the next answer on this connection.
    pub surplus: Option<Vec<u8>>,
    pub close: bool,
}

/// Builds a whole answer of a worker.
pub fn answer(status: &str, id: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let mut bytes = format!(
        "HTTP/1.1 {status}\r\nX-Micaspool-Request-Id: {id}\r\n{headers}Content-Length: {}\r\n\r\n",
        body.len()
    )
    .into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Makes closing a connection reset it, as far as this process is concerned: all its handles end with it.
fn reset_on_close(stream: &TcpStream) {
    extern "C" {
        fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    }
    const SOL_SOCKET: i32 = 1;
    const SO_LINGER: i32 = 13;
    let linger = [1, 0];
    // SAFETY: the descriptor is open, and the pointer is to two numbers that live longer than the call.
    if unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_LINGER, linger.as_ptr(), 8) } != 0 {
        give_up("a socket option was refused");
    }
}

/// Decides how a worker answers a request that it may run: its number on the connection and the request.
pub type Handler = Arc<dyn Fn(&Worker, &Message) -> Reply + Send + Sync>;

/// A worker of a service without engines.
pub struct Worker {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub record: Record,
    /// When this start began, in milliseconds since the epoch; sent in heartbeats if `tells_born`.
    born: AtomicU64,
    tells_born: bool,
    sequence: AtomicU64,
    /// The requests that ran.
    pub runs: Mutex<Vec<Seen>>,
    /// True while the worker is leaving: it then says so in its answers and fails its health check.
    pub leaving: AtomicBool,
    /// True while the worker is down.
    pub down: AtomicBool,
    open: Mutex<Vec<TcpStream>>,
    handler: Handler,
}

impl Worker {
    pub fn start(
        record: &Record,
        id: &str,
        service: &str,
        zone: &str,
        tells_born: bool,
        handler: Handler,
    ) -> Arc<Worker> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| give_up(&format!("no port: {e}")));
        let worker = Arc::new(Worker {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address: listener.local_addr().expect("the listener is bound"),
            record: record.clone(),
            born: AtomicU64::new(epoch_millis()),
            tells_born,
            sequence: AtomicU64::new(0),
            runs: Mutex::default(),
            leaving: AtomicBool::new(false),
            down: AtomicBool::new(false),
            open: Mutex::default(),
            handler,
        });
        let acceptor = worker.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                // A worker that is down takes no connection.
                if acceptor.down.load(Ordering::SeqCst) {
                    continue;
                }
                let _ = stream.set_nodelay(true);
                if let Ok(copy) = stream.try_clone() {
                    acceptor.open.lock().unwrap().push(copy);
                }
                let worker = acceptor.clone();
                let peer = stream.peer_addr().ok();
                thread::spawn(move || {
                    worker.serve(stream);
                    worker.open.lock().unwrap().retain(|open| open.peer_addr().ok() != peer);
                });
            }
        });
        worker
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(copy) = stream.try_clone() else { return };
        let mut writer = copy;
        let mut reader = BufReader::new(stream);
        let mut surplus: Option<Vec<u8>> = None;
        while let Ok(request) = read_message(&mut reader) {
            if let Some(bytes) = surplus.take() {
                self.record.line(&format!("worker {}: sends a surplus answer", self.id));
                if writer.write_all(&bytes).is_err() {
                    return;
                }
            }
            let reply = self.reply(&request);
            surplus = reply.surplus;
            if self.down.load(Ordering::SeqCst) || writer.write_all(&reply.bytes).is_err() {
                return;
            }
            if reply.reset {
                thread::sleep(Duration::from_millis(50));
                reset_on_close(&writer);
                return;
            }
            if reply.close {
                let _ = writer.shutdown(Shutdown::Both);
                return;
            }
        }
    }

    fn reply(&self, request: &Message) -> Reply {
        let leaving = self.leaving.load(Ordering::SeqCst);
        let close = if leaving { "Connection: close\r\n" } else { "" };
        let whole = |bytes| Reply { bytes, close: leaving, ..Reply::default() };
        if request.path() == "/health" {
            let status = if leaving { "503 Service Unavailable" } else { "200 OK" };
            return whole(answer(
                status,
                "",
                &format!("X-Micaspool-Instance-Id: {}\r\n{close}", self.id),
                b"",
            ));
        }
        if request.path() == "/report" {
            let state = if leaving { "draining" } else { "ready" };
            let report = format!(
                "{{\"stage\":\"both\",\"models\":[],\"busy\":false,\"call_seq\":0,\"waiting\":0,\"running\":0,\"kv_used\":0,\
                 \"kv_total\":0,\"handles\":0,\"state\":\"{state}\"{}}}",
                self.born_field()
            );
            return whole(answer(
                "200 OK",
                "",
                &format!("Content-Type: application/json\r\n{close}"),
                report.as_bytes(),
            ));
        }
        let expected = request.header("x-micaspool-expect-instance");
        if !expected.is_empty() && expected != self.id {
            let id = request.header("x-micaspool-request-id");
            return whole(answer(
                "421 Misdirected Request",
                id,
                &format!("X-Micaspool-Not-Executed: 1\r\n{close}"),
                b"",
            ));
        }
        (self.handler)(self, request)
    }

    /// Notes that a request ran, and returns the successful answer to it.
    pub fn run(&self, request: &Message) -> Vec<u8> {
        let id = request.header("x-micaspool-request-id");
        let body: String = match request.path().starts_with(STREAMS) {
            true => (1..=5).map(|event| format!("id: {event}\ndata: {}\n\n", self.id)).collect(),
            false => format!("answer of {} to {id}", self.id),
        };
        self.run_with_body(request, body.as_bytes())
    }

    /// The same with a given body.
    pub fn run_with_body(&self, request: &Message, body: &[u8]) -> Vec<u8> {
        let id = request.header("x-micaspool-request-id").to_owned();
        self.record.line(&format!("worker {}: runs {id}, {}", self.id, request.first));
        self.runs.lock().unwrap().push(Seen {
            at: self.record.now(),
            id: id.clone(),
            path: request.path().to_owned(),
        });
        let kind = if request.path().starts_with(STREAMS) { "text/event-stream" } else { "text/plain" };
        let close = if self.leaving.load(Ordering::SeqCst) { "Connection: close\r\n" } else { "" };
        let headers =
            format!("X-Micaspool-Response-Seal: seal-{id}-{}\r\nContent-Type: {kind}\r\n{close}", self.id);
        answer("200 OK", &id, &headers, body)
    }

    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::SeqCst)
    }

    fn born_field(&self) -> String {
        if self.tells_born {
            format!(",\"born\":{}", self.born.load(Ordering::SeqCst))
        } else {
            String::new()
        }
    }

    /// Sends a heartbeat to a core; returns true if it was acknowledged.
    pub fn beat(&self, core: &str, control: SocketAddr, state: &str) -> bool {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let body = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":8,\"state\":\"{state}\",\
             \"cold_remaining_ms\":0,\"stage\":\"both\",\"models\":[],\"call_seq\":{sequence}{}}}",
            self.service,
            self.address,
            self.zone,
            self.born_field()
        );
        let path = format!("/instances/{}", self.id);
        let headers = [("Content-Type", "application/json")];
        let answered = call(control, "PUT", &path, &headers, body.as_bytes(), Duration::from_secs(1));
        let status = answered.as_ref().map_or(0, |answer| answer.status);
        self.record.line(&format!("worker {}: heartbeat {sequence} ({state}) to {core}: {status}", self.id));
        (200..300).contains(&status)
    }

    /// Says that it leaves; returns true if that was acknowledged.
    pub fn deregister(&self, core: &str, control: SocketAddr) -> bool {
        let path = format!("/instances/{}", self.id);
        let answered = call(control, "DELETE", &path, &[], b"", Duration::from_secs(1));
        let status = answered.as_ref().map_or(0, |answer| answer.status);
        self.record.line(&format!("worker {}: DELETE to {core}: {status}", self.id));
        (200..300).contains(&status)
    }

    /// Crashes: breaks off everything and takes no more connections.
    pub fn crash(&self) {
        self.record.line(&format!("worker {}: crashes", self.id));
        self.stop();
    }

    /// Ends after it has left.
    pub fn end(&self) {
        self.record.line(&format!("worker {}: ends", self.id));
        self.stop();
    }

    fn stop(&self) {
        self.down.store(true, Ordering::SeqCst);
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Starts again under the same id. It holds and knows nothing from before.
    pub fn start_again(&self) {
        self.born.store(epoch_millis(), Ordering::SeqCst);
        self.sequence.store(0, Ordering::SeqCst);
        self.down.store(false, Ordering::SeqCst);
        self.record.line(&format!(
            "worker {}: starts again, born {}",
            self.id,
            self.born.load(Ordering::SeqCst)
        ));
    }
}

pub fn epoch_millis() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |age| age.as_millis() as u64)
}

/// Clients that call all the while until they are ended: each sends one request after the other, each with an id of its
/// own and at one front after the other.
pub struct Clients {
    ended: Arc<AtomicBool>,
    threads: Vec<thread::JoinHandle<usize>>,
}

impl Clients {
    pub fn start(
        record: &Record,
        fleet: &Fleet,
        count: usize,
        method: &'static str,
        path: &'static str,
    ) -> Clients {
        let ended = Arc::new(AtomicBool::new(false));
        let fronts: Vec<_> = fleet.fronts.iter().map(Node::front).collect();
        let client = |client: usize| {
            let (ended, record, fronts) = (ended.clone(), record.clone(), fronts.clone());
            thread::spawn(move || {
                let mut served = 0;
                let mut number = 0_usize;
                while !ended.load(Ordering::SeqCst) {
                    let id = format!("9c41{client:04x}{number:08x}");
                    let front = (client + number) % fronts.len();
                    let answer = client_request(fronts[front], method, path, &id, 1_500, b"");
                    let status =
                        answer.map_or_else(|error| error.to_string(), |answer| answer.status.to_string());
                    record.line(&format!("client: {id} at front-{front} answered {status}"));
                    served += usize::from(status == "200");
                    number += 1;
                    thread::sleep(Duration::from_millis(60));
                }
                served
            })
        };
        let threads = (0..count).map(client).collect();
        Clients { ended, threads }
    }

    /// Ends the clients and returns how many requests were served.
    pub fn end(self) -> usize {
        self.ended.store(true, Ordering::SeqCst);
        self.threads.into_iter().map(|thread| thread.join().unwrap_or(0)).sum()
    }
}

/// A worker's answer that takes some time.
pub fn working_handler(work: Duration) -> Handler {
    Arc::new(move |worker, request| {
        let bytes = worker.run(request);
        thread::sleep(work);
        Reply { bytes, close: worker.is_leaving(), ..Reply::default() }
    })
}

/// A configuration with one idempotent route to one service.
pub fn idempotent_configuration(service: &str) -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-1\",\"host\":\"{HOST}\",\"path_prefix\":\"/pufi791/\",\
         \"route_type\":\"idempotent\",\"timeout_ms\":800,\"target_latency_ms\":100,\"priority\":2,\"service\":\"{service}\",\
         \"max_attempts\":2,\"public\":false}}],\"services\":[{{\"name\":\"{service}\",\"health_path\":\"/health\",\
         \"max_connections\":110,\"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"hule930\",\"api_keys\":[\"{KEY}\"],\"priority\":1}}]}}"
    )
}

/// Says how many requests ran at a worker later than `counts_from`, of those that a DELETE at `acknowledged` should have
/// kept away; returns the exit code of the case.
pub fn judge_drain(record: &Record, worker: &Worker, acknowledged: Duration, counts_from: Duration) -> i32 {
    let runs = worker.runs.lock().unwrap().clone();
    let before = runs.iter().filter(|run| run.at <= acknowledged).count();
    let late: Vec<_> = runs.iter().filter(|run| run.at > counts_from).collect();
    record.say(&format!("the leaving worker ran {before} requests before its DELETE"));
    if before < 5 {
        give_up("too few requests reached the worker for the case to say anything");
    }
    let last = late.last().map_or(0, |run| (run.at - acknowledged).as_millis());
    record.say(&format!(
        "{} requests ran at the worker later than {} ms after its DELETE was acknowledged, the last after {last} ms",
        late.len(),
        (counts_from - acknowledged).as_millis()
    ));
    if late.is_empty() {
        HELD
    } else {
        BROKEN
    }
}
