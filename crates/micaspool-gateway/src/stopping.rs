//! Ends requests shortly before a gateway stops.
//!
//! A stopping gateway serves on while it has time. What still waits for an endpoint near the end has not run and is refused;
//! otherwise its caller would see a closed connection and could not know that. What runs goes on a little longer, and is then
//! refused or broken off here: the system would close its connection as after a whole answer.

use async_std::channel::{bounded, Receiver, Sender};
use futures::future::{select, Either};
use futures::pin_mut;
use std::future::Future;
use std::time::Duration;

/// Tells requests that the gateway is about to stop.
#[derive(Clone, Debug)]
pub struct StopNotice {
    /// Closed when the notice is given; nothing is ever sent.
    channel: (Sender<()>, Receiver<()>),
}

impl Default for StopNotice {
    fn default() -> Self {
        StopNotice { channel: bounded(1) }
    }
}

impl StopNotice {
    /// Gives the notice after a pause.
    pub async fn give_after(self, pause: Duration) {
        tokio::time::sleep(pause).await;
        self.channel.0.close();
    }

    /// Returns the output of a future, or `None` if the notice is given first.
    pub async fn unless_stopping<T>(&self, future: impl Future<Output = T>) -> Option<T> {
        let notice = self.channel.1.recv();
        pin_mut!(future, notice);
        match select(future, notice).await {
            Either::Left((output, _)) => Some(output),
            Either::Right(_) => None,
        }
    }
}
