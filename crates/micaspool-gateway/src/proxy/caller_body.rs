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

/// How far a body has been read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BodyState {
    /// The caller waits for a sign to send it.
    HeldBack,
    /// There may be more of it.
    Partial,
    /// All of it was read.
    Whole,
    /// It broke off, is malformed or took too long.
    Lost,
}

/// The part of a body that has not been read.
#[derive(Debug)]
pub(super) struct CallerBody {
    body: Incoming,
    state: BodyState,
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
        let state = match head.headers.contains_key(EXPECT) {
            _ if body.is_end_stream() => BodyState::Whole,
            true => BodyState::HeldBack,
            false => BodyState::Partial,
        };
        CallerBody { body, state, arrived_at, time_limit: patience.unwrap_or(DEFAULT_TIMEOUT) }
    }

    /// Lowers the time limit, which counts from the arrival of the request.
    pub fn limit_time(&mut self, time_limit: Duration) {
        self.time_limit = self.time_limit.min(time_limit);
    }

    /// Returns true once all of the body was read. Otherwise the connection can't serve another request.
    pub fn is_whole(&self) -> bool {
        self.state == BodyState::Whole
    }

    /// Reads a body of at most `limit` bytes.
    pub async fn read(&mut self, budget: &BodyBudget, limit: u64) -> Result<HeldBody, Refusal> {
        self.state = BodyState::Partial;
        let read = timeout(self.time_left(), budget.read(&mut self.body, limit)).await;
        self.state = match &read {
            Ok(Ok(_)) => BodyState::Whole,
            Ok(Err(Error::TooLong | Error::NoBudget)) => BodyState::Partial,
            Ok(Err(Error::Broken)) | Err(_) => BodyState::Lost,
        };
        let read = read.map_err(|_| Refusal::not_run(RefusalKind::SlowRequest))?;
        read.map_err(refusal_of)
    }

    /// Reads and discards the rest. Unread bytes would reset the connection before the caller has received the refusal. A
    /// caller that waits for a sign gets the refusal in place of it.
    pub async fn discard(&mut self) {
        let is_too_long = self.body.size_hint().lower() > MAX_DISCARDED_BYTES;
        if self.state != BodyState::Partial || is_too_long {
            return;
        }
        let time_left = self.time_left().min(DEFAULT_TIMEOUT);
        let discarded = timeout(time_left, discard_frames(&mut self.body)).await;
        let is_whole = discarded.unwrap_or(false);
        self.state = if is_whole { BodyState::Whole } else { BodyState::Lost };
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
        Error::NoBudget => Refusal::not_run(RefusalKind::MemoryFull).after(RETRY_AFTER),
        Error::Broken => Refusal::not_run(RefusalKind::MalformedRequest),
    }
}
