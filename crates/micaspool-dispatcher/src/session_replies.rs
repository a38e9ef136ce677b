//! The messages of a session to its router.

use crate::driver::StreamItem;
use async_std::channel::Receiver;
use futures::Stream;
use micaspool_wire::v1::dispatcher_message::Body;
use std::pin::Pin;
use std::task::{Context, Poll};

/// The answers of a shard, and the pulses of the session, which come before answers that are still unsent.
///
/// It ends when the shard closes the session.
#[derive(Debug)]
pub struct SessionReplies {
    pub(crate) answers: Receiver<StreamItem>,
    pub(crate) pulses: Receiver<StreamItem>,
}

impl Stream for SessionReplies {
    type Item = StreamItem;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<StreamItem>> {
        if let Poll::Ready(Some(pulse)) = Pin::new(&mut self.pulses).poll_next(context) {
            return Poll::Ready(Some(pulse));
        }
        loop {
            match Pin::new(&mut self.answers).poll_next(context) {
                // The session has answered the heartbeat already.
                Poll::Ready(Some(item)) if is_pulse(&item) => {}
                answer => return answer,
            }
        }
    }
}

fn is_pulse(item: &StreamItem) -> bool {
    matches!(item, Ok(message) if matches!(message.body, Some(Body::Pulse(_))))
}
