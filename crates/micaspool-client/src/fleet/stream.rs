//! The stream of updates from one keeper.

use super::{plans, FleetMirror};
use async_std::future::timeout;
use async_std::task;
use micaspool_clock::BootInstant;
use micaspool_settings::process::PeerAddress;
use micaspool_wire::socket;
use micaspool_wire::v1::{self, keeper_client::KeeperClient};
use std::sync::Arc;
use std::time::Duration;
use tonic::Streaming;

/// The timeout of the request that opens a stream.
const OPEN_TIMEOUT: Duration = Duration::from_millis(700);
/// A stream without a message for this long is closed. Keepers send a message once a second.
const STREAM_TIMEOUT: Duration = Duration::from_millis(2_500);
/// The pause before a stream is opened again. It doubles with each failure in a row; a stream that ends within
/// [`MAX_RETRY_PAUSE`] is a failure too. After a power loss followers are often ready a little earlier than keepers.
const FIRST_RETRY_PAUSE: Duration = Duration::from_millis(25);
/// The maximum of that pause.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(200);
/// How long to keep trying a keeper that is neither a seed nor a member any more.
const UNWANTED_RETENTION: Duration = Duration::from_secs(30);

/// Follows one keeper. Between two streams, it ends if the keeper was last known as a seed or member more than
/// [`UNWANTED_RETENTION`] ago.
pub(super) async fn follow_keeper(mirror: Arc<FleetMirror>, peer: PeerAddress) {
    let mut wanted_at = BootInstant::now();
    let mut pause = FIRST_RETRY_PAUSE;
    while wanted_at.elapsed() < UNWANTED_RETENTION {
        if let Some(stream) = open_stream(&mirror, &peer).await {
            let opened_at = BootInstant::now();
            apply_updates(&mirror, &peer, stream).await;
            if opened_at.elapsed() >= MAX_RETRY_PAUSE {
                pause = FIRST_RETRY_PAUSE;
            }
        }
        mirror.lock().update_keeper(&peer.name, false, false);
        if mirror.lock().is_wanted(&peer.name) {
            wanted_at = BootInstant::now();
        }
        task::sleep(pause).await;
        pause = (pause * 2).min(MAX_RETRY_PAUSE);
    }
    mirror.lock().keepers.remove(&peer.name);
}

async fn open_stream(mirror: &FleetMirror, peer: &PeerAddress) -> Option<Streaming<v1::FleetNews>> {
    let started = BootInstant::now();
    let channel = socket::connect(peer.address, mirror.options.counter.clone()).await.ok()?;
    mirror.lock().connect_keeper(&peer.name, channel.clone(), started.elapsed());
    let mut client = KeeperClient::new(channel).max_decoding_message_size(crate::keeper::MAX_MESSAGE);
    let request = v1::FollowRequest { follower: mirror.options.follower.clone() };
    let reply = timeout(OPEN_TIMEOUT, client.follow(request)).await.ok()?.ok()?;
    Some(reply.into_inner())
}

async fn apply_updates(mirror: &Arc<FleetMirror>, peer: &PeerAddress, mut stream: Streaming<v1::FleetNews>) {
    while let Ok(Ok(Some(update))) = timeout(STREAM_TIMEOUT, stream.message()).await {
        let has_new_members = mirror.lock().apply(&peer.name, &update);
        plans::fetch_if_newer(mirror);
        if has_new_members {
            mirror.follow_new_keepers();
        }
    }
}
