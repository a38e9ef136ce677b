//! Tests the local copy of the fleet's state.

use micaspool_client::{FleetMirror, FleetMirrorOptions, PeerDirectory, MAX_ENDPOINT_SILENCE};
use micaspool_routes::JsonFormat;
use micaspool_telemetry::traffic::TrafficCounter;
use micaspool_types::InstanceName;
use std::net::SocketAddr;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

/// Knows no address, and panics once it is told to.
#[derive(Debug, Default)]
struct FaultyDirectory {
    panics: AtomicBool,
}

impl PeerDirectory for FaultyDirectory {
    fn address(&self, _name: &InstanceName) -> Option<SocketAddr> {
        assert!(!self.panics.load(Ordering::SeqCst), "the directory is faulty");
        None
    }
}

/// Guards against a mirror that fails every request after a single panic.
#[test]
fn a_panic_under_the_lock_leaves_the_mirror_usable() {
    let directory = Arc::new(FaultyDirectory::default());
    let mirror = FleetMirror::start(FleetMirrorOptions {
        follower: "test".to_owned(),
        seeds: vec![InstanceName::parse("keeper-1").expect("a name")],
        directory: directory.clone(),
        format: Arc::new(JsonFormat),
        counter: TrafficCounter::default(),
        max_endpoint_silence: MAX_ENDPOINT_SILENCE,
    });
    directory.panics.store(true, Ordering::SeqCst);
    assert!(catch_unwind(AssertUnwindSafe(|| mirror.keepers())).is_err(), "the lock was not held in a panic");
    directory.panics.store(false, Ordering::SeqCst);
    assert_eq!(mirror.plan().number, 0);
    assert!(mirror.keepers().is_empty());
}
