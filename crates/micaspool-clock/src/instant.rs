//! A moment on the clock since boot.

use rustix::time::{clock_gettime, clock_gettime_dynamic, ClockId, DynamicClockId, Timespec};
use std::ops::{Add, AddAssign, Sub};
use std::sync::OnceLock;
use std::time::Duration;

/// A moment on the clock since boot, which also counts while the machine is suspended. Where the system has no such
/// clock it is the steady one, see [`counts_suspended_time`].
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct BootInstant(Duration);

/// True where the clock also counts while the machine is suspended.
pub fn counts_suspended_time() -> bool {
    static SUPPORTED: OnceLock<bool> = OnceLock::new();
    *SUPPORTED.get_or_init(|| clock_gettime_dynamic(DynamicClockId::Boottime).is_ok())
}

impl BootInstant {
    /// This moment. A reading takes some 50 ns, as one of the steady clock does (bench `clock`).
    pub fn now() -> BootInstant {
        if counts_suspended_time() {
            if let Ok(time) = clock_gettime_dynamic(DynamicClockId::Boottime) {
                return BootInstant(span(time));
            }
        }
        BootInstant(steady_now())
    }

    /// The time since this moment.
    pub fn elapsed(&self) -> Duration {
        BootInstant::now().saturating_duration_since(*self)
    }

    /// The time from `earlier` to this moment; zero when `earlier` is later.
    pub fn saturating_duration_since(&self, earlier: BootInstant) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// The time from `earlier` to this moment; zero when `earlier` is later.
    pub fn duration_since(&self, earlier: BootInstant) -> Duration {
        self.saturating_duration_since(earlier)
    }

    /// The time since boot.
    pub fn since_boot(&self) -> Duration {
        self.0
    }
}

/// The steady clock, which stands still while the machine is suspended.
pub(crate) fn steady_now() -> Duration {
    span(clock_gettime(ClockId::Monotonic))
}

fn span(time: Timespec) -> Duration {
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
