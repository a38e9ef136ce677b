//! The protocol between a router and its dispatchers, tested against fake dispatchers.

use async_std::channel::{unbounded, Sender};
use async_std::task;
use futures::Stream;
use micaspool_backpressure::{AdviceSource, SharedAdvice};
use micaspool_dispatch::{
    rank_candidates, CandidateHealth, CandidateKind, GenerationOutline, GrantOutcome, RequestTicket,
    SessionId, ShardAction,
};
use micaspool_fair::ServiceLevel;
use micaspool_router::{
    DispatcherAddress, DispatcherCandidate, DispatcherList, ListedDispatchers, ShardClient,
    ShardClientOptions,
};
use micaspool_settings::process::PeerAddress;
use micaspool_telemetry::traffic::TrafficCounter;
use micaspool_types::{
    Cost, CustomerName, EndpointAdvice, EndpointName, HallLimit, Incarnation, InstanceName, OrderNumber,
    RequestDigest, RequestId, Revision, ServiceName, VersionLimit,
};
use micaspool_wire::convert::action_message;
use micaspool_wire::socket::CountedListener;
use micaspool_wire::v1::{self, dispatch_server::Dispatch, dispatch_server::DispatchServer};
use micaspool_wire::v1::{dispatcher_message, router_message};
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use test_case::test_case;
use tonic::{Request, Response, Status, Streaming};

const DIGEST: RequestDigest = RequestDigest(0x1e77e4);

/// The behaviour of a fake dispatcher.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Behaviour {
    /// Grants every request immediately.
    Grants,
    /// Like `Grants`, and names this engine as the source of cached prompt parts.
    NamesSource(&'static str),
    /// Refuses every request for this reason and tells this fill of the customer's queue, in percent.
    Overloaded(&'static str, Option<u32>),
    /// Refuses every stream.
    Refuses,
    /// Accepts streams and sends nothing, like a machine that has just lost power.
    Silent,
    /// Answers heartbeats at once, and tickets one after the other, each this long after it came.
    Late(Duration),
    /// Like `Grants`, but leaves the request with this number unanswered, like a shard with a long line of one customer.
    HoldsBack(u128),
    /// Like `HoldsBack`, but refuses all others for want of room.
    FullBehind(u128),
    /// Grants the first request and sends nothing afterwards, like a machine that loses power.
    FallsSilent,
    /// Grants every request and asks for a new stream whenever a grant ends.
    Moves,
    /// Like `Moves`, but first reports an empty crash record for the request.
    ClearsAndMoves,
}

/// The hellos, the endpoint advice and the number of heartbeats received from routers.
#[derive(Default)]
struct ReceivedMessages {
    hellos: Vec<v1::Hello>,
    advice: Vec<v1::EndpointAdvice>,
    heartbeats: usize,
}

type SharedMessages = Arc<Mutex<ReceivedMessages>>;

impl Behaviour {
    fn cache_source(self) -> &'static str {
        match self {
            Behaviour::NamesSource(name) => name,
            _ => "",
        }
    }
}

struct FakeDispatcher {
    behaviour: Behaviour,
    received: SharedMessages,
}

type Messages = Pin<Box<dyn Stream<Item = Result<v1::DispatcherMessage, Status>> + Send>>;

#[tonic::async_trait]
impl Dispatch for FakeDispatcher {
    type SessionStream = Messages;

    async fn session(
        &self,
        request: Request<Streaming<v1::RouterMessage>>,
    ) -> Result<Response<Messages>, Status> {
        if self.behaviour == Behaviour::Refuses {
            return Err(Status::unavailable("streams are refused"));
        }
        let (sender, receiver) = unbounded();
        match self.behaviour {
            Behaviour::Silent => task::spawn(keep_open(request.into_inner(), sender)),
            Behaviour::FallsSilent => task::spawn(fall_silent(request.into_inner(), sender)),
            Behaviour::Late(delay) => {
                task::spawn(answer_late(request.into_inner(), sender, delay, self.received.clone()))
            }
            behaviour => task::spawn(answer(request.into_inner(), sender, behaviour, self.received.clone())),
        };
        Ok(Response::new(Box::pin(receiver)))
    }

