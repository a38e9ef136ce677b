//! The exchange with the other keepers, on a thread of its own.
//!
//! A leader has to speak every 100 ms and is given up after 500 ms. On the executor that all followers,
//! routers and endpoints of a process share, its messages would wait behind whatever came before them. A thread of its own
//! gets its turn whatever the others do.

use crate::engine::EngineInput;
use crate::service::KeeperService;
use async_std::channel::{bounded, Receiver, Sender};
use futures::StreamExt;
use micaspool_client::PeerDirectory;
use micaspool_daemon::StartError;
use micaspool_quorum::{Envelope, PeerMessage, QuorumEvent};
use micaspool_telemetry::traffic::TrafficCounter;
use micaspool_types::InstanceName;
use micaspool_wire::socket::{self, CountedListener};
use micaspool_wire::v1::{keeper_client::KeeperClient, keeper_server::KeeperServer, PeerFrame};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// The version of the encoding of [`PeerMessage`] in frames.
pub(crate) const FRAME_FORMAT: u32 = 1;
/// The largest frame, which holds a whole snapshot.
pub(crate) const MAX_FRAME: usize = 256 * 1024 * 1024;
/// The most messages that wait for one keeper; more are dropped, and sent again by the log core.
const PEER_QUEUE_LEN: usize = 256;
const RECONNECT_INTERVAL: Duration = Duration::from_millis(100);
/// How often the log core looks at the time.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// What the exchange with other keepers needs.
pub(crate) struct PeerExchange {
    /// Where the other keepers' messages are taken; `None` when the keeper's common address takes them.
    pub address: Option<SocketAddr>,
    /// Where the other keepers take messages.
    pub directory: Arc<dyn PeerDirectory>,
    pub counter: TrafficCounter,
    /// Messages of the log core to other keepers.
    pub outgoing: Receiver<Envelope>,
    /// Takes messages and ticks to the log core.
    pub inputs: Sender<EngineInput>,
    pub service: KeeperService,
}

impl PeerExchange {
    /// Starts the thread; an error says that its address cannot be used.
    pub async fn start(self) -> Result<(), StartError> {
        let (start_result, outcome) = bounded(1);
        std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            runtime.expect("a process that starts has descriptors left").block_on(self.run(start_result));
        });
        outcome.recv().await.expect("the thread tells how its start went")
    }

    /// Works until the log core has ended.
    async fn run(self, start_result: Sender<Result<(), StartError>>) {
        let started = match self.address {
            Some(address) => {
                serve_peers(address, self.service, &self.counter).await.map_err(StartError::bind(address))
            }
            None => Ok(()),
        };
        let failed = started.is_err();
        // Whoever started the thread waits for this.
        let _ = start_result.send(started).await;
        if failed {
            return;
        }
        tokio::spawn(dispatch_envelopes(self.directory, self.counter, self.outgoing));
        while self.inputs.send(EngineInput::Event(QuorumEvent::Tick)).await.is_ok() {
            tokio::time::sleep(TICK_INTERVAL).await;
        }
    }
}

/// Serves the other keepers' streams.
async fn serve_peers(
    address: SocketAddr,
    service: KeeperService,
    counter: &TrafficCounter,
) -> io::Result<()> {
    let listener = CountedListener::bind(address, counter.clone()).await?;
    let server = KeeperServer::new(service).max_decoding_message_size(MAX_FRAME);
    tokio::spawn(async move {
        let _ = tonic::transport::Server::builder().add_service(server).serve_with_incoming(listener).await;
    });
    Ok(())
}

/// Hands messages out. A stream to a keeper opens with the first message for it, at the address that
/// the directory gives.
async fn dispatch_envelopes(
    directory: Arc<dyn PeerDirectory>,
    counter: TrafficCounter,
    outgoing: Receiver<Envelope>,
) {
    let mut queues: HashMap<InstanceName, Sender<PeerMessage>> = HashMap::new();
    while let Ok(envelope) = outgoing.recv().await {
        let Some(address) = directory.address(&envelope.to) else { continue };
        let queue = queues.entry(envelope.to).or_insert_with(|| {
            let (sender, receiver) = bounded(PEER_QUEUE_LEN);
            tokio::spawn(run_peer_stream(address, counter.clone(), receiver));
            sender
        });
        let _ = queue.try_send(envelope.message);
    }
}

/// Keeps one stream to a keeper open. What could not be sent is dropped.
async fn run_peer_stream(address: SocketAddr, counter: TrafficCounter, queue: Receiver<PeerMessage>) {
    while !queue.is_closed() {
        if let Ok(channel) = socket::connect(address, counter.clone()).await {
            let mut client = KeeperClient::new(channel).max_encoding_message_size(MAX_FRAME);
            while queue.try_recv().is_ok() {}
            let frames = queue.clone().map(|message| encode_frame(&message));
            let _ = client.exchange(frames).await;
        }
        tokio::time::sleep(RECONNECT_INTERVAL).await;
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
