//! Handles one connection: reads request heads and bodies, and writes responses and refusals.

use super::{CallerRequest, CallerWatch, CountGuard, HttpServer};
use crate::head::{check_head, head_end, BodyLength, RequestHead};
use crate::refusal::refusal_response;
use crate::replay::ReplayStream;
use crate::stall::StallTimer;
use async_std::future::timeout;
use async_std::io::{ReadExt, Write};
use async_std::net::TcpStream;
use futures::future::{select, Either};
use futures::pin_mut;
use http_types::{Method, Request, Response};
use micaspool_types::{Refusal, RefusalKind};
use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::task::Poll;
use std::time::Duration;

/// The size of a read from a connection, in bytes.
const READ_BYTES: usize = 8 * 1024;
/// How much unread input is discarded before a connection is closed, in bytes. Closing with unread input
/// would reset the connection, and the caller would see the reset instead of the response.
const DISCARD_BYTES: usize = 16 * 1024 * 1024;
/// How long discarding may take.
const DISCARD_LIMIT: Duration = Duration::from_secs(2);

/// What happens to a connection after a request.
#[derive(PartialEq, Eq)]
enum AfterRequest {
    KeepOpen,
    Close,
}

impl HttpServer {
    pub(super) async fn run_connection(&self, stream: TcpStream) {
        let mut pending = Vec::new();
        loop {
            match self.read_head(&stream, &mut pending).await {
                HeadResult::Complete(end) => {
                    let _busy = CountGuard::new(&self.busy);
                    if self.run_request(&stream, &mut pending, end).await == AfterRequest::Close {
                        return;
                    }
                }
                HeadResult::Closed => return,
                HeadResult::Refused(kind) => {
                    self.refuse(&stream, &Refusal::not_run(kind), None).await;
                    return;
                }
            }
        }
    }

    async fn read_head(&self, stream: &TcpStream, pending: &mut Vec<u8>) -> HeadResult {
        let mut limit = if pending.is_empty() { self.options.idle_limit } else { self.options.head_limit };
        let mut started = micaspool_clock::BootInstant::now();
        loop {
            if let Some(end) = head_end(pending) {
                return if end > self.options.max_head_bytes {
                    HeadResult::Refused(RefusalKind::HeadTooLarge)
                } else {
                    HeadResult::Complete(end)
                };
            }
            if pending.len() > self.options.max_head_bytes {
                return HeadResult::Refused(RefusalKind::HeadTooLarge);
            }
            let is_idle = pending.is_empty();
            match self.read_some(stream, pending, limit.saturating_sub(started.elapsed())).await {
                ReadResult::Data if is_idle => {
                    limit = self.options.head_limit;
                    started = micaspool_clock::BootInstant::now();
                }
                ReadResult::Data => {}
                ReadResult::End if is_idle => return HeadResult::Closed,
                ReadResult::End => return HeadResult::Refused(RefusalKind::MalformedRequest),
                ReadResult::Timeout if is_idle => return HeadResult::Closed,
                ReadResult::Timeout => return HeadResult::Refused(RefusalKind::SlowRequest),
            }
        }
    }

    async fn read_some(&self, stream: &TcpStream, pending: &mut Vec<u8>, limit: Duration) -> ReadResult {
        let mut chunk = [0; READ_BYTES];
        let mut reader = stream;
        let is_idle = pending.is_empty();
        let result = {
            let read = reader.read(&mut chunk);
            let stopped = async {
                match is_idle {
                    true => self.stop.1.recv().await.is_ok(),
                    false => std::future::pending().await,
                }
            };
            pin_mut!(read, stopped);
            match timeout(limit, select(read, stopped)).await {
                Err(_) => return ReadResult::Timeout,
                Ok(Either::Left((Ok(count), _))) => count,
                Ok(_) => 0,
            }
        };
        pending.extend_from_slice(&chunk[..result]);
        match result {
            0 => ReadResult::End,
            _ => ReadResult::Data,
        }
    }

    async fn run_request(&self, stream: &TcpStream, pending: &mut Vec<u8>, end: usize) -> AfterRequest {
        let head = match check_head(&pending[..end]) {
            Ok(head) => head,
            Err(error) => {
                let detail = error.to_string();
                self.refuse(stream, &Refusal::not_run(RefusalKind::MalformedRequest), Some(&detail)).await;
                return AfterRequest::Close;
            }
        };
        let result = match self.handler.admit(&head) {
            Ok(limit) => self.read_request(stream, pending, &head, end, limit).await,
            Err(refusal) => Err(refusal),
        };
        match result {
            Ok(request) => self.answer(stream, &head, request).await,
            Err(refusal) => {
                self.refuse(stream, &refusal, None).await;
                AfterRequest::Close
            }
        }
    }

