//! Measures the memory of the process.

use cap::Cap;
use std::alloc::System;
use std::fmt;

/// The size of a memory page in `/proc/self/statm`, in bytes.
const PAGE_BYTES: u64 = 4_096;

/// Measures the memory that a process uses.
pub trait MemoryGauge: fmt::Debug + Send + Sync {
    /// Returns the number of bytes in use.
    fn bytes_in_use(&self) -> u64;
}

/// The system's allocator with a count of the bytes in use, to be declared with `#[global_allocator]`.
///
/// Unlike the resident memory of the process, the count falls as soon as memory is freed.
pub type CountingHeap = Cap<System>;

/// Returns a counting allocator that sets no limit itself.
pub const fn counting_heap() -> CountingHeap {
    Cap::new(System, usize::MAX)
}

impl MemoryGauge for &'static CountingHeap {
    fn bytes_in_use(&self) -> u64 {
        self.allocated() as u64
    }
}

/// Returns the resident memory of the process, in bytes, as the system counts it; `None` if the system does not tell.
pub fn resident_bytes() -> Option<u64> {
    let text = std::fs::read_to_string("/proc/self/statm").ok()?;
    let pages: u64 = text.split_whitespace().nth(1)?.parse().ok()?;
    Some(pages * PAGE_BYTES)
}
