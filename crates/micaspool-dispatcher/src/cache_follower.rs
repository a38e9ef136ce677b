//! Tracks the cache of one engine: reads a snapshot first, then the changes after it.
//!
//! A shard's own assumptions about a cache become outdated, since an engine also evicts parts to make room for running
//! requests. The engine's reports are some hundred milliseconds old, and a few changes are lost.

use crate::driver::ShardInput;
use crate::host::HostOptions;
use crate::inputs::InputSender;
use crate::probe::{CacheCursor, EndpointProbe, ProbedEndpoint};
use micaspool_dispatch::{CacheUpdate, CachedPart, ShardEvent};
use micaspool_telemetry::events::{self, field, record};
use std::sync::Arc;
use std::time::Duration;

/// The minimum pause between two calls to an engine, so that one call returns the changes of many requests. At 27
/// requests a second it returns about 20 changes.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// The pause after a failed call; it doubles with each further failure.
const FIRST_PAUSE: Duration = Duration::from_millis(500);
/// The maximum of that pause. An engine may not report its cache at all, or be unreachable for a while.
const MAX_PAUSE: Duration = Duration::from_secs(8);
/// The number of successive failures after which a new snapshot is read.
const MAX_FAILURES: u32 = 5;

/// Tracks the cache of one engine on behalf of a shard.
pub(crate) struct CacheFollower {
    probe: Arc<dyn EndpointProbe>,
    endpoint: ProbedEndpoint,
    inputs: InputSender,
}

/// The shard no longer accepts inputs.
struct ShardEnded;

impl CacheFollower {
    pub fn new(options: &HostOptions, endpoint: ProbedEndpoint, inputs: InputSender) -> CacheFollower {
        CacheFollower { probe: options.probe.clone(), endpoint, inputs }
    }

    /// Runs until the shard ends. `interval` is the probe interval of all engines, which grows with their number; the
    /// pause between two calls is a fifth of it.
    pub async fn run(self, interval: Duration) {
        let pause = MIN_POLL_INTERVAL.max(interval / 5);
        let mut failures = 0;
        loop {
            let Some(snapshot) = self.probe.cached_parts(&self.endpoint).await else {
                failures += 1;
                self.back_off(failures).await;
                continue;
            };
            failures = 0;
            let fields = [field("endpoint", &self.endpoint.name), field("kept_parts", snapshot.parts.len())];
            record(&events::ENGINE_SYNCED, &fields);
            let sent = self.send_update(snapshot.parts, Vec::new(), true).await;
            if sent.is_err() || self.follow(snapshot.cursor, pause).await.is_err() {
                return;
            }
        }
    }

    /// Forwards changes to the shard until some are lost or `MAX_FAILURES` calls in a row have failed.
    async fn follow(&self, mut cursor: CacheCursor, pause: Duration) -> Result<(), ShardEnded> {
        let mut failures = 0;
        while failures < MAX_FAILURES {
            let Some(changes) = self.probe.cache_changes(&self.endpoint, cursor).await else {
                failures += 1;
                self.back_off(failures).await;
                continue;
            };
            failures = 0;
            if changes.gap || changes.cursor.epoch != cursor.epoch {
                record(
                    &events::CACHE_GAP,
                    &[field("endpoint", &self.endpoint.name), field("since", cursor.next)],
                );
                return Ok(());
            }
            cursor = changes.cursor;
            if !changes.kept.is_empty() || !changes.dropped.is_empty() {
                self.send_update(changes.kept, changes.dropped, false).await?;
            }
            tokio::time::sleep(pause).await;
        }
        Ok(())
    }

    /// Pauses after a failure, and logs a warning at the `MAX_FAILURES`th in a row.
    async fn back_off(&self, failures: u32) {
        if failures == MAX_FAILURES {
            let fields = [field("endpoint", &self.endpoint.name), field("failures", failures)];
            record(&events::CACHE_UNTRACKED, &fields);
        }
        let doublings = failures.saturating_sub(1).min(8);
        tokio::time::sleep((FIRST_PAUSE * (1 << doublings)).min(MAX_PAUSE)).await;
    }

    async fn send_update(
        &self,
        cached_parts: Vec<CachedPart>,
        dropped: Vec<u64>,
        whole: bool,
    ) -> Result<(), ShardEnded> {
        let endpoint = self.endpoint.name.clone();
        let update = CacheUpdate { endpoint, stored: Vec::new(), dropped, cached_parts, whole };
        let sent = self.inputs.send(ShardInput::Event(Box::new(ShardEvent::Cache(update)))).await;
        sent.map_err(|_| ShardEnded)
    }
}
