//! Fetches new plans.
//!
//! Every keeper announces the number of its plan, and each process asks one of them for the document. Processes prefer
//! different keepers nearby; otherwise all would ask the first one that announces a plan, which is the leader.

use super::table::PlanSource;
use super::FleetMirror;
use async_std::future::timeout;
use async_std::task;
use futures::stream::{FuturesUnordered, StreamExt};
use micaspool_clock::BootInstant;
use micaspool_types::InstanceName;
use micaspool_wire::v1::{self, keeper_client::KeeperClient};
use std::sync::Arc;
use std::time::Duration;

/// How long to wait until the preferred keeper announces a plan that another one holds already. Followers of the log
/// apply a change some milliseconds after the leader.
const PREFERENCE_TIME: Duration = Duration::from_millis(150);
/// The same time for a process that has no plan yet and therefore refuses all requests. It covers the difference between
/// keepers that apply the log after an election, so that most followers still fetch the plan from the one they prefer.
const FIRST_PREFERENCE_TIME: Duration = Duration::from_millis(30);
/// The interval at which the announcements are looked at meanwhile.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// How long to wait for a keeper's plan before another one is asked as well. The first may still be sending.
const HEDGE_DELAY: Duration = Duration::from_millis(500);
/// The maximum number of keepers that are asked at the same time.
const MAX_ASKED: usize = 3;
/// How long a keeper may take to answer with its plan.
const FETCH_TIMEOUT: Duration = Duration::from_secs(5);

/// Starts to fetch the newest plan if a keeper announces one and no fetch is under way.
pub(super) fn fetch_if_newer(mirror: &Arc<FleetMirror>) {
    let mut table = mirror.lock();
    if table.fetches_plan || table.plan_sources(&mirror.options.follower).is_empty() {
        return;
    }
    table.fetches_plan = true;
    task::spawn(fetch_newest(mirror.clone()));
}

/// Fetches plans until no keeper announces a newer one.
async fn fetch_newest(mirror: Arc<FleetMirror>) {
    let follower = &mirror.options.follower;
    let mut announced_at = BootInstant::now();
    loop {
        let (mut sources, preferred, preference_time) = {
            let mut table = mirror.lock();
            let sources = table.plan_sources(follower);
            if sources.is_empty() {
                table.fetches_plan = false;
                return;
            }
            let preference_time =
                if table.plan.number == 0 { FIRST_PREFERENCE_TIME } else { PREFERENCE_TIME };
            (sources, table.preferred_source(follower), preference_time)
        };
        if preferred.as_ref() != Some(&sources[0].keeper) && announced_at.elapsed() < preference_time {
            task::sleep(CHECK_INTERVAL).await;
            continue;
        }
        sources.truncate(MAX_ASKED);
        let found = fetch_first(&sources).await;
        let mut table = mirror.lock();
        let format = mirror.options.format.as_ref();
        let is_newer = found.is_some_and(|(keeper, document)| table.apply_plan(&keeper, &document, format));
        if is_newer {
            announced_at = BootInstant::now();
        } else {
            sources.iter().for_each(|source| table.skip_source(&source.keeper));
        }
    }
}

/// Asks keepers for their plan, the next one whenever one fails or takes longer than `HEDGE_DELAY`, and returns the first
/// answer. The others are dropped.
async fn fetch_first(sources: &[PlanSource]) -> Option<(InstanceName, v1::PlanDocument)> {
    let mut unasked = sources.iter();
    let mut fetches = FuturesUnordered::new();
    loop {
        fetches.extend(unasked.next().map(fetch));
        match timeout(HEDGE_DELAY, fetches.next()).await {
            Ok(Some(Some(found))) => return Some(found),
            Ok(Some(None)) if fetches.is_empty() && unasked.len() == 0 => return None,
            Ok(None) => return None,
            Ok(Some(None)) | Err(_) => {}
        }
    }
}

/// Asks a keeper for its plan; `None` if it does not answer in time.
async fn fetch(source: &PlanSource) -> Option<(InstanceName, v1::PlanDocument)> {
    let client = KeeperClient::new(source.channel.clone());
    let mut client = client.max_decoding_message_size(crate::keeper::MAX_MESSAGE);
    let reply = timeout(FETCH_TIMEOUT, client.held_plan(v1::HeldPlanRequest {})).await.ok()?.ok()?;
    Some((source.keeper.clone(), reply.into_inner()))
}
