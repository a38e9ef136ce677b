//! Tests promises against what is measured.

use micaspool_memory::{counting_heap, CountingHeap, MemoryAccount, MemoryGauge};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

#[global_allocator]
static HEAP: CountingHeap = counting_heap();

#[derive(Debug, Default)]
struct SetGauge(AtomicU64);

impl MemoryGauge for SetGauge {
    fn bytes_in_use(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

fn account(limit: u64) -> (Arc<MemoryAccount>, Arc<SetGauge>) {
    let gauge = Arc::new(SetGauge::default());
    (MemoryAccount::new(limit, gauge.clone()), gauge)
}

#[test]
fn promises_and_what_is_in_use_share_the_limit() {
    let (account, gauge) = account(100);
    gauge.0.store(50, Ordering::Relaxed);
    let first = account.promise(30).expect("80 of 100");
    assert!(account.promise(30).is_none(), "110 of 100");
    drop(first);
    let again = account.promise(30);
    assert!(again.is_some(), "the first promise has ended");
    gauge.0.store(70, Ordering::Relaxed);
    assert!(account.promise(1).is_none(), "what is promised has been taken besides");
}

#[test]
fn memory_is_tight_before_the_limit() {
    let (account, gauge) = account(100);
    gauge.0.store(80, Ordering::Relaxed);
    assert!(!account.state().is_tight());
    let _promise = account.promise(1).expect("81 of 100");
    assert!(account.state().is_tight());
}

#[test]
fn an_account_without_a_limit_admits_everything() {
    let account = MemoryAccount::unlimited();
    let promise = account.promise(u64::MAX / 2);
    assert!(promise.is_some());
    assert!(!account.state().is_tight());
}

#[test]
fn the_heap_gauge_follows_what_is_allocated_and_freed() {
    const BLOCK_BYTES: usize = 8 << 20;
    let before = (&HEAP).bytes_in_use();
    let block = vec![1_u8; BLOCK_BYTES];
    let with_block = (&HEAP).bytes_in_use();
    assert!(with_block >= before + BLOCK_BYTES as u64 / 2, "{before} to {with_block}");
    drop(block);
    let after = (&HEAP).bytes_in_use();
    assert!(after < before + BLOCK_BYTES as u64 / 2, "{before} to {after}");
}
