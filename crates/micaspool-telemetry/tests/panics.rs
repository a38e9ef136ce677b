//! Tests that panics are logged and counted, in child processes that run the part `child_process` of this file.

use async_std::task;
use micaspool_telemetry::events::{record, PROCESS_READY};
use micaspool_telemetry::logging::{self, LogOptions, LogTarget};
use micaspool_telemetry::metrics::encode_text;
use micaspool_telemetry::panics;
use prometheus_client::registry::Registry;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};
use test_case::test_case;

/// The environment variable that selects what the child process does.
const PART: &str = "MICASPOOL_TEST_PART";
/// The environment variable with the log file of the child process.
const LOG_FILE: &str = "MICASPOOL_TEST_LOG";
/// How long a child process may run, and how long a panic may take to be counted.
const LIMIT: Duration = Duration::from_secs(10);
/// The exit code of the child process that ends with a panic of the thread that started logging.
const MAIN_EXIT: i32 = 4;
/// The exit code of the child process whose log nobody reads.
const UNREAD_EXIT: i32 = 3;
/// More panics than are logged in a second.
const BURST: u64 = 300;

/// What the child process wrote.
struct ChildOutput {
    log: String,
    errors: String,
}

fn child(part: &str) -> Command {
    let mut command = Command::new(std::env::current_exe().expect("the path of the tests is known"));
    command.args(["--exact", "child_process", "--nocapture"]).env(PART, part).env("RUST_BACKTRACE", "0");
    command.stdin(Stdio::null());
    command
}

fn run(part: &str) -> ChildOutput {
    let output = child(part).output().expect("the tests can be started again");
    ChildOutput {
        log: String::from_utf8_lossy(&output.stdout).into_owned(),
        errors: String::from_utf8_lossy(&output.stderr).into_owned(),
    }
}

impl ChildOutput {
    fn panic_lines(&self) -> Vec<&str> {
        self.log.lines().filter(|line| line.contains("\"event\":\"MP1006\"")).collect()
    }
}

fn wait_counted(panic_count: u64) {
    let deadline = Instant::now() + LIMIT;
    while panics::count() < panic_count && Instant::now() < deadline {
        std::thread::sleep(Duration::from_millis(5));
    }
}

fn start_logging(target: LogTarget) {
    let options = LogOptions { target, level: "info".to_owned(), instance: "i-1".to_owned() };
    logging::start(options).expect("the process has no logger yet");
}

/// Does nothing unless a row below has started this process.
#[test]
fn child_process() {
    let Ok(part) = std::env::var(PART) else { return };
    let file = std::env::var_os(LOG_FILE).map(PathBuf::from);
    start_logging(file.map_or(LogTarget::Stdout, LogTarget::File));
    match part.as_str() {
        "thread" => drop(std::thread::spawn(|| panic!("seven of {}", 9)).join()),
        "async-std" => drop(task::spawn(async { panic!("seven of {}", 9) })),
        "tokio" => {
            let runtime = tokio::runtime::Builder::new_current_thread().build().expect("a runtime");
            let ended = runtime.block_on(async { tokio::spawn(async { panic!("seven of {}", 9) }).await });
            assert!(ended.is_err());
        }
        "main" => {
            let _ = std::panic::catch_unwind(|| panic!("seven of {}", 9));
            std::process::exit(MAIN_EXIT);
        }
        "burst" => {
            let burst =
                || drop((0..BURST).map(|_| std::panic::catch_unwind(|| panic!("again"))).collect::<Vec<_>>());
            std::thread::spawn(burst).join().expect("each panic is caught");
        }
        "unread" => {
            for _ in 0..4_000 {
                record(&PROCESS_READY, &[]);
            }
            let _ = std::panic::catch_unwind(|| panic!("seven of nine"));
            std::process::exit(UNREAD_EXIT);
        }
        _ => unreachable!("a row starts one of these parts"),
    }
    wait_counted(if part == "burst" { BURST } else { 1 });
    // The line reaches the log through another thread.
    std::thread::sleep(Duration::from_millis(100));
    logging::flush();
    println!("{}", encode_text(&Registry::default()));
}

#[test_case("thread")]
#[test_case("async-std")]
#[test_case("tokio")]
fn a_panic_is_logged_counted_and_still_reported(part: &str) {
    let output = run(part);
    let lines = output.panic_lines();
    assert_eq!(lines.len(), 1, "{}", output.log);
    for expected in ["\"level\":\"ERROR\"", "tests/panics.rs:", "seven of 9", "thread="] {
        assert!(lines[0].contains(expected), "{expected} is not in {}", lines[0]);
    }
    assert!(output.log.contains("micaspool_panics_total 1\n"), "{}", output.log);
    assert!(output.errors.contains("seven of 9"), "{}", output.errors);
}

#[test]
fn a_panic_of_the_main_thread_is_in_the_log_before_the_process_ends() {
    let output = run("main");
    assert_eq!(output.panic_lines().len(), 1, "{}", output.log);
    assert!(!output.log.contains("micaspool_panics_total"), "the child went on: {}", output.log);
}

#[test]
fn a_panic_of_the_main_thread_is_in_the_log_file() {
    let path = std::env::temp_dir().join(format!("micaspool-panics-{}", std::process::id()));
    let ended = child("main").env(LOG_FILE, &path).stdout(Stdio::null()).stderr(Stdio::null()).status();
    let log = read_and_remove(&path);
    assert_eq!(ended.expect("the tests can be started again").code(), Some(MAIN_EXIT));
    assert!(log.contains("\"event\":\"MP1006\"") && log.contains("seven of 9"), "{log}");
}

fn read_and_remove(path: &Path) -> String {
    let log = std::fs::read_to_string(path).unwrap_or_default();
    let _ = std::fs::remove_file(path);
    log
}

#[test]
fn a_burst_of_panics_is_counted_whole_and_logged_in_part() {
    let output = run("burst");
    let lines = output.panic_lines().len();
    assert!((1..=40).contains(&lines), "{lines} lines");
    assert!(output.log.contains(&format!("micaspool_panics_total {BURST}\n")), "{}", output.log);
}

#[test]
fn a_panic_does_not_wait_long_for_a_log_that_nobody_reads() {
    let mut process = child("unread")
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .expect("the tests can be started again");
    let deadline = Instant::now() + LIMIT;
    while process.try_wait().expect("its status can be read").is_none() && Instant::now() < deadline {
        std::thread::sleep(Duration::from_millis(10));
    }
    let _ = process.kill();
    let status = process.wait().expect("its status can be read");
    assert_eq!(status.code(), Some(UNREAD_EXIT), "it did not end by itself");
}