    async fn lift(&self, _request: Request<v1::LiftRequest>) -> Result<Response<v1::LiftReply>, Status> {
        Ok(Response::new(v1::LiftReply::default()))
    }

    async fn status(
        &self,
        _request: Request<v1::StatusRequest>,
    ) -> Result<Response<v1::StatusReply>, Status> {
        Ok(Response::new(v1::StatusReply::default()))
    }

    async fn share(&self, _request: Request<v1::SharedTotals>) -> Result<Response<v1::SharedTotals>, Status> {
        Ok(Response::new(v1::SharedTotals::default()))
    }
}

async fn answer(
    mut messages: Streaming<v1::RouterMessage>,
    sender: Sender<Result<v1::DispatcherMessage, Status>>,
    behaviour: Behaviour,
    received: SharedMessages,
) {
    while let Ok(Some(message)) = messages.message().await {
        let submits = match message.body {
            Some(router_message::Body::Hello(hello)) => {
                let waiting = hello.waiting.clone();
                received.lock().expect("the lock is not poisoned").hellos.push(hello);
                waiting
            }
            Some(router_message::Body::Settle(_)) => {
                end_session(&sender, behaviour).await;
                Vec::new()
            }
            Some(router_message::Body::Submit(submit)) => vec![submit],
            Some(router_message::Body::Heartbeat(beat)) => {
                received.lock().expect("the lock is not poisoned").advice.extend(beat.advice);
                let pulse = v1::Pulse { heartbeat: beat.number, incarnation: 1 };
                send(&sender, dispatcher_message::Body::Pulse(pulse)).await;
                Vec::new()
            }
            _ => Vec::new(),
        };
        for submit in submits {
            let held = match behaviour {
                Behaviour::HoldsBack(held) | Behaviour::FullBehind(held) => Some(held.to_be_bytes()),
                _ => None,
            };
            if held.is_some_and(|held| submit.request == held) {
                continue;
            }
            let behaviour = match behaviour {
                Behaviour::FullBehind(_) => Behaviour::Overloaded("shard-full", Some(100)),
                other => other,
            };
            if let Behaviour::Overloaded(reason, queue_fill_percent) = behaviour {
                let kind = reason.to_owned();
                let request = submit.request;
                let refused = v1::Refused { request, kind, retry_after_millis: 1_000, queue_fill_percent };
                send(&sender, dispatcher_message::Body::Refused(refused)).await;
                continue;
            }
            let cache_source = behaviour.cache_source().to_owned();
            let grant = v1::Grant { cache_source, ..grant_of(submit) };
            send(&sender, dispatcher_message::Body::Grant(grant)).await;
        }
    }
}

fn grant_of(submit: v1::Submit) -> v1::Grant {
    v1::Grant {
        request: submit.request,
        endpoint: "endpoint-1".to_owned(),
        heartbeat: 1,
        lease_millis: 60_000,
        ..v1::Grant::default()
    }
}

/// Answers like a process whose shard has more to do than its processor bears.
async fn answer_late(
    mut messages: Streaming<v1::RouterMessage>,
    sender: Sender<Result<v1::DispatcherMessage, Status>>,
    delay: Duration,
    received: SharedMessages,
) {
    let (shard, queue) = unbounded::<(Instant, v1::Submit)>();
    let answers = sender.clone();
    task::spawn(async move {
        while let Ok((came_at, submit)) = queue.recv().await {
            task::sleep((came_at + delay).saturating_duration_since(Instant::now())).await;
            send(&answers, dispatcher_message::Body::Grant(grant_of(submit))).await;
        }
    });
    while let Ok(Some(message)) = messages.message().await {
        match message.body {
            Some(router_message::Body::Hello(hello)) => {
                for submit in hello.waiting.clone() {
                    let _ = shard.send((Instant::now(), submit)).await;
                }
                received.lock().expect("the lock is not poisoned").hellos.push(hello);
            }
            Some(router_message::Body::Submit(submit)) => {
                let _ = shard.send((Instant::now(), submit)).await;
            }
            Some(router_message::Body::Heartbeat(beat)) => {
                received.lock().expect("the lock is not poisoned").heartbeats += 1;
                let pulse = v1::Pulse { heartbeat: beat.number, incarnation: 1 };
                send(&sender, dispatcher_message::Body::Pulse(pulse)).await;
            }
            _ => {}
        }
    }
}

