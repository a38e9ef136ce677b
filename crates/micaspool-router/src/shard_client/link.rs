//! Maintains a stream to the highest-ranked reachable dispatcher.

use super::dispatchers::{DispatcherAddress, DispatcherCandidate, MessageStream};
use super::ShardClient;
use async_std::channel::{bounded, unbounded, Receiver, Sender};
use futures::future::{select, Either};
use futures::{pin_mut, StreamExt};
use micaspool_clock::BootInstant;
use micaspool_dispatch::{CandidateChoice, CandidateKind, ChoiceOptions, ChoiceStep, WatchStep};
use micaspool_telemetry::events::{self, field, record};
use micaspool_telemetry::traffic::TrafficCounter;
use micaspool_types::Moment;
use micaspool_wire::socket;
use micaspool_wire::v1::{self, dispatch_client::DispatchClient};
use std::net::SocketAddr;
use std::sync::{Arc, Weak};
use std::time::Duration;
use tokio::time::timeout;
use tonic::transport::Channel;

/// How often a heartbeat is sent.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// How often the state of the current stream and of the candidates is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// How long opening a stream, or a probe, may take.
const OPEN_TIMEOUT: Duration = Duration::from_secs(1);
/// The bounds of the pause before the next step of the candidate choice. The health of candidates is looked at after each
/// pause, and requests wait for a dispatcher meanwhile.
const MIN_WAIT: Duration = Duration::from_millis(1);
const MAX_WAIT: Duration = Duration::from_millis(25);
/// The largest message accepted from a dispatcher.
const MAX_MESSAGE_BYTES: usize = 4 * 1024 * 1024;

/// Why a stream was lost.
#[derive(Clone, Copy, Debug)]
enum LossReason {
    /// The connection ended, or the dispatcher closed the stream.
    Ended,
    /// The dispatcher sent nothing for some time.
    NoPulse,
    /// The dispatcher sent nothing after a ticket and a heartbeat.
    NoReply,
    /// Another stream to the dispatcher's process was lost, or the dispatcher is no longer listed.
    ProcessLost,
    /// The stream could not be opened.
    Unreachable,
}

impl LossReason {
    /// Returns the reason as it appears in logs.
    fn as_str(self) -> &'static str {
        match self {
            LossReason::Ended => "ended",
            LossReason::NoPulse => "silent",
            LossReason::NoReply => "unanswered",
            LossReason::ProcessLost => "process-lost",
            LossReason::Unreachable => "unreachable",
        }
    }
}

/// How a stream ended.
enum LinkEnd {
    /// The stream has failed.
    Lost(LossReason),
    /// The dispatcher asked for a new stream.
    Moved,
    /// A higher-ranked dispatcher is available again.
    HigherRanked,
    /// The client is no longer used.
    Unused,
}

/// The candidate dispatchers of a service and the state of the choice among them.
struct LinkChoice {
    candidates: Vec<DispatcherCandidate>,
    choice: CandidateChoice,
    start: BootInstant,
}

impl LinkChoice {
    fn new(client: &ShardClient) -> LinkChoice {
        let candidates = client.options.dispatchers.ranked(&client.service);
        let options = ChoiceOptions::spread_for(&client.options.router);
        let kinds = candidates.iter().map(|candidate| candidate.kind).collect();
        let choice = CandidateChoice::with_kinds(Moment(0), kinds, options);
        LinkChoice { candidates, choice, start: BootInstant::now() }
    }

    fn now(&self) -> Moment {
        Moment(0) + self.start.elapsed()
    }

    /// Updates the candidates. Returns false if the current dispatcher is no longer listed or has been lost.
    fn refresh(&mut self, client: &ShardClient) -> bool {
        let candidates = client.options.dispatchers.ranked(&client.service);
        let had_current = self.choice.current().is_some();
        let places: Vec<(Option<usize>, CandidateKind)> =
            candidates.iter().map(|candidate| (self.rank_of(&candidate.address), candidate.kind)).collect();
        let now = self.now();
        self.choice.update(now, &places);
        self.candidates = candidates;
        let has_current = self.choice.current().is_some() && !self.choice.has_lost_current(now);
        has_current || !had_current
    }

    fn rank_of(&self, address: &DispatcherAddress) -> Option<usize> {
        self.candidates.iter().position(|candidate| candidate.address == *address)
    }
}

