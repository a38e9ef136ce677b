//! Instants of the boot-time clock.

use rustix::time::{clock_gettime, clock_gettime_dynamic, ClockId, DynamicClockId, Timespec};
use std::ops::{Add, AddAssign, Sub};
use std::sync::OnceLock;
use std::time::Duration;

/// An instant of the boot-time clock, which also advances while the machine is suspended. On systems without such a
/// clock the monotonic clock is used, see [`counts_suspended_time`].
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct BootInstant(Duration);

/// Returns true if the system has a clock that also advances while the machine is suspended.
pub fn counts_suspended_time() -> bool {
    static SUPPORTED: OnceLock<bool> = OnceLock::new();
    *SUPPORTED.get_or_init(|| clock_gettime_dynamic(DynamicClockId::Boottime).is_ok())
}

impl BootInstant {
    /// Returns the current instant. A reading takes about 50 ns, as does one of the monotonic clock (bench `clock`).
    pub fn now() -> BootInstant {
        if counts_suspended_time() {
            if let Ok(time) = clock_gettime_dynamic(DynamicClockId::Boottime) {
                return BootInstant(to_duration(time));
            }
        }
        BootInstant(monotonic_now())
    }

    /// Returns the time elapsed since this instant.
    pub fn elapsed(&self) -> Duration {
        BootInstant::now().saturating_duration_since(*self)
    }

    /// Returns the time from `earlier` to this instant, or zero if `earlier` is later.
    pub fn saturating_duration_since(&self, earlier: BootInstant) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// Returns the time from `earlier` to this instant, or zero if `earlier` is later.
    pub fn duration_since(&self, earlier: BootInstant) -> Duration {
        self.saturating_duration_since(earlier)
    }

    /// Returns the time since boot.
    pub fn since_boot(&self) -> Duration {
        self.0
    }
}

/// Reads the monotonic clock, which stops while the machine is suspended.
pub(crate) fn monotonic_now() -> Duration {
    to_duration(clock_gettime(ClockId::Monotonic))
}

fn to_duration(time: Timespec) -> Duration {
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u32::try_from(time.tv_nsec).unwrap_or(0);
    Duration::new(seconds, nanos)
}

impl Add<Duration> for BootInstant {
    type Output = BootInstant;

    fn add(self, span: Duration) -> BootInstant {
        BootInstant(self.0.saturating_add(span))
    }
}

impl AddAssign<Duration> for BootInstant {
    fn add_assign(&mut self, span: Duration) {
        *self = *self + span;
    }
}

impl Sub<Duration> for BootInstant {
    type Output = BootInstant;

    fn sub(self, span: Duration) -> BootInstant {
        BootInstant(self.0.saturating_sub(span))
    }
}

impl Sub<BootInstant> for BootInstant {
    type Output = Duration;

    fn sub(self, earlier: BootInstant) -> Duration {
        self.saturating_duration_since(earlier)
    }
}
