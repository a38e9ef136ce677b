//! The exchange of messages with the other keepers, on a dedicated thread.
//!
//! A leader must send every 100 ms and loses its followers after 500 ms. On the executor that serves
//! all followers, routers and endpoints of the process, its messages would queue behind other tasks. A
//! dedicated thread is scheduled by the operating system however busy that executor is.

use crate::engine::{EngineInput, KeeperView};
use crate::service::KeeperService;
use async_std::channel::{bounded, Receiver, Sender};
use futures::StreamExt;
use micaspool_client::PeerDirectory;
use micaspool_clock::BootInstant;
use micaspool_daemon::StartError;
use micaspool_quorum::{Envelope, PeerMessage, QuorumEvent};
use micaspool_telemetry::events::{self, field, record};
use micaspool_telemetry::traffic::TrafficCounter;
use micaspool_types::InstanceName;
use micaspool_wire::socket::{self, CountedListener};
use micaspool_wire::v1::{keeper_client::KeeperClient, keeper_server::KeeperServer, PeerFrame};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// The version of the encoding of [`PeerMessage`] in frames.
pub(crate) const FRAME_FORMAT: u32 = 1;
/// The maximum frame size in bytes. A frame must hold a complete snapshot.
pub(crate) const MAX_FRAME: usize = 256 * 1024 * 1024;
/// The maximum number of messages queued for one keeper. Further ones are dropped; the consensus
/// state machine sends what is still needed again.
const PEER_QUEUE_LEN: usize = 256;
/// The delay before a stream that ended or could not be opened is opened again. It doubles with each failure in a row;
/// a stream that ends within [`MAX_RECONNECT_DELAY`] is a failure too. Keepers that start together often find each other's address not bound yet.
const FIRST_RECONNECT_DELAY: Duration = Duration::from_millis(20);
/// The maximum of that delay.
const MAX_RECONNECT_DELAY: Duration = Duration::from_millis(100);
/// The number of refused connections in a row after which a keeper's process counts as ended.
const MIN_REFUSALS: u32 = 2;
/// The interval of [`QuorumEvent::Tick`]s.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// The same interval while this keeper knows no leader. Elections wait for ticks, and the group accepts no commands until
/// one has ended.
const LEADERLESS_TICK_INTERVAL: Duration = Duration::from_millis(10);

/// The exchange of messages with the other keepers.
pub(crate) struct PeerExchange {
    /// The address for messages from other keepers. With `None`, they arrive at the address of the gRPC
    /// service.
    pub address: Option<SocketAddr>,
    /// The addresses at which the other keepers receive messages.
    pub directory: Arc<dyn PeerDirectory>,
    pub counter: TrafficCounter,
    /// Messages from the engine to other keepers.
    pub outgoing: Receiver<Envelope>,
    /// Ticks for the engine.
    pub inputs: Sender<EngineInput>,
    /// Tells whether a leader is known, which sets the interval of ticks.
    pub view: Arc<Mutex<KeeperView>>,
    pub service: KeeperService,
}

impl PeerExchange {
    /// Starts the thread. Returns an error if its address cannot be bound.
    pub async fn start(self) -> Result<(), StartError> {
        let (start_result, outcome) = bounded(1);
        std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            runtime.expect("a starting process has free file descriptors").block_on(self.run(start_result));
        });
        outcome.recv().await.expect("the thread reports the result of its start")
    }

    /// Runs until the engine has stopped.
    async fn run(self, start_result: Sender<Result<(), StartError>>) {
        let started = match self.address {
            Some(address) => {
                serve_peers(address, self.service, &self.counter).await.map_err(StartError::bind(address))
            }
            None => Ok(()),
        };
        let failed = started.is_err();
        // `start` waits for this.
        let _ = start_result.send(started).await;
        if failed {
            return;
        }
        let streams =
            PeerStreams { directory: self.directory, counter: self.counter, inputs: self.inputs.clone() };
        tokio::spawn(streams.dispatch_envelopes(self.outgoing));
        while self.inputs.send(EngineInput::Event(QuorumEvent::Tick)).await.is_ok() {
            let has_leader = self.view.lock().expect("no holder of the view panics").status.leader.is_some();
            let interval = if has_leader { TICK_INTERVAL } else { LEADERLESS_TICK_INTERVAL };
            tokio::time::sleep(interval).await;
        }
    }
}