/// Maintains the stream until the client is dropped.
pub(super) async fn maintain_link(client: Weak<ShardClient>) {
    let Some(mut link) = client.upgrade().map(|client| LinkChoice::new(&client)) else { return };
    loop {
        let Some(client) = client.upgrade() else { return };
        link.refresh(&client);
        match link.choice.next(link.now()) {
            ChoiceStep::Connect(rank) => {
                if let LinkEnd::Unused = use_candidate(&client, &mut link, rank).await {
                    return;
                }
            }
            ChoiceStep::Wait(until) => {
                drop(client);
                let wait = until.since(link.now()).clamp(MIN_WAIT, MAX_WAIT);
                tokio::time::sleep(wait).await;
            }
            ChoiceStep::Probe(_) => tokio::time::sleep(MIN_WAIT).await,
        }
    }
}

/// Opens a stream to a candidate and uses it until it ends.
async fn use_candidate(client: &Arc<ShardClient>, link: &mut LinkChoice, rank: usize) -> LinkEnd {
    let Some(messages) = open_stream(client, &link.candidates[rank].address).await else {
        client.lock_state().unlink();
        link.choice.failed(link.now(), rank);
        return LinkEnd::Lost(LossReason::Unreachable);
    };
    link.choice.connected(rank);
    client.lock_state().confirm_link();
    let end = run_stream(client, messages, link).await;
    let delays = client.lock_state().delays();
    client.lock_state().unlink();
    // A dispatcher that is no longer listed has no state to update.
    let Some(rank) = link.choice.current() else { return end };
    match end {
        LinkEnd::Lost(reason) => {
            let dispatcher = &link.candidates[rank].address;
            let fields = [
                field("service", client.service()),
                field("dispatcher", dispatcher),
                field("reason", reason.as_str()),
                field("silent_ms", delays.silence.as_millis()),
                field("unanswered_ms", delays.answer.as_millis()),
            ];
            record(&events::SESSION_LOST, &fields);
            link.choice.failed(link.now(), rank);
        }
        LinkEnd::Moved | LinkEnd::HigherRanked => {
            let fields = [
                field("service", client.service()),
                field("dispatcher", &link.candidates[rank].address),
                field("reason", if matches!(end, LinkEnd::Moved) { "moved" } else { "better" }),
            ];
            record(&events::SESSION_LEFT, &fields);
            link.choice.left(rank);
        }
        LinkEnd::Unused => {}
    }
    end
}

/// Opens a stream. Its first message carries everything that this router holds.
async fn open_stream(client: &Arc<ShardClient>, address: &DispatcherAddress) -> Option<MessageStream> {
    let (sender, receiver) = unbounded();
    let messages = match address {
        DispatcherAddress::Remote(remote) => {
            let channel = socket::connect(*remote, client.options.counter.clone()).await.ok()?;
            queue_hello(client, sender);
            open_remote(channel, receiver).await?
        }
        DispatcherAddress::Local(local) => {
            queue_hello(client, sender);
            timeout(OPEN_TIMEOUT, local.open(receiver)).await.ok()??
        }
    };
    record(&events::SESSION_OPEN, &[field("service", client.service()), field("dispatcher", address)]);
    Some(messages)
}

/// Queues the hello. Messages sent from now on follow it.
fn queue_hello(client: &ShardClient, sender: Sender<v1::RouterMessage>) {
    let mut state = client.lock_state();
    let hello = client.build_hello_message(&mut state);
    sender.try_send(hello).expect("a new unbounded channel accepts a message");
    state.attach_link(sender);
}

async fn open_remote(channel: Channel, messages: Receiver<v1::RouterMessage>) -> Option<MessageStream> {
    let mut wire = DispatchClient::new(channel)
        .max_decoding_message_size(MAX_MESSAGE_BYTES)
        .max_encoding_message_size(usize::MAX);
    let reply = timeout(OPEN_TIMEOUT, wire.session(messages)).await.ok()?.ok()?;
    Some(Box::pin(reply.into_inner()))
}

/// When the parts of a stream that are not messages are due.
struct LinkTimers {
    heartbeat: BootInstant,
    check: BootInstant,
}

impl LinkTimers {
    fn new() -> LinkTimers {
        let now = BootInstant::now();
        LinkTimers { heartbeat: now + HEARTBEAT_INTERVAL, check: now + CHECK_INTERVAL }
    }

    fn next_due(&self, client: &ShardClient) -> BootInstant {
        let watch = BootInstant::now() + client.lock_state().time_until_watch();
        self.check.min(watch)
    }

