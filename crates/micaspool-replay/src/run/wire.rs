//! Counts control messages and their encoded sizes.

use micaspool_dispatch::{RouterHello, ShardAction, ShardEvent};
use micaspool_types::{Incarnation, ServiceName};
use micaspool_wire::convert::{action_message, hello_message, request_bytes, settle_message, submit_message};
use micaspool_wire::v1::{self, router_message::Body};
use prost::Message;

/// The framing overhead of HTTP/2 and gRPC for each message.
const FRAMING_BYTES: u64 = 14;

/// The number and size of the control messages between routers and the dispatcher.
#[derive(Debug, Default)]
pub(super) struct WireCounter {
    pub messages: u64,
    pub bytes: u64,
}

impl WireCounter {
    pub fn count_event(&mut self, event: &ShardEvent) {
        let body = match event {
            ShardEvent::Submit(_, ticket) => Body::Submit(submit_message(ticket)),
            ShardEvent::Progress(_, request, delivered) => Body::Progress(v1::Progress {
                request: request_bytes(*request),
                delivered: delivered.0,
                began: None,
                first_event: None,
            }),
            ShardEvent::Settle(_, request, cost, outcome) => {
                Body::Settle(settle_message(*request, *cost, *outcome))
            }
            ShardEvent::Heartbeat(_, number) => {
                Body::Heartbeat(v1::Heartbeat { number: *number, ..v1::Heartbeat::default() })
            }
            _ => return,
        };
        self.add(v1::RouterMessage { body: Some(body) }.encoded_len());
    }

    pub fn count_action(&mut self, action: &ShardAction) {
        if let Some((_, message)) = action_message(action.clone(), Incarnation(1)) {
            self.add(message.encoded_len());
        }
    }

    /// Counts a hello message and returns its encoded size in bytes, without framing.
    pub fn count_hello(&mut self, hello: &RouterHello) -> u64 {
        let service = ServiceName::parse("service").expect("the name is well-formed");
        let body = Body::Hello(hello_message(&service, "hall-0", hello));
        let length = v1::RouterMessage { body: Some(body) }.encoded_len();
        self.add(length);
        length as u64
    }

    fn add(&mut self, length: usize) {
        self.messages += 1;
        self.bytes += length as u64 + FRAMING_BYTES;
    }
}