/// Grants one request, then reads messages without answering.
async fn fall_silent(
    mut messages: Streaming<v1::RouterMessage>,
    sender: Sender<Result<v1::DispatcherMessage, Status>>,
) {
    while let Ok(Some(message)) = messages.message().await {
        let submit = match message.body {
            Some(router_message::Body::Hello(hello)) => hello.waiting.into_iter().next(),
            Some(router_message::Body::Submit(submit)) => Some(submit),
            _ => None,
        };
        if let Some(submit) = submit {
            send(&sender, dispatcher_message::Body::Grant(grant_of(submit))).await;
            return keep_open(messages, sender).await;
        }
    }
}

async fn end_session(sender: &Sender<Result<v1::DispatcherMessage, Status>>, behaviour: Behaviour) {
    if behaviour == Behaviour::ClearsAndMoves {
        let cleared = v1::CrashRecord {
            digest: DIGEST.0.to_be_bytes().to_vec(),
            customer: "coop-01".to_owned(),
            crashes: Vec::new(),
        };
        send(sender, dispatcher_message::Body::CrashRecord(cleared)).await;
    }
    if matches!(behaviour, Behaviour::Moves | Behaviour::ClearsAndMoves) {
        send(sender, dispatcher_message::Body::Moved(v1::Moved {})).await;
    }
}

/// Reads messages without answering.
async fn keep_open(
    mut messages: Streaming<v1::RouterMessage>,
    _sender: Sender<Result<v1::DispatcherMessage, Status>>,
) {
    while let Ok(Some(_)) = messages.message().await {}
}

async fn send(sender: &Sender<Result<v1::DispatcherMessage, Status>>, body: dispatcher_message::Body) {
    let _ = sender.send(Ok(v1::DispatcherMessage { body: Some(body) })).await;
}

async fn start(behaviour: Behaviour) -> SocketAddr {
    start_recording(behaviour, SharedMessages::default()).await
}

async fn start_recording(behaviour: Behaviour, received: SharedMessages) -> SocketAddr {
    let any = "127.0.0.1:0".parse().expect("a valid address");
    let listener = CountedListener::bind(any, TrafficCounter::default()).await.expect("a free port");
    let address = listener.local_address().expect("the listener is bound");
    let server = DispatchServer::new(FakeDispatcher { behaviour, received });
    task::spawn(tonic::transport::Server::builder().add_service(server).serve_with_incoming(listener));
    address
}

fn ticket(number: u128) -> RequestTicket {
    RequestTicket {
        request: RequestId(number),
        customer: CustomerName::parse("coop-01").expect("a valid name"),
        digest: Some(DIGEST),
        hint: Cost(1),
        priority: 5,
        attempt: 0,
        avoid: None,
        prefixes: Vec::new(),
        prefix_tokens: Vec::new(),
        prompt_tokens: Cost(0),
        objective: None,
        patience: None,
        order: None,
        halls: HallLimit::Anywhere,
        versions: VersionLimit::Any,
        generation: GenerationOutline::default(),
    }
}

fn name(text: &str) -> InstanceName {
    InstanceName::parse(text).expect("a valid name")
}

/// Creates a client with these dispatchers as its first and second choice.
fn client(first: SocketAddr, second: SocketAddr) -> Arc<ShardClient> {
    client_with(first, second, SharedAdvice::new())
}

fn client_with(first: SocketAddr, second: SocketAddr, advice: Arc<SharedAdvice>) -> Arc<ShardClient> {
    let ranked = rank_candidates(&service(), &[name("entry-1"), name("entry-2")]);
    let addresses = ranked.into_iter().zip([first, second]);
    let listed = ListedDispatchers(addresses.map(|(name, address)| PeerAddress { name, address }).collect());
    start_client(Arc::new(listed), advice)
}

