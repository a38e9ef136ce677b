//! The body of a caller's request, which is read whole, or discarded before a refusal.

use super::RETRY_AFTER;
use http::header::EXPECT;
use http::request;
use http_body::Body;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use micaspool_clock::BootInstant;
use micaspool_http::body::{BodyBudget, Error, HeldBody};
use micaspool_types::{Refusal, RefusalKind};
use std::time::Duration;
use tokio::time::timeout;

/// How long reading a body may take if the caller sent no timeout, and how long discarding one may take.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(15);
/// The longest rest of a body that is discarded, in bytes.
const MAX_DISCARDED_BYTES: u64 = 8 * 1024 * 1024;

/// The part of a body that has not been read.
#[derive(Debug)]
pub(super) struct CallerBody {
    body: Incoming,
    /// True while the caller waits for a sign to send the body.
    is_held_back: bool,
    /// True once all of the body was read.
    is_whole: bool,
    arrived_at: BootInstant,
    /// The time limit of reading the body, from the arrival of the request.
    time_limit: Duration,
}

impl CallerBody {
    /// The body of a request with this head, from a caller that waits for so long.
    pub fn new(
        head: &request::Parts,
        body: Incoming,
        arrived_at: BootInstant,
        patience: Option<Duration>,
    ) -> CallerBody {
        CallerBody {
            is_held_back: head.headers.contains_key(EXPECT),
            is_whole: body.is_end_stream(),
            body,
            arrived_at,
            time_limit: patience.unwrap_or(DEFAULT_TIMEOUT),
        }
    }

    /// Lowers the time limit, which counts from the arrival of the request.
    pub fn limit_time(&mut self, time_limit: Duration) {
        self.time_limit = self.time_limit.min(time_limit);
    }

    /// Returns true once all of the body was read. Otherwise the connection can't serve another request.
    pub fn is_whole(&self) -> bool {
        self.is_whole
    }

    /// Reads a body of at most `limit` bytes.
    pub async fn read(&mut self, budget: &BodyBudget, limit: u64) -> Result<HeldBody, Refusal> {
        self.is_held_back = false;
        let read = timeout(self.time_left(), budget.read(&mut self.body, limit)).await;
        let read = read.map_err(|_| Refusal::not_run(RefusalKind::SlowRequest))?;
        let held = read.map_err(refusal_of)?;
        self.is_whole = true;
        Ok(held)
    }

    /// Reads and discards the rest. Unread bytes would reset the connection before the caller has received the refusal. A
    /// caller that waits for a sign gets the refusal in place of it.
    pub async fn discard(&mut self) {
        let is_too_long = self.body.size_hint().lower() > MAX_DISCARDED_BYTES;
        if self.is_whole || self.is_held_back || is_too_long {
            return;
        }
        let time_left = self.time_left().min(DEFAULT_TIMEOUT);
        let discarded = timeout(time_left, discard_frames(&mut self.body)).await;
        self.is_whole = discarded.unwrap_or(false);
    }

    fn time_left(&self) -> Duration {
        self.time_limit.saturating_sub(self.arrived_at.elapsed())
    }
}

/// Returns true if the rest of the body was read.
async fn discard_frames(body: &mut Incoming) -> bool {
    let mut discarded = 0;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else { return false };
        discarded += frame.data_ref().map_or(0, |data| data.len() as u64);
        if discarded > MAX_DISCARDED_BYTES {
            return false;
        }
    }
    true
}

fn refusal_of(error: Error) -> Refusal {
    match error {
        Error::TooLong => Refusal::not_run(RefusalKind::BodyTooLarge),
        Error::NoBudget => Refusal::not_run(RefusalKind::FleetBacklogFull).after(RETRY_AFTER),
        Error::Broken => Refusal::not_run(RefusalKind::MalformedRequest),
    }
}
