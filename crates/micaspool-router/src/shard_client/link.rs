//! Keeps a stream to the best reachable dispatcher open.

use super::ShardClient;
use async_std::channel::{bounded, unbounded, Receiver, Sender};
use async_std::future::timeout;
use async_std::task;
use futures::future::{select, Either};
use futures::pin_mut;
use micaspool_dispatch::{CandidateChoice, ChoiceStep};
use micaspool_telemetry::events::{self, field, record};
use micaspool_telemetry::traffic::TrafficCounter;
use micaspool_types::Moment;
use micaspool_wire::socket;
use micaspool_wire::v1::{self, dispatch_client::DispatchClient};
use std::net::SocketAddr;
use std::sync::{Arc, Weak};
use std::time::{Duration, Instant};
use tonic::Streaming;

/// How often a heartbeat is sent.
const HEARTBEAT: Duration = Duration::from_secs(1);
/// A dispatcher that did not answer a heartbeat for this long is left.
const SILENCE_LIMIT: Duration = Duration::from_millis(2_500);
/// How long opening a stream may take.
const OPEN_LIMIT: Duration = Duration::from_secs(1);
/// The largest message from a dispatcher.
const MAX_MESSAGE: usize = 4 * 1024 * 1024;

/// How a stream ended.
enum LinkEnd {
    /// It broke, or the dispatcher was silent.
    Lost,
    /// The dispatcher asked for a new one.
    Moved,
    /// A higher-ranked dispatcher answers again.
    Better,
    /// Nobody needs the shard any more.
    Unused,
}

/// Works until the client is gone.
pub(super) async fn keep_linked(client: Weak<ShardClient>, mut choice: CandidateChoice) {
    let start = Instant::now();
    let now = move || Moment(u64::try_from(start.elapsed().as_micros()).unwrap_or(u64::MAX));
    loop {
        let Some(client) = client.upgrade() else { return };
        match choice.next(now()) {
            ChoiceStep::Connect(rank) => match open_stream(&client, rank).await {
                Some(messages) => {
                    choice.connected(rank);
                    client.held().linked();
                    let end = run_stream(&client, messages, &mut choice, &now).await;
                    client.held().unlink();
                    match end {
                        LinkEnd::Lost => {
                            record(&events::SESSION_LOST, &[field("service", client.service())]);
                            choice.failed(now(), rank);
                        }
                        LinkEnd::Moved | LinkEnd::Better => choice.left(rank),
                        LinkEnd::Unused => return,
                    }
                }
                None => {
                    client.held().unlink();
                    choice.failed(now(), rank);
                }
            },
            ChoiceStep::Wait(until) => {
                drop(client);
                task::sleep(until.since(now()).max(Duration::from_millis(1))).await;
            }
            ChoiceStep::Probe(_) => task::sleep(Duration::from_millis(1)).await,
        }
    }
}

/// Opens a stream whose first message says everything that this router holds.
async fn open_stream(client: &Arc<ShardClient>, rank: usize) -> Option<Streaming<v1::DispatcherMessage>> {
    let address = client.candidates[rank];
    let channel = socket::connect(address, client.options.counter.clone()).await.ok()?;
    let mut wire = DispatchClient::new(channel)
        .max_decoding_message_size(MAX_MESSAGE)
        .max_encoding_message_size(usize::MAX);
    let (sender, receiver) = unbounded();
    {
        let mut held = client.held();
        let hello = client.hello(&mut held);
        let _ = sender.try_send(hello);
        held.link(sender);
    }
    let reply = timeout(OPEN_LIMIT, wire.session(receiver)).await.ok()?.ok()?;
    record(&events::SESSION_OPEN, &[field("service", client.service()), field("dispatcher", address)]);
    Some(reply.into_inner())
}

async fn run_stream(
    client: &Arc<ShardClient>,
    mut messages: Streaming<v1::DispatcherMessage>,
    choice: &mut CandidateChoice,
    now: &impl Fn() -> Moment,
) -> LinkEnd {
    let (probes, probe_results) = bounded(1);
    let mut probing = false;
    let mut next_beat = Instant::now() + HEARTBEAT;
    loop {
        if !probing {
            match choice.next(now()) {
                ChoiceStep::Connect(_) => return LinkEnd::Better,
                ChoiceStep::Probe(rank) => {
                    probing = true;
                    start_probe(client, rank, probes.clone());
                }
                ChoiceStep::Wait(_) => {}
            }
        }
        match next_message(&mut messages, &probe_results, next_beat).await {
            StreamNews::Message(message) => {
                let goes_on = client.held().take(message);
                if !goes_on {
                    return LinkEnd::Moved;
                }
            }
            StreamNews::End => return LinkEnd::Lost,
            StreamNews::Probed(rank, answered) => {
                probing = false;
                choice.probed(now(), rank, answered);
            }
            StreamNews::BeatDue => {
                next_beat = Instant::now() + HEARTBEAT;
                client.held().beat();
                if client.held().silence() > SILENCE_LIMIT {
                    return LinkEnd::Lost;
                }
                if Arc::strong_count(client) == 1 {
                    return LinkEnd::Unused;
                }
            }
        }
    }
}

enum StreamNews {
    Message(v1::DispatcherMessage),
    End,
    Probed(usize, bool),
    BeatDue,
}

async fn next_message(
    messages: &mut Streaming<v1::DispatcherMessage>,
    probes: &Receiver<(usize, bool)>,
    next_beat: Instant,
) -> StreamNews {
    let wait = next_beat.saturating_duration_since(Instant::now());
    let message = messages.message();
    let probe = probes.recv();
    pin_mut!(message, probe);
    match timeout(wait, select(message, probe)).await {
        Err(_) => StreamNews::BeatDue,
        Ok(Either::Left((Ok(Some(message)), _))) => StreamNews::Message(message),
        Ok(Either::Left(_)) => StreamNews::End,
        Ok(Either::Right((Ok((rank, answered)), _))) => StreamNews::Probed(rank, answered),
        Ok(Either::Right((Err(_), _))) => StreamNews::BeatDue,
    }
}

/// Sees whether a dispatcher can be reached.
fn start_probe(client: &Arc<ShardClient>, rank: usize, results: Sender<(usize, bool)>) {
    let address = client.candidates[rank];
    let counter = client.options.counter.clone();
    task::spawn(async move {
        let answered = answers(address, counter).await;
        let _ = results.send((rank, answered)).await;
    });
}

async fn answers(address: SocketAddr, counter: TrafficCounter) -> bool {
    let Ok(channel) = socket::connect(address, counter).await else { return false };
    let status = async { DispatchClient::new(channel).status(v1::StatusRequest {}).await.is_ok() };
    timeout(OPEN_LIMIT, status).await.unwrap_or(false)
}
