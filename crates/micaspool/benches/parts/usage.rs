//! Reads the processor time, resident memory and control bytes of a daemon.

use crate::harness::calls::get;
use crate::harness::Daemon;
use std::time::{Duration, Instant};

/// The resource usage of a process since its start.
#[derive(Clone, Copy, Debug)]
pub struct Usage {
    at: Instant,
    cpu: Duration,
    pub resident: u64,
    pub bytes: u64,
}

/// The resource usage of a process between two readings.
#[derive(Clone, Copy, Debug)]
pub struct UsageDelta {
    pub seconds: f64,
    pub cpu_micros: f64,
    pub bytes: f64,
}

impl Usage {
    pub async fn read(daemon: &Daemon) -> Usage {
        let metrics = get(daemon.addresses["status"], "/metrics").await;
        let series = metrics.lines().filter(|line| line.starts_with("micaspool_control_bytes"));
        let bytes = series.filter_map(|line| line.rsplit(' ').next()?.parse::<u64>().ok()).sum();
        Usage { at: Instant::now(), cpu: cpu_time(daemon.pid()), resident: resident(daemon.pid()), bytes }
    }

    pub fn since(&self, earlier: &Usage) -> UsageDelta {
        UsageDelta {
            seconds: self.at.duration_since(earlier.at).as_secs_f64(),
            cpu_micros: (self.cpu - earlier.cpu).as_secs_f64() * 1e6,
            bytes: (self.bytes - earlier.bytes) as f64,
        }
    }
}

impl UsageDelta {
    /// The processor time in percent of one core.
    pub fn core_percent(&self) -> f64 {
        self.cpu_micros / self.seconds / 1e4
    }

    pub fn kilobytes_per_second(&self) -> f64 {
        self.bytes / self.seconds / 1e3
    }
}

/// Waits until the call with this number is due, at `rate` calls per second.
pub async fn wait_until_due(started: Instant, number: u64, rate: u64) {
    let due = Duration::from_micros(number * 1_000_000 / rate);
    async_std::task::sleep(due.saturating_sub(started.elapsed())).await;
}

/// The processor time of all threads of a process.
pub fn cpu_time(pid: u32) -> Duration {
    let tasks = std::fs::read_dir(format!("/proc/{pid}/task")).into_iter().flatten().flatten();
    let nanos = tasks.filter_map(|task| {
        let text = std::fs::read_to_string(task.path().join("schedstat")).ok()?;
        text.split_whitespace().next()?.parse::<u64>().ok()
    });
    Duration::from_nanos(nanos.sum())
}

/// The resident memory of a process in bytes.
pub fn resident(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok()).unwrap_or(0) * 1_024
}
