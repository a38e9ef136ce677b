//! Streams to the other keepers.

use async_std::channel::{bounded, Receiver, Sender};
use async_std::task;
use futures::StreamExt;
use micaspool_client::PeerDirectory;
use micaspool_quorum::{Envelope, PeerMessage};
use micaspool_telemetry::traffic::TrafficCounter;
use micaspool_types::InstanceName;
use micaspool_wire::socket;
use micaspool_wire::v1::{keeper_client::KeeperClient, PeerFrame};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// The version of the encoding of [`PeerMessage`] in frames.
pub(crate) const FRAME_FORMAT: u32 = 1;
/// The largest frame, which holds a whole snapshot.
pub(crate) const MAX_FRAME: usize = 256 * 1024 * 1024;
/// The most messages that wait for one keeper; more are dropped, and sent again by the log core.
const QUEUE: usize = 256;
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Starts the task that hands messages out. A stream to a keeper opens with the first message for
/// it, at the address that the directory gives.
pub(crate) fn start_peers(
    directory: Arc<dyn PeerDirectory>,
    counter: &TrafficCounter,
    outgoing: Receiver<Envelope>,
) {
    let counter = counter.clone();
    task::spawn(async move {
        let mut queues: HashMap<InstanceName, Sender<PeerMessage>> = HashMap::new();
        while let Ok(envelope) = outgoing.recv().await {
            let Some(address) = directory.address(&envelope.to) else { continue };
            let queue = queues.entry(envelope.to).or_insert_with(|| {
                let (sender, receiver) = bounded(QUEUE);
                task::spawn(feed_peer(address, counter.clone(), receiver));
                sender
            });
            let _ = queue.try_send(envelope.message);
        }
    });
}

/// Keeps one stream to a keeper open. What could not be sent is dropped.
async fn feed_peer(address: SocketAddr, counter: TrafficCounter, queue: Receiver<PeerMessage>) {
    while !queue.is_closed() {
        if let Ok(channel) = socket::connect(address, counter.clone()).await {
            let mut client = KeeperClient::new(channel).max_encoding_message_size(MAX_FRAME);
            while queue.try_recv().is_ok() {}
            let frames = queue.clone().map(|message| encode_frame(&message));
            let _ = client.exchange(frames).await;
        }
        task::sleep(RETRY_PAUSE).await;
    }
}

fn encode_frame(message: &PeerMessage) -> PeerFrame {
    let body = postcard::to_stdvec(message).expect("messages have nothing that cannot be encoded");
    PeerFrame { format: FRAME_FORMAT, body }
}

/// The message in a frame, if this version understands it.
pub(crate) fn decode_frame(frame: &PeerFrame) -> Option<PeerMessage> {
    if frame.format != FRAME_FORMAT {
        return None;
    }
    postcard::from_bytes(&frame.body).ok()
}