fn service() -> ServiceName {
    ServiceName::parse("modelo-acopio").expect("a valid name")
}

fn start_client(dispatchers: Arc<dyn DispatcherList>, advice: Arc<SharedAdvice>) -> Arc<ShardClient> {
    let options = ShardClientOptions {
        router: name("entry-3"),
        hall: "sala-ubate".to_owned(),
        incarnation: Incarnation(1),
        dispatchers,
        advice,
        counter: TrafficCounter::default(),
    };
    ShardClient::start(service(), options)
}

/// Two dispatchers, of which the first has the health that another stream to its process shows.
#[derive(Debug)]
struct ObservedDispatchers {
    addresses: [SocketAddr; 2],
    first: Mutex<CandidateHealth>,
}

impl DispatcherList for ObservedDispatchers {
    fn ranked(&self, _service: &ServiceName) -> Vec<DispatcherCandidate> {
        let first = *self.first.lock().expect("the lock is not poisoned");
        let candidate = |(address, health)| DispatcherCandidate {
            address: DispatcherAddress::Remote(address),
            kind: CandidateKind::Observed(health),
        };
        self.addresses.into_iter().zip([first, CandidateHealth::Answering]).map(candidate).collect()
    }
}

/// Guards against a lease that loses the source of its grant, or that is refused because a dispatcher
/// sends none or a name that isn't valid.
#[test_case("endpoint-2", Some("endpoint-2"); "a source")]
#[test_case("", None; "no source, as from an older dispatcher")]
#[test_case("not a name", None; "an invalid name")]
fn a_lease_names_the_cache_source_of_its_grant(sent: &'static str, expected: Option<&str>) {
    task::block_on(async {
        let address = start(Behaviour::NamesSource(sent)).await;
        let client = client(address, address);
        let lease = client.acquire(ticket(1), None).await.expect("the dispatcher grants");
        assert_eq!(lease.endpoint().as_str(), "endpoint-1");
        assert_eq!(lease.cache_source().map(EndpointName::as_str), expected);
    });
}

/// Guards against a conversion that drops the source of a grant.
#[test]
fn a_grant_message_carries_the_cache_source() {
    let name = |name: &str| EndpointName::parse(name).expect("a valid name");
    for (source, expected) in [(Some(name("endpoint-2")), "endpoint-2"), (None, "")] {
        let action = ShardAction::Grant {
            session: SessionId(1),
            request: RequestId(1),
            endpoint: name("endpoint-1"),
            version: None,
            cache_source: source,
            estimate: Cost(1),
            level: ServiceLevel(0),
            order: OrderNumber(1),
            heartbeat: 1,
            lease: Duration::from_secs(1),
            revision: Revision(1),
            objective: None,
            queue_fill: None,
        };
        let (_, message) = action_message(action, Incarnation(1)).expect("grants are sent");
        let Some(dispatcher_message::Body::Grant(grant)) = message.body else { panic!("not a grant") };
        assert_eq!(grant.cache_source, expected);
    }
}

#[test]
fn keeps_its_dispatcher_while_a_higher_ranked_one_refuses_streams() {
    task::block_on(async {
        let client = client(start(Behaviour::Refuses).await, start(Behaviour::Grants).await);
        let granted = client.acquire(ticket(1), None).await.expect("the second choice grants");
        assert_eq!(granted.endpoint().as_str(), "endpoint-1");
        assert!(granted.is_valid());
        // Longer than the hold-down after which the higher-ranked dispatcher is tried.
        task::sleep(Duration::from_millis(3_500)).await;
        let again = async_std::future::timeout(Duration::from_secs(3), client.acquire(ticket(2), None)).await;
        assert!(again.expect("the second grant arrives in time").is_ok());
    });
}

#[test]
fn refuses_requests_after_two_seconds_without_a_dispatcher() {
    task::block_on(async {
        let nowhere = "127.0.0.1:1".parse().expect("a valid address");
        let client = client(nowhere, nowhere);
        task::sleep(Duration::from_millis(2_200)).await;
        let refusal = client.acquire(ticket(1), None).await.expect_err("no dispatcher is reachable");
        assert_eq!(refusal.kind.as_str(), "no-dispatcher");
        assert!(refusal.retry_after.is_some());
    });
}

