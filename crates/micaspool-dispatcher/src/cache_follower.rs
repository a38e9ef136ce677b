//! Follows what one engine keeps in its cache: a list first, then the changes after it.
//!
//! What a shard assumes of a cache ages: runs push parts out that nobody asked for. An engine's own word is
//! some hundred milliseconds old, and a few changes never come.

use crate::driver::ShardInput;
use crate::host::HostOptions;
use crate::probe::{CacheCursor, EndpointProbe, ProbedEndpoint};
use async_std::channel::Sender;
use micaspool_dispatch::{CacheUpdate, CachedPart, ShardEvent};
use micaspool_telemetry::events::{self, field, record};
use std::sync::Arc;
use std::time::Duration;

/// How long an engine is left alone between two calls at least, so that one call brings what many requests
/// changed. At 27 requests a second it brings some twenty changes.
const GATHERING: Duration = Duration::from_millis(100);
/// How long a failed call is not repeated; the pause doubles with each further failure.
const FIRST_PAUSE: Duration = Duration::from_millis(500);
/// The longest such pause. An engine may tell nothing at all, or be cut off for a while.
const LONGEST_PAUSE: Duration = Duration::from_secs(8);
/// How many calls in a row may fail before the engine is asked for a whole list again.
const MOST_FAILURES: u32 = 5;

/// The follower of one engine.
pub(crate) struct CacheFollower {
    probe: Arc<dyn EndpointProbe>,
    endpoint: ProbedEndpoint,
    inputs: Sender<ShardInput>,
}

/// The shard has ended.
struct ShardEnded;

impl CacheFollower {
    pub fn new(options: &HostOptions, endpoint: ProbedEndpoint, inputs: Sender<ShardInput>) -> CacheFollower {
        CacheFollower { probe: options.probe.clone(), endpoint, inputs }
    }

    /// Follows until the shard ends. `interval` is how often all engines are asked for their load; a fifth of
    /// it, which grows with their number, parts two calls.
    pub async fn run(self, interval: Duration) {
        let pause = GATHERING.max(interval / 5);
        let mut failures = 0;
        loop {
            let Some(list) = self.probe.kept_parts(&self.endpoint).await else {
                failures += 1;
                self.wait_after(failures).await;
                continue;
            };
            failures = 0;
            let fields = [field("endpoint", &self.endpoint.name), field("kept_parts", list.parts.len())];
            record(&events::ENGINE_MET, &fields);
            let told = self.tell(list.parts, Vec::new(), true).await;
            if told.is_err() || self.follow(list.cursor, pause).await.is_err() {
                return;
            }
        }
    }

    /// Passes changes on until some are lost or can't be had for a while.
    async fn follow(&self, mut cursor: CacheCursor, pause: Duration) -> Result<(), ShardEnded> {
        let mut failures = 0;
        while failures < MOST_FAILURES {
            let Some(changes) = self.probe.cache_changes(&self.endpoint, cursor).await else {
                failures += 1;
                self.wait_after(failures).await;
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
            if !changes.kept.is_empty() || !changes.gone.is_empty() {
                self.tell(changes.kept, changes.gone, false).await?;
            }
            tokio::time::sleep(pause).await;
        }
        Ok(())
    }

    /// Leaves the engine alone after a failure; says so when it begins to look lasting.
    async fn wait_after(&self, failures: u32) {
        if failures == MOST_FAILURES {
            let fields = [field("endpoint", &self.endpoint.name), field("failures", failures)];
            record(&events::CACHE_UNKNOWN, &fields);
        }
        let doublings = failures.saturating_sub(1).min(8);
        tokio::time::sleep((FIRST_PAUSE * (1 << doublings)).min(LONGEST_PAUSE)).await;
    }

    async fn tell(
        &self,
        cached_parts: Vec<CachedPart>,
        dropped: Vec<u64>,
        whole: bool,
    ) -> Result<(), ShardEnded> {
        let endpoint = self.endpoint.name.clone();
        let news = CacheUpdate { endpoint, stored: Vec::new(), dropped, cached_parts, whole };
        let sent = self.inputs.send(ShardInput::Event(ShardEvent::Cache(news))).await;
        sent.map_err(|_| ShardEnded)
    }
}
