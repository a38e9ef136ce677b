//! The queue of a shard's inputs, which stamps each with the moment of its arrival.

use crate::driver::ShardInput;
use async_std::channel::{unbounded, Receiver, Sender};
use micaspool_clock::BootInstant;
use micaspool_types::Moment;

/// A monotonic clock that counts from the start of the shard.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ShardClock(BootInstant);

impl ShardClock {
    /// Creates a clock that starts now.
    pub fn start() -> ShardClock {
        ShardClock(BootInstant::now())
    }

    /// The time since the start of the shard.
    pub fn now(&self) -> Moment {
        Moment(0) + self.0.elapsed()
    }
}

/// An input, and when it arrived.
#[derive(Debug)]
pub(crate) struct ArrivedInput {
    pub arrived_at: Moment,
    pub input: ShardInput,
}

/// The shard has ended and takes no inputs; the router is to connect again.
#[derive(Debug)]
pub(crate) struct ShardEnded;

/// Sends inputs to a shard.
#[derive(Debug, Clone)]
pub(crate) struct InputSender {
    clock: ShardClock,
    queue: Sender<ArrivedInput>,
}

impl InputSender {
    /// Creates a queue of inputs that are stamped by this clock.
    pub fn new(clock: ShardClock) -> (InputSender, Receiver<ArrivedInput>) {
        let (queue, receiver) = unbounded();
        (InputSender { clock, queue }, receiver)
    }

    /// Sends an input.
    pub async fn send(&self, input: ShardInput) -> Result<(), ShardEnded> {
        self.try_send(input)
    }

    /// Sends an input. The queue has no limit, so only a shard that has ended refuses it.
    pub fn try_send(&self, input: ShardInput) -> Result<(), ShardEnded> {
        let arrived = ArrivedInput { arrived_at: self.clock.now(), input };
        self.queue.try_send(arrived).map_err(|_| ShardEnded)
    }

    /// True once the shard has ended.
    pub fn is_closed(&self) -> bool {
        self.queue.is_closed()
    }
}