/// Returns how many of 50 requests the router sends to a dispatcher that refuses all of them.
#[test_case("overdue", None => matches 1..=25; "the fill is unknown")]
#[test_case("overdue", Some(100) => matches 1..=25; "the queue is full")]
#[test_case("shard-full", Some(100) => matches 1..=25; "a late shard has no room for it")]
#[test_case("overdue", Some(10) => 50; "the queue is short")]
fn sends_every_request_while_the_queue_of_its_customer_is_short(
    reason: &'static str,
    fill: Option<u32>,
) -> usize {
    task::block_on(async {
        let address = start(Behaviour::Overloaded(reason, fill)).await;
        let client = client(address, address);
        let mut sent = 0;
        for number in 0..50 {
            let ticket = ticket(number);
            if client.admit(&ticket.customer).is_ok() {
                sent += 1;
                client.acquire(ticket, None).await.map(drop).expect_err("the dispatcher refuses");
            }
        }
        sent
    })
}

#[test]
fn leaves_a_dispatcher_that_does_not_answer_tickets() {
    task::block_on(async {
        let client = client(start(Behaviour::Silent).await, start(Behaviour::Grants).await);
        let limit = Duration::from_millis(1_800);
        let granted = async_std::future::timeout(limit, client.acquire(ticket(1), None)).await;
        let granted = granted.expect("the request moves to the second dispatcher in time");
        assert_eq!(granted.expect("the second choice grants").endpoint().as_str(), "endpoint-1");
    });
}

/// Guards against routers that scatter over all dispatchers because the best one has more to do than it can.
#[test_case(1_500)]
#[test_case(2_500)]
#[test_case(4_000)]
fn a_late_dispatcher_that_answers_heartbeats_is_not_left(delay_millis: u64) {
    task::block_on(async {
        let (first, second) = (SharedMessages::default(), SharedMessages::default());
        let late = Behaviour::Late(Duration::from_millis(delay_millis));
        let late = start_recording(late, first.clone()).await;
        let client = client(late, start_recording(Behaviour::Grants, second.clone()).await);
        // The next heartbeat is as far away as it can be.
        wait_for(&first, |received| received.heartbeats > 0).await;
        for number in 0..2 {
            client.acquire(ticket(number), None).await.expect("the late dispatcher grants");
        }
        let sessions = second.lock().expect("the lock is not poisoned").hellos.len();
        assert_eq!(sessions, 0, "the router went to the second dispatcher");
    });
}

/// Guards against questions to a late dispatcher that add to what makes it late.
#[test]
fn a_late_dispatcher_is_asked_a_few_times_a_second() {
    task::block_on(async {
        let received = SharedMessages::default();
        let late = start_recording(Behaviour::Late(Duration::from_secs(2)), received.clone()).await;
        let client = client(late, late);
        task::sleep(Duration::from_millis(300)).await;
        let tickets = (0..40).map(|number| client.acquire(ticket(number), None));
        futures::future::join_all(tickets).await;
        let heartbeats = received.lock().expect("the lock is not poisoned").heartbeats;
        assert!(heartbeats <= 12, "{heartbeats} heartbeats in 2.3 s");
    });
}

/// Guards against requests that wait for a late dispatcher until it is too late for them.
#[test]
fn what_a_late_dispatcher_would_answer_too_late_is_refused_at_once() {
    task::block_on(async {
        let late = start(Behaviour::Late(Duration::from_secs(3))).await;
        let client = client(late, late);
        task::sleep(Duration::from_millis(300)).await;
        let first = task::spawn({
            let client = client.clone();
            async move { client.acquire(ticket(1), None).await.map(drop) }
        });
        task::sleep(Duration::from_secs(1)).await;
        let urgent = |number| RequestTicket { objective: Some(Duration::from_millis(600)), ..ticket(number) };
        let limit = Duration::from_millis(100);
        let refused = async_std::future::timeout(limit, client.acquire(urgent(2), None)).await;
        let refusal = refused.expect("the refusal comes at once").map(drop).expect_err("it is too late");
        assert_eq!(refusal.kind.as_str(), "overloaded");
        assert!(refusal.retry_after.is_some_and(|wait| wait >= Duration::from_millis(900)));
        let patient = RequestTicket { objective: Some(Duration::from_secs(5)), ..ticket(3) };
        let waiting = async_std::future::timeout(limit, client.acquire(patient, None)).await;
        assert!(waiting.is_err(), "a request with time left goes to the dispatcher");
        first.await.expect("the dispatcher grants");
        let sent = async_std::future::timeout(limit, client.acquire(urgent(4), None)).await;
        assert!(sent.is_err(), "once the dispatcher has answered, requests go to it again");
    });
}

