// Helpers of the scripts of the second review: starts the project's programs on loopback addresses, talks HTTP/1.1 to
// them and writes the record. Standard library only; included by the programs of the cases.

use std::fs;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: u64) -> i32;
}

/// Ends a child with the thread that started it (`PR_SET_PDEATHSIG`), however that ends.
const END_WITH_PARENT: i32 = 1;

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

/// The port of the control interface and the ports that the processes use among themselves.
pub const CONTROL_PORT: u16 = 8785;
pub const FRONT_PORT: u16 = 8783;
pub const READY_PORT: u16 = 8780;
pub const FIRST_INTERNAL_PORT: u16 = 7400;
pub const LAST_INTERNAL_PORT: u16 = 7415;

/// The result of a case, as an exit code.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const COULD_NOT_RUN: i32 = 2;

/// Writes what happens to `record.txt`, with the time since the start.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<fs::File>>,
}

impl Record {
    pub fn create(folder: &Path) -> Record {
        let file = fs::File::create(folder.join("record.txt")).expect("the folder of the case can be written");
        Record { start: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    pub fn note(&self, text: &str) {
        let line = format!("{:8.3} {text}\n", self.start.elapsed().as_secs_f64());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
        print!("{line}");
    }
}

/// A range of loopback addresses that this run uses alone, and a temporary folder.
pub struct Site {
    net: String,
    pub folder: PathBuf,
}

impl Site {
    /// Finds a range whose ports are free.
    pub fn find() -> Option<Site> {
        for attempt in 0..50u32 {
            let seed = std::process::id().wrapping_mul(31).wrapping_add(attempt.wrapping_mul(97));
            let net = format!("127.{}.{}", 20 + seed % 200, 1 + (seed / 200) % 250);
            let ports = [CONTROL_PORT, FRONT_PORT, READY_PORT, FIRST_INTERNAL_PORT, 9464];
            let is_free = |port: &u16| TcpListener::bind((format!("{net}.1").as_str(), *port)).is_ok();
            if ports.iter().all(is_free) {
                let folder = std::env::temp_dir().join(format!("micaspool-review-{}", std::process::id()));
                fs::create_dir_all(&folder).ok()?;
                return Some(Site { net, folder });
            }
        }
        None
    }

    pub fn ip(&self, machine: u8) -> String {
        format!("{}.{machine}", self.net)
    }

    pub fn control(&self, machine: u8) -> SocketAddr {
        format!("{}:{CONTROL_PORT}", self.ip(machine)).parse().unwrap()
    }

    pub fn front(&self, machine: u8) -> SocketAddr {
        format!("{}:{FRONT_PORT}", self.ip(machine)).parse().unwrap()
    }

    pub fn data_folder(&self, machine: u8) -> PathBuf {
        self.folder.join(format!("data-{machine}"))
    }

    /// Writes the settings file of a core or front machine and returns its path.
    pub fn write_settings(&self, role: &str, machine: u8, zone: &str, seeds: &[u8], bootstrap: bool) -> PathBuf {
        let ip = self.ip(machine);
        let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{}\"", self.control(*seed))).collect();
        let is_core = role == "core";
        let listen = match is_core {
            true => format!("control = \"{ip}:{CONTROL_PORT}\"\n"),
            false => format!("front = \"{ip}:{FRONT_PORT}\"\nreadiness = \"{ip}:{READY_PORT}\"\n"),
        };
        let disk = match is_core {
            true => format!("data_dir = \"{}\"\n", self.data_folder(machine).display()),
            false => String::new(),
        };
        let serves = if is_core { "control" } else { "front" };
        let text = format!(
            "node_name = \"{role}-{zone}-{machine}\"\nrole = \"{role}\"\nmachine_class = \"{role}\"\n\
             serves = [\"{serves}\"]\nip = \"{ip}\"\nzone = \"{zone}\"\nregion = \"valle-central\"\n\
             internal_ports = [{FIRST_INTERNAL_PORT},{LAST_INTERNAL_PORT}]\nseeds = [{}]\n\
             bootstrap = {bootstrap}\nfault_counted = {is_core}\ndiscovery = \"registration\"\nentry = \"vip\"\n\
             heartbeat_ms = 1200\nconfig_mode = \"highest\"\n\
             contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\"stream\",\"tenants\"]\n\
             {disk}[zones]\ncartago-a = \"valle-central\"\nheredia-b = \"valle-central\"\nalajuela-c = \"valle-central\"\n\
             [listen]\n{listen}[limits]\ncpu_share = 0.3\ncores = 1\nmemory_mb = 256\nmax_fds = 4096\n\
             link_mbps = 1000.0\ndisk_mb = {}\n[fault_tolerance]\nmachines = 1\nzones = 1\nregions = 0\n\
             [bounds]\nseed_lag_s = 3\naddr_reuse_s = 2\ncontact_ms = 3000\nack_ms = 4000\ncatch_up_s = 4\n\
             drain_ms = 2000\ngrace_s = 8\nloss_slack_ms = 200\nconfig_apply_ms = 2000\nrollback_slack_ms = 250\n\
             max_skew_ms = 5000\nstrict_revoke = false\nrevoke_ms = 5000\nretry_budget_ratio = 0.2\n\
             budget_window_s = 10\nbudget_slack = 56\nrecovery_s = 12\npass_ms = 120\nagain_s = 10\nquota_window_s = 4\n",
            seeds.join(","),
            if is_core { 128 } else { 0 },
        );
        let path = self.folder.join(format!("settings-{machine}.toml"));
        fs::write(&path, text).expect("the temporary folder can be written");
        path
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// A process that the case started. It is killed when this is dropped.
pub struct Process {
    child: Child,
}

impl Process {
    /// Starts a program of the deploy file from the root of the repository.
    pub fn start(program: &str, settings: &Path, log: &Path) -> std::io::Result<Process> {
        let log = fs::OpenOptions::new().create(true).append(true).open(log)?;
        let mut command = Command::new(program);
        command.env_clear().env("MICASPOOL_SETTINGS", settings);
        for name in ["PATH", "HOME", "LANG"] {
            if let Some(value) = std::env::var_os(name) {
                command.env(name, value);
            }
        }
        command.stdin(Stdio::null()).stdout(log.try_clone()?).stderr(log);
        // SAFETY: only a system call between fork and exec.
        unsafe {
            std::os::unix::process::CommandExt::pre_exec(&mut command, || {
                prctl(END_WITH_PARENT, SIGKILL as u64);
                Ok(())
            });
        }
        Ok(Process { child: command.spawn()? })
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    pub fn signal(&self, signal: i32) {
        // SAFETY: sends a signal to a child that has not been waited for.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    /// Waits until the process has ended; false if it has not within the limit.
    pub fn wait(&mut self, limit: Duration) -> bool {
        let start = Instant::now();
        while start.elapsed() < limit {
            if let Ok(Some(_)) = self.child.try_wait() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        false
    }

    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// An answer of HTTP/1.1.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Sends one request on a new connection and reads the answer; an error says what was seen in place of one.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> Result<Answer, String> {
    let end = Instant::now() + limit;
    let mut stream = TcpStream::connect_timeout(&address, limit.min(Duration::from_secs(1)))
        .map_err(|error| format!("no connection: {error}"))?;
    let mut head = format!("{method} {path} HTTP/1.1\r\n");
    if !headers.iter().any(|(name, _)| name.eq_ignore_ascii_case("host")) {
        head.push_str(&format!("Host: {address}\r\n"));
    }
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str(&format!("Content-Length: {}\r\nConnection: close\r\n\r\n", body.len()));
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes).map_err(|error| format!("not sent: {error}"))?;
    read_answer(&mut stream, end)
}

/// Reads an answer until its end.
pub fn read_answer(stream: &mut TcpStream, end: Instant) -> Result<Answer, String> {
    let mut bytes = Vec::new();
    let mut chunk = [0; 65536];
    loop {
        if let Some(answer) = parse_answer(&bytes, false) {
            return Ok(answer);
        }
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err("no answer in time".to_owned());
        }
        stream.set_read_timeout(Some(left)).map_err(|error| error.to_string())?;
        match stream.read(&mut chunk) {
            Ok(0) => return parse_answer(&bytes, true).ok_or_else(|| "closed without a whole answer".to_owned()),
            Ok(count) => bytes.extend_from_slice(&chunk[..count]),
            Err(error) => return Err(format!("no whole answer: {error}")),
        }
    }
}

fn parse_answer(bytes: &[u8], is_closed: bool) -> Option<Answer> {
    let head_end = bytes.windows(4).position(|window| window == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&bytes[..head_end]).into_owned();
    let mut lines = head.split("\r\n");
    let status = lines.next()?.split(' ').nth(1)?.parse().ok()?;
    let headers: Vec<(String, String)> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()))
        .collect();
    let answer = Answer { status, headers, body: Vec::new() };
    let rest = &bytes[head_end..];
    if answer.header("transfer-encoding").is_some() {
        return Some(Answer { body: parse_chunks(rest)?, ..answer });
    }
    match answer.header("content-length").and_then(|length| length.parse::<usize>().ok()) {
        Some(length) if rest.len() >= length => Some(Answer { body: rest[..length].to_vec(), ..answer }),
        Some(_) => None,
        None if is_closed => Some(Answer { body: rest.to_vec(), ..answer }),
        None => None,
    }
}

fn parse_chunks(mut rest: &[u8]) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let line_end = rest.windows(2).position(|window| window == b"\r\n")?;
        let size = usize::from_str_radix(String::from_utf8_lossy(&rest[..line_end]).trim(), 16).ok()?;
        rest = &rest[line_end + 2..];
        if size == 0 {
            return Some(body);
        }
        body.extend_from_slice(rest.get(..size)?);
        rest = rest.get(size + 2..)?;
    }
}

/// Returns true if the disruption is to be left out (`TROUBLE=0`).
pub fn is_calm() -> bool {
    std::env::var("TROUBLE").is_ok_and(|value| value == "0")
}
