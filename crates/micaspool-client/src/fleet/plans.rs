//! Fetches new plans.
//!
//! Every keeper announces the number of its plan, and each process asks one of them for the document. Processes prefer
//! different keepers; otherwise all would ask the first one that announces a plan, which is the leader.

use super::FleetMirror;
use async_std::future::timeout;
use async_std::task;
use micaspool_clock::BootInstant;
use micaspool_wire::v1::{self, keeper_client::KeeperClient};
use std::sync::Arc;
use std::time::Duration;
use tonic::transport::Channel;

/// How long to wait until the preferred keeper announces a plan that another one holds already. Followers of the log
/// apply a change some milliseconds after the leader.
const PREFERENCE_TIME: Duration = Duration::from_millis(150);
/// The interval at which the announcements are looked at meanwhile.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// How long a keeper may take to answer with its plan.
const FETCH_TIMEOUT: Duration = Duration::from_millis(800);

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
        let (source, preferred) = {
            let mut table = mirror.lock();
            let Some(source) = table.plan_sources(follower).into_iter().next() else {
                table.fetches_plan = false;
                return;
            };
            (source, table.preferred_source(follower))
        };
        if preferred.as_ref() != Some(&source.keeper) && announced_at.elapsed() < PREFERENCE_TIME {
            task::sleep(CHECK_INTERVAL).await;
            continue;
        }
        let document = fetch(source.channel).await;
        let mut table = mirror.lock();
        let format = mirror.options.format.as_ref();
        let is_newer = document.is_some_and(|document| table.apply_plan(&source.keeper, &document, format));
        if is_newer {
            announced_at = BootInstant::now();
        } else {
            table.skip_source(&source.keeper);
        }
    }
}

/// Asks a keeper for its plan; `None` if it does not answer in time.
async fn fetch(channel: Channel) -> Option<v1::PlanDocument> {
    let mut client = KeeperClient::new(channel).max_decoding_message_size(crate::keeper::MAX_MESSAGE);
    let reply = timeout(FETCH_TIMEOUT, client.held_plan(v1::HeldPlanRequest {})).await.ok()?.ok()?;
    Some(reply.into_inner())
}