/// Guards against a customer that is shut out for seconds because one of its tickets is never answered.
#[test]
fn one_ticket_without_an_answer_does_not_shut_out_its_customer() {
    task::block_on(async {
        let dispatcher = start(Behaviour::HoldsBack(1)).await;
        let client = client(dispatcher, dispatcher);
        task::sleep(Duration::from_millis(300)).await;
        let _held = task::spawn({
            let client = client.clone();
            async move { client.acquire(ticket(1), None).await.map(drop) }
        });
        let mut served = 0;
        for number in 2..32 {
            task::sleep(Duration::from_millis(100)).await;
            let urgent = RequestTicket { objective: Some(Duration::from_millis(400)), ..ticket(number) };
            served += usize::from(client.acquire(urgent, None).await.is_ok());
        }
        assert_eq!(served, 30);
    });
}

/// Guards against a late dispatcher that is sent everything because it refuses at once what it has no room for.
#[test]
fn refusals_for_want_of_room_do_not_pass_a_ticket_that_waits() {
    task::block_on(async {
        let dispatcher = start(Behaviour::FullBehind(1)).await;
        let client = client(dispatcher, dispatcher);
        task::sleep(Duration::from_millis(300)).await;
        let _held = task::spawn({
            let client = client.clone();
            async move { client.acquire(ticket(1), None).await.map(drop) }
        });
        task::sleep(Duration::from_millis(1_000)).await;
        let refusal = |objective_millis| {
            let objective = Some(Duration::from_millis(objective_millis));
            let client = client.clone();
            async move {
                let refused = client
                    .acquire(RequestTicket { objective, ..ticket(objective_millis.into()) }, None)
                    .await;
                refused.map(drop).expect_err("nothing is granted").kind.as_str()
            }
        };
        assert_eq!(refusal(5_000).await, "fleet-backlog-full");
        assert_eq!(refusal(400).await, "overloaded", "the router knows that the line is late");
    });
}

/// Guards against requests that are refused because the ticket of another customer waits in its line.
#[test_case(450, 350; "a line of one customer")]
#[test_case(3_000, 2_000; "a ticket that the shard has but does not answer again")]
fn a_ticket_without_an_answer_does_not_shut_out_other_customers(
    unanswered_millis: u64,
    objective_millis: u64,
) {
    task::block_on(async {
        let dispatcher = start(Behaviour::HoldsBack(1)).await;
        let client = client(dispatcher, dispatcher);
        task::sleep(Duration::from_millis(300)).await;
        let _held = task::spawn({
            let client = client.clone();
            async move { client.acquire(ticket(1), None).await.map(drop) }
        });
        task::sleep(Duration::from_millis(unanswered_millis)).await;
        let urgent = RequestTicket {
            customer: CustomerName::parse("coop-02").expect("a valid name"),
            objective: Some(Duration::from_millis(objective_millis)),
            ..ticket(2)
        };
        let granted = client.acquire(urgent, None).await.map(drop);
        granted.expect("the dispatcher grants at once what it is asked");
    });
}

/// Guards against a router that takes what it heard before for a sign that a machine without power is only late.
#[test]
fn a_dispatcher_that_falls_silent_is_left_within_about_a_second() {
    task::block_on(async {
        let client = client(start(Behaviour::FallsSilent).await, start(Behaviour::Grants).await);
        let first = client.acquire(ticket(1), None).await.expect("the first dispatcher grants");
        let limit = Duration::from_millis(1_500);
        let granted = async_std::future::timeout(limit, client.acquire(ticket(2), None)).await;
        granted.expect("the request moves to the second dispatcher in time").expect("it grants");
        drop(first);
    });
}