    /// Does what is due. Returns how the stream ends, if it does.
    fn run_due(&mut self, client: &Arc<ShardClient>, link: &mut LinkChoice) -> Option<LinkEnd> {
        let step = client.lock_state().next_watch_step();
        match step {
            WatchStep::Ask => self.send_heartbeat(client),
            WatchStep::LeaveUnanswered => return Some(LinkEnd::Lost(LossReason::NoReply)),
            WatchStep::LeaveSilent => return Some(LinkEnd::Lost(LossReason::NoPulse)),
            WatchStep::Wait(_) => {}
        }
        if BootInstant::now() < self.check {
            return None;
        }
        self.check = BootInstant::now() + CHECK_INTERVAL;
        if !link.refresh(client) {
            return Some(LinkEnd::Lost(LossReason::ProcessLost));
        }
        if Arc::strong_count(client) == 1 {
            return Some(LinkEnd::Unused);
        }
        if BootInstant::now() >= self.heartbeat {
            self.send_heartbeat(client);
        }
        None
    }

    fn send_heartbeat(&mut self, client: &ShardClient) {
        self.heartbeat = BootInstant::now() + HEARTBEAT_INTERVAL;
        client.lock_state().send_heartbeat();
    }
}

/// Processes the messages of a stream, sends heartbeats and probes higher-ranked candidates, until the stream ends.
async fn run_stream(
    client: &Arc<ShardClient>,
    mut messages: MessageStream,
    link: &mut LinkChoice,
) -> LinkEnd {
    let (probes, probe_results) = bounded(1);
    let mut is_probing = false;
    let mut timers = LinkTimers::new();
    loop {
        if !is_probing {
            match link.choice.next(link.now()) {
                ChoiceStep::Connect(_) => return LinkEnd::HigherRanked,
                ChoiceStep::Probe(rank) => {
                    is_probing = true;
                    start_probe(client, link.candidates[rank].address.clone(), probes.clone());
                }
                ChoiceStep::Wait(_) => {}
            }
        }
        let due = timers.next_due(client);
        match next_message(&mut messages, &probe_results, due).await {
            StreamEvent::Message(message) => {
                let keeps_stream = client.lock_state().handle_message(message);
                if !keeps_stream {
                    return LinkEnd::Moved;
                }
            }
            StreamEvent::End => return LinkEnd::Lost(LossReason::Ended),
            StreamEvent::Probed(address, is_answered) => {
                is_probing = false;
                if let Some(rank) = link.rank_of(&address) {
                    link.choice.probed(link.now(), rank, is_answered);
                }
            }
            StreamEvent::CheckDue => {
                let delay = BootInstant::now().saturating_duration_since(due);
                client.lock_state().note_own_delay(delay);
            }
        }
        if let Some(end) = timers.run_due(client, link) {
            return end;
        }
    }
}

/// What happened next on a stream.
enum StreamEvent {
    Message(v1::DispatcherMessage),
    End,
    Probed(DispatcherAddress, bool),
    CheckDue,
}

async fn next_message(
    messages: &mut MessageStream,
    probes: &Receiver<(DispatcherAddress, bool)>,
    until: BootInstant,
) -> StreamEvent {
    let wait = until.saturating_duration_since(BootInstant::now());
    let message = messages.next();
    let probe = probes.recv();
    pin_mut!(message, probe);
    match timeout(wait, select(message, probe)).await {
        Err(_) => StreamEvent::CheckDue,
        Ok(Either::Left((Some(Ok(message)), _))) => StreamEvent::Message(message),
        Ok(Either::Left(_)) => StreamEvent::End,
        Ok(Either::Right((Ok((address, is_answered)), _))) => StreamEvent::Probed(address, is_answered),
        Ok(Either::Right((Err(_), _))) => StreamEvent::CheckDue,
    }
}

/// Probes in the background whether a dispatcher responds.
fn start_probe(client: &ShardClient, address: DispatcherAddress, results: Sender<(DispatcherAddress, bool)>) {
    let counter = client.options.counter.clone();
    tokio::spawn(async move {
        let is_answered = match &address {
            DispatcherAddress::Remote(remote) => is_answering(*remote, counter).await,
            DispatcherAddress::Local(_) => true,
        };
        // The stream that started the probe may have ended.
        let _ = results.send((address, is_answered)).await;
    });
}

/// Returns whether a dispatcher answers a status call in time.
async fn is_answering(address: SocketAddr, counter: TrafficCounter) -> bool {
    let Ok(channel) = socket::connect(address, counter).await else { return false };
    let status = async { DispatchClient::new(channel).status(v1::StatusRequest {}).await.is_ok() };
    timeout(OPEN_TIMEOUT, status).await.unwrap_or(false)
}