/// Serves the streams of the other keepers.
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

/// The streams to the other keepers.
#[derive(Clone)]
struct PeerStreams {
    directory: Arc<dyn PeerDirectory>,
    counter: TrafficCounter,
    /// Refused connections are told to the engine.
    inputs: Sender<EngineInput>,
}

impl PeerStreams {
    /// Distributes messages to the queues of their receivers. The stream to a keeper is opened on the
    /// first message to it, at its address in the directory. Messages without an address are dropped.
    async fn dispatch_envelopes(self, outgoing: Receiver<Envelope>) {
        let mut queues: HashMap<InstanceName, Sender<PeerMessage>> = HashMap::new();
        while let Ok(envelope) = outgoing.recv().await {
            let Some(address) = self.directory.address(&envelope.to) else { continue };
            let name = envelope.to.clone();
            let queue = queues.entry(envelope.to).or_insert_with(|| {
                let (sender, receiver) = bounded(PEER_QUEUE_LEN);
                tokio::spawn(self.clone().run_peer_stream(name, address, receiver));
                sender
            });
            let _ = queue.try_send(envelope.message);
        }
    }

    /// Keeps a stream to a keeper open and reconnects when it fails. Messages that were queued while it was down are
    /// dropped. Those that the first stream is opened for are sent: two keepers may never have exchanged a message before
    /// one asks the other for its vote.
    async fn run_peer_stream(self, name: InstanceName, address: SocketAddr, queue: Receiver<PeerMessage>) {
        let mut delay = FIRST_RECONNECT_DELAY;
        let mut is_first_attempt = true;
        let mut refusals_in_row = 0;
        while !queue.is_closed() {
            match socket::connect(address, self.counter.clone()).await {
                Ok(channel) => {
                    refusals_in_row = 0;
                    let mut client = KeeperClient::new(channel).max_encoding_message_size(MAX_FRAME);
                    while !is_first_attempt && queue.try_recv().is_ok() {}
                    let frames = queue.clone().map(|message| encode_frame(&message));
                    let opened_at = BootInstant::now();
                    let _ = client.exchange(frames).await;
                    if opened_at.elapsed() >= MAX_RECONNECT_DELAY {
                        delay = FIRST_RECONNECT_DELAY;
                    }
                }
                Err(error) if socket::is_refused(&error) => {
                    refusals_in_row += 1;
                    self.tell_refusal(&name, refusals_in_row);
                }
                Err(_) => refusals_in_row = 0,
            }
            is_first_attempt = false;
            tokio::time::sleep(delay).await;
            delay = (delay * 2).min(MAX_RECONNECT_DELAY);
        }
    }

    /// Tells the engine that a keeper has refused connections, from the second time in a row on: a process that starts again
    /// may be between two bindings of its address.
    fn tell_refusal(&self, name: &InstanceName, refusals_in_row: u32) {
        if refusals_in_row < MIN_REFUSALS {
            return;
        }
        if refusals_in_row == MIN_REFUSALS {
            record(&events::KEEPER_REFUSES, &[field("keeper", name)]);
        }
        let _ = self.inputs.try_send(EngineInput::Event(QuorumEvent::Refused(name.clone())));
    }
}

fn encode_frame(message: &PeerMessage) -> PeerFrame {
    let body = postcard::to_stdvec(message).expect("messages can be encoded");
    PeerFrame { format: FRAME_FORMAT, body }
}

/// Decodes the message in a frame. Returns `None` if this version cannot decode it.
pub(crate) fn decode_frame(frame: &PeerFrame) -> Option<PeerMessage> {
    if frame.format != FRAME_FORMAT {
        return None;
    }
    postcard::from_bytes(&frame.body).ok()
}
