//! Relays answers from endpoints to callers.

use crate::cost::CostMeter;
use crate::metrics::RouterMetrics;
use crate::shard_client::GrantLease;
use async_std::io::{BufRead, Read};
use http_types::Body;
use micaspool_dispatch::GrantOutcome;
use micaspool_telemetry::spans::HopSpan;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

/// The size of the buffer for reads from an endpoint, in bytes.
const BUFFER_BYTES: usize = 16 * 1024;

/// Reads the body of an endpoint's answer, meters its cost, and ends the grant when the body ends.
///
/// An error of the body is passed on, so that the caller sees a broken answer instead of a truncated one. If the caller
/// disconnects, the relay is dropped, which closes the connection to the endpoint.
pub(crate) struct AnswerRelay {
    body: Body,
    meter: Box<dyn CostMeter>,
    lease: Option<GrantLease>,
    metrics: RouterMetrics,
    span: Option<HopSpan>,
    buffer: Vec<u8>,
    filled: usize,
    consumed: usize,
}

impl AnswerRelay {
    pub fn new(
        body: Body,
        meter: Box<dyn CostMeter>,
        lease: GrantLease,
        metrics: RouterMetrics,
        span: HopSpan,
    ) -> AnswerRelay {
        AnswerRelay {
            body,
            meter,
            lease: Some(lease),
            metrics,
            span: Some(span),
            buffer: vec![0; BUFFER_BYTES],
            filled: 0,
            consumed: 0,
        }
    }

    fn settle_once(&mut self, outcome: GrantOutcome) {
        let cost = self.meter.cost();
        if let Some(lease) = self.lease.take() {
            lease.settle(cost, outcome);
            self.metrics.cost.inc_by(cost.0);
        }
        if let Some(mut span) = self.span.take() {
            span.set("cost", cost.0);
        }
    }

    fn record_read(&mut self, count: usize) {
        if count == 0 {
            self.settle_once(GrantOutcome::Done);
            return;
        }
        self.meter.observe(&self.buffer[..count]);
        let delivered = self.meter.cost();
        if let Some(lease) = &mut self.lease {
            lease.progress(delivered);
        }
    }

    fn poll_fill(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.consumed < self.filled || self.lease.is_none() {
            return Poll::Ready(Ok(()));
        }
        let result = Pin::new(&mut self.body).poll_read(cx, &mut self.buffer);
        match result {
            Poll::Pending => Poll::Pending,
            Poll::Ready(Ok(count)) => {
                self.consumed = 0;
                self.filled = count;
                self.record_read(count);
                Poll::Ready(Ok(()))
            }
            Poll::Ready(Err(error)) => {
                self.settle_once(GrantOutcome::Severed);
                Poll::Ready(Err(error))
            }
        }
    }
}

impl Drop for AnswerRelay {
    fn drop(&mut self) {
        self.settle_once(GrantOutcome::Abandoned);
    }
}

impl Read for AnswerRelay {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut [u8]) -> Poll<io::Result<usize>> {
        match self.poll_fill(cx) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(Err(error)) => Poll::Ready(Err(error)),
            Poll::Ready(Ok(())) => {
                let ready = &self.buffer[self.consumed..self.filled];
                let count = ready.len().min(buf.len());
                buf[..count].copy_from_slice(&ready[..count]);
                self.consumed += count;
                Poll::Ready(Ok(count))
            }
        }
    }
}

impl BufRead for AnswerRelay {
    fn poll_fill_buf(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let this = self.get_mut();
        match this.poll_fill(cx) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(Err(error)) => Poll::Ready(Err(error)),
            Poll::Ready(Ok(())) => Poll::Ready(Ok(&this.buffer[this.consumed..this.filled])),
        }
    }

    fn consume(self: Pin<&mut Self>, amount: usize) {
        self.get_mut().consumed += amount;
    }
}