/// Guards against a router that stays with a dispatcher whose process is lost to the rest of the fleet.
#[test]
fn a_late_dispatcher_whose_keeper_is_lost_is_left_within_about_a_second() {
    task::block_on(async {
        let late = start(Behaviour::Late(Duration::from_secs(4))).await;
        let dispatchers = Arc::new(ObservedDispatchers {
            addresses: [late, start(Behaviour::Grants).await],
            first: Mutex::new(CandidateHealth::Answering),
        });
        let client = start_client(dispatchers.clone(), SharedAdvice::new());
        task::sleep(Duration::from_millis(300)).await;
        *dispatchers.first.lock().expect("the lock is not poisoned") = CandidateHealth::Lost;
        let limit = Duration::from_millis(1_300);
        let granted = async_std::future::timeout(limit, client.acquire(ticket(1), None)).await;
        granted.expect("the request moves to the second dispatcher in time").expect("it grants");
    });
}

#[test_case(Behaviour::Moves, GrantOutcome::Severed => 1; "a lost connection")]
#[test_case(Behaviour::Moves, GrantOutcome::Done => 0; "a complete answer")]
#[test_case(Behaviour::Moves, GrantOutcome::Broken => 0; "a deadline")]
#[test_case(Behaviour::ClearsAndMoves, GrantOutcome::Severed => 0; "a request that the dispatcher cleared")]
fn hello_to_the_next_dispatcher_carries_crash_records(behaviour: Behaviour, outcome: GrantOutcome) -> usize {
    task::block_on(async {
        let received = SharedMessages::default();
        let address = start_recording(behaviour, received.clone()).await;
        let client = client(address, address);
        let mut lease = client.acquire(ticket(1), None).await.expect("the dispatcher grants");
        lease.mark_sent();
        lease.settle(Cost(1), outcome);
        wait_for(&received, |received| received.hellos.len() > 1).await;
        let received = received.lock().expect("the lock is not poisoned");
        received.hellos[1].crashes.len()
    })
}

/// Waits up to 4 s until the dispatcher has received messages that match.
async fn wait_for(received: &SharedMessages, is_received: impl Fn(&ReceivedMessages) -> bool) {
    for _ in 0..200 {
        if is_received(&received.lock().expect("the lock is not poisoned")) {
            return;
        }
        task::sleep(Duration::from_millis(20)).await;
    }
    panic!("the message was not received within 4 s");
}

/// Guards against a new dispatcher granting endpoints that are resting, because it did not know the advice that they
/// had given to its routers.
#[test]
fn reports_endpoint_advice_to_the_current_and_the_next_dispatcher() {
    task::block_on(async {
        let received = SharedMessages::default();
        let address = start_recording(Behaviour::Moves, received.clone()).await;
        let advice = SharedAdvice::new();
        let client = client_with(address, address, advice.clone());
        let lease = client.acquire(ticket(1), None).await.expect("the dispatcher grants");
        let requested_advice = EndpointAdvice { rest: Duration::from_secs(60), leaving: false };
        let (endpoint, service) = (lease.endpoint().clone(), client.service().clone());
        let source = AdviceSource { endpoint: &endpoint, service: &service, request: "r" };
        client.report_advice(advice.apply(source, requested_advice).expect("the advice is new"));
        wait_for(&received, |received| !received.advice.is_empty()).await;
        lease.settle(Cost(0), GrantOutcome::Refused);
        wait_for(&received, |received| received.hellos.len() > 1).await;
        let received = received.lock().expect("the lock is not poisoned");
        let reported = received.hellos[1].advice.first().expect("the next hello carries the advice");
        for reported in [&received.advice[0], reported] {
            assert_eq!(reported.endpoint, "endpoint-1");
            assert!((59_000..=60_000).contains(&reported.rest_millis) && !reported.leaving, "{reported:?}");
        }
        assert!(received.hellos[0].advice.is_empty());
    });
}