    async fn read_request(
        &self,
        stream: &TcpStream,
        pending: &mut Vec<u8>,
        head: &RequestHead,
        end: usize,
        limit: u64,
    ) -> Result<CallerRequest, Refusal> {
        let too_large = Refusal::not_run(RefusalKind::BodyTooLarge);
        let budget = match head.body {
            BodyLength::Known(length) if length > limit => return Err(too_large),
            BodyLength::Known(length) => Some(end as u64 + length),
            BodyLength::Chunked => None,
        };
        let replay = ReplayStream::new(stream.clone(), std::mem::take(pending), budget);
        let malformed = || Refusal::not_run(RefusalKind::MalformedRequest);
        let decoded = timeout(self.options.body_limit, decode(replay.clone(), limit)).await;
        let decoded = decoded.map_err(|_| Refusal::not_run(RefusalKind::SlowRequest))?;
        let (request, body) = decoded.ok_or_else(malformed)?;
        if body.len() as u64 > limit {
            return Err(too_large);
        }
        if matches!(head.body, BodyLength::Known(length) if length != body.len() as u64) {
            return Err(malformed());
        }
        *pending = replay.take_unread();
        Ok(CallerRequest {
            id: self.handler.next_id(),
            request,
            target: head.target.clone(),
            body,
            watch: CallerWatch { stream: pending.is_empty().then(|| stream.clone()) },
        })
    }

    async fn answer(&self, stream: &TcpStream, head: &RequestHead, request: CallerRequest) -> AfterRequest {
        let method = request.request.method();
        let mut response = self.handler.handle(request).await;
        let is_reusable = head.keep_alive && head.body != BodyLength::Chunked && !self.is_stopping();
        if !is_reusable {
            response.insert_header("connection", "close");
        }
        let is_written = self.write_response(stream, response, method).await;
        if is_written && is_reusable {
            AfterRequest::KeepOpen
        } else {
            AfterRequest::Close
        }
    }

    /// Writes a response. Returns false if the caller closed the connection or the body failed. After a failed body
    /// no last chunk is sent, so that the caller detects the failure.
    async fn write_response(&self, stream: &TcpStream, response: Response, method: Method) -> bool {
        let mut encoder = async_h1::server::Encoder::new(response, method);
        let mut chunk = vec![0; READ_BYTES];
        let mut stall = StallTimer::new(self.options.write_limit);
        loop {
            let count = match encoder.read(&mut chunk).await {
                Ok(0) => return true,
                Ok(count) => count,
                Err(_) => {
                    let _ = stream.shutdown(std::net::Shutdown::Both);
                    return false;
                }
            };
            stall.reset();
            if write_all(stream, &chunk[..count], &mut stall).await.is_err() {
                return false;
            }
        }
    }

    pub(super) async fn refuse(&self, stream: &TcpStream, refusal: &Refusal, detail: Option<&str>) {
        let mut response = refusal_response(self.handler.next_id(), refusal, detail);
        response.insert_header("connection", "close");
        self.write_response(stream, response, Method::Get).await;
        let _ = stream.shutdown(std::net::Shutdown::Write);
        discard(stream).await;
    }
}

/// Writes all bytes. Fails if no progress is made for the limit of `stall`.
async fn write_all(stream: &TcpStream, mut bytes: &[u8], stall: &mut StallTimer) -> io::Result<()> {
    while !bytes.is_empty() {
        let write = poll_fn(|cx| {
            let mut writer = stream;
            match Pin::new(&mut writer).poll_write(cx, bytes) {
                Poll::Pending => stall.poll_stalled(cx).map(|()| Err(io::ErrorKind::TimedOut.into())),
                ready => ready,
            }
        });
        let count = write.await?;
        if count == 0 {
            return Err(io::ErrorKind::WriteZero.into());
        }
        stall.reset();
        bytes = &bytes[count..];
    }
    Ok(())
}

enum HeadResult {
    Complete(usize),
    Closed,
    Refused(RefusalKind),
}

enum ReadResult {
    Data,
    End,
    Timeout,
}

/// Decodes a request with `async-h1` and reads its body, at most `limit` bytes and one more.
async fn decode(replay: ReplayStream, limit: u64) -> Option<(Request, Vec<u8>)> {
    let (mut request, _) = async_h1::server::decode(replay.clone()).await.ok()??;
    let mut body = Vec::new();
    let mut reader = request.take_body().take(limit.saturating_add(1));
    let mut chunk = [0; READ_BYTES];
    loop {
        let count = reader.read(&mut chunk).await.ok()?;
        if count == 0 {
            return Some((request, body));
        }
        replay.record_progress();
        body.extend_from_slice(&chunk[..count]);
    }
}

/// Reads and discards input until the end of the stream, a size limit or a time limit.
async fn discard(stream: &TcpStream) {
    let mut reader = stream;
    let mut chunk = [0; READ_BYTES];
    let drain = async {
        let mut total = 0;
        while let Ok(count) = reader.read(&mut chunk).await {
            total += count;
            if count == 0 || total > DISCARD_BYTES {
                return;
            }
        }
    };
    let _ = timeout(DISCARD_LIMIT, drain).await;
}
