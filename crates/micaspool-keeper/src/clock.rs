//! Monotonic and wall clock of a keeper.

use micaspool_clock::BootInstant;
use micaspool_ledger::LedgerTime;
use micaspool_types::Moment;
use std::time::{SystemTime, UNIX_EPOCH};

/// A monotonic clock that yields the [`Moment`]s of the consensus state machine, counted from its
/// creation.
#[derive(Debug, Clone, Copy)]
pub(crate) struct MonotonicClock {
    start: BootInstant,
}

impl MonotonicClock {
    pub fn start() -> MonotonicClock {
        MonotonicClock { start: BootInstant::now() }
    }

    pub fn now(&self) -> Moment {
        Moment(0) + self.start.elapsed()
    }
}

/// Returns the wall-clock time. The ledger uses it only for retention; hall orders show it to
/// operators.
pub(crate) fn ledger_time() -> LedgerTime {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    LedgerTime(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
}
