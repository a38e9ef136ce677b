//! When a dispatcher answers the heartbeats of its routers.

use async_std::channel::{unbounded, Receiver};
use async_std::task;
use async_trait::async_trait;
use futures::StreamExt;
use micaspool_client::{FleetMirror, FleetMirrorOptions, StaticDirectory};
use micaspool_dispatcher::{
    EndpointProbe, FleetDispatcher, FleetDispatcherOptions, ProbeAnswer, ProbedEndpoint,
};
use micaspool_routes::JsonFormat;
use micaspool_telemetry::spans::SpanSink;
use micaspool_telemetry::traffic::TrafficCounter;
use micaspool_types::{Incarnation, RegionName};
use micaspool_wire::v1::{self, dispatcher_message, router_message::Body, RouterMessage};
use std::sync::Arc;
use std::time::Duration;

/// So many that the shard needs far longer for them than the session for one message.
const TICKETS: u128 = 20_000;

#[derive(Debug)]
struct NoEngines;

#[async_trait]
impl EndpointProbe for NoEngines {
    async fn load(&self, _endpoint: &ProbedEndpoint) -> Option<ProbeAnswer> {
        None
    }
}

fn dispatcher() -> FleetDispatcher {
    let mirror = FleetMirror::start(FleetMirrorOptions {
        follower: "core".to_owned(),
        seeds: Vec::new(),
        directory: Arc::new(StaticDirectory(Vec::new())),
        format: Arc::new(JsonFormat),
        counter: TrafficCounter::default(),
        max_endpoint_silence: Duration::from_secs(10),
    });
    FleetDispatcher::new(FleetDispatcherOptions {
        region: RegionName::parse("site").expect("the name is valid"),
        incarnation: Incarnation(7),
        mirror,
        spans: SpanSink::default(),
        probe: Arc::new(NoEngines),
        subset: None,
    })
}

fn hello() -> Body {
    Body::Hello(v1::Hello {
        service: "model".to_owned(),
        router: "10.0.2.9".to_owned(),
        hall: "hall".to_owned(),
        incarnation: 1,
        ..v1::Hello::default()
    })
}

fn submit(number: u128) -> Body {
    let request = number.to_be_bytes().to_vec();
    Body::Submit(v1::Submit { request, customer: "coop-01".to_owned(), hint: 1, ..v1::Submit::default() })
}

fn queued(bodies: impl Iterator<Item = Body>) -> Receiver<RouterMessage> {
    let (sender, receiver) = unbounded();
    for body in bodies {
        sender.try_send(RouterMessage { body: Some(body) }).expect("the channel is open");
    }
    // The session lasts as long as the sender.
    std::mem::forget(sender);
    receiver
}

/// Guards against a pulse that waits behind all tickets, so that routers take a shard with much to do for a lost one.
#[test]
fn a_heartbeat_is_answered_before_the_tickets_that_the_shard_has_not_handled() {
    task::block_on(async {
        let heartbeat = Body::Heartbeat(v1::Heartbeat { number: 2, ..v1::Heartbeat::default() });
        let bodies = [hello()].into_iter().chain((0..TICKETS).map(submit)).chain([heartbeat]);
        let mut replies = dispatcher().open(queued(bodies)).await.expect("the session opens");
        let mut answered = 0;
        loop {
            let reply = replies.next().await.expect("the session goes on").expect("the session is open");
            match reply.body {
                Some(dispatcher_message::Body::Pulse(pulse)) => {
                    assert_eq!((pulse.heartbeat, pulse.incarnation), (2, 7));
                    break;
                }
                _ => answered += 1,
            }
        }
        assert!(answered < TICKETS / 2, "the pulse came after {answered} other answers");
    });
}

/// Guards against two pulses for a heartbeat, and against a pulse for advice, which has no number.
#[test]
fn each_numbered_heartbeat_has_one_pulse() {
    task::block_on(async {
        let advice =
            vec![v1::EndpointAdvice { endpoint: "engine-1".to_owned(), ..v1::EndpointAdvice::default() }];
        let heartbeats = [
            Body::Heartbeat(v1::Heartbeat { number: 2, ..v1::Heartbeat::default() }),
            Body::Heartbeat(v1::Heartbeat { advice, ..v1::Heartbeat::default() }),
            Body::Heartbeat(v1::Heartbeat { number: 3, ..v1::Heartbeat::default() }),
        ];
        let bodies = [hello()].into_iter().chain(heartbeats);
        let mut replies = dispatcher().open(queued(bodies)).await.expect("the session opens");
        let mut pulses = Vec::new();
        let limit = Duration::from_millis(500);
        while let Ok(Some(Ok(reply))) = async_std::future::timeout(limit, replies.next()).await {
            if let Some(dispatcher_message::Body::Pulse(pulse)) = reply.body {
                pulses.push(pulse.heartbeat);
            }
        }
        assert_eq!(pulses, [2, 3]);
    });
}
