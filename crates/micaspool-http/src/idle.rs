//! The idle connections of callers, the longest idle first.
//!
//! A caller may keep far more connections than it uses. Where connections or memory run short, those on which nothing
//! runs are closed first, so that no request is lost by it. Those that were never used go before the others.

use async_std::channel::{bounded, Receiver, Sender};
use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use micaspool_clock::BootInstant;
use micaspool_memory::MemoryPromise;
use std::collections::BTreeMap;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::{Context, Poll};
use std::time::Duration;

/// Connections that were used and were idle for a shorter time are not closed: their callers use them regularly, and the
/// next request may be on its way.
const MIN_IDLE: Duration = Duration::from_secs(2);
/// The same for connections without any request so far.
const MIN_UNUSED: Duration = Duration::from_millis(500);

/// The idle connections of a server, in the order in which they became idle.
#[derive(Debug, Default)]
pub(crate) struct IdleCallers {
    state: Mutex<IdleState>,
}

#[derive(Debug, Default)]
struct IdleState {
    next_turn: u64,
    by_turn: BTreeMap<IdleTurn, IdleCaller>,
}

/// The place of an idle connection in the order in which they are closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct IdleTurn {
    was_used: bool,
    turn: u64,
}

#[derive(Debug)]
struct IdleCaller {
    since: BootInstant,
    /// Closed to close the connection; nothing is ever sent.
    close: Sender<()>,
}

impl IdleCallers {
    /// Closes the connection that has been idle for longest, of those that were never used if there are such. Returns
    /// false if none was idle for long enough.
    pub fn close_longest(&self) -> bool {
        let mut state = self.lock();
        let first_used = IdleTurn { was_used: true, turn: 0 };
        let unused = state.by_turn.range(..first_used).next();
        let used = state.by_turn.range(first_used..).next();
        let closable = [(unused, MIN_UNUSED), (used, MIN_IDLE)]
            .into_iter()
            .find_map(|(first, min_idle)| first.filter(|(_, caller)| caller.since.elapsed() >= min_idle));
        let Some((turn, caller)) = closable else { return false };
        caller.close.close();
        let turn = *turn;
        state.by_turn.remove(&turn);
        true
    }

    /// Returns the number of idle connections.
    pub fn count(&self) -> usize {
        self.lock().by_turn.len()
    }

    fn insert(&self, close: Sender<()>, was_used: bool) -> IdleTurn {
        let mut state = self.lock();
        let turn = IdleTurn { was_used, turn: state.next_turn };
        state.next_turn += 1;
        state.by_turn.insert(turn, IdleCaller { since: BootInstant::now(), close });
        turn
    }

    fn remove(&self, turn: IdleTurn) {
        self.lock().by_turn.remove(&turn);
    }

    fn lock(&self) -> MutexGuard<'_, IdleState> {
        self.state.lock().expect("no thread panics while it holds the lock")
    }
}

/// Whether a connection has a call open. It counts as idle from its start on.
#[derive(Debug)]
pub(crate) struct CallerActivity {
    callers: Arc<IdleCallers>,
    close: (Sender<()>, Receiver<()>),
    calls: Mutex<CallCount>,
}

#[derive(Debug, Default)]
struct CallCount {
    open: usize,
    /// The turn of the connection among the idle ones.
    turn: Option<IdleTurn>,
    /// The memory that the connection takes until its first call, after which it is measured.
    promise: Option<MemoryPromise>,
}

impl CallerActivity {
    /// Registers a connection.
    pub fn new(callers: Arc<IdleCallers>, promise: MemoryPromise) -> Arc<CallerActivity> {
        let close = bounded(1);
        let turn = Some(callers.insert(close.0.clone(), false));
        let calls = Mutex::new(CallCount { open: 0, turn, promise: Some(promise) });
        Arc::new(CallerActivity { callers, close, calls })
    }

    /// Completes when the connection is to close.
    pub async fn closed(&self) {
        // Nothing is ever sent.
        let _ = self.close.1.recv().await;
    }

    /// Returns true if no call is open.
    pub fn is_idle(&self) -> bool {
        self.lock().open == 0
    }

    /// Marks the connection as busy until the call is dropped.
    pub fn begin_call(self: &Arc<Self>) -> OpenCall {
        let mut calls = self.lock();
        calls.open += 1;
        calls.promise = None;
        if let Some(turn) = calls.turn.take() {
            self.callers.remove(turn);
        }
        OpenCall(self.clone())
    }

    fn end_call(&self) {
        let mut calls = self.lock();
        calls.open -= 1;
        if calls.open == 0 {
            calls.turn = Some(self.callers.insert(self.close.0.clone(), true));
        }
    }

    fn lock(&self) -> MutexGuard<'_, CallCount> {
        self.calls.lock().expect("no thread panics while it holds the lock")
    }
}

impl Drop for CallerActivity {
    fn drop(&mut self) {
        if let Some(turn) = self.lock().turn {
            self.callers.remove(turn);
        }
    }
}

/// A call on a connection, from its head to the end of the response's body.
#[derive(Debug)]
pub(crate) struct OpenCall(Arc<CallerActivity>);

impl Drop for OpenCall {
    fn drop(&mut self) {
        self.0.end_call();
    }
}

/// The body of a response, with the call that ends with it.
pub(crate) struct CallBody<B> {
    body: B,
    _call: OpenCall,
}

impl<B> CallBody<B> {
    pub fn new(body: B, call: OpenCall) -> CallBody<B> {
        CallBody { body, _call: call }
    }
}

impl<B: Body<Data = Bytes> + Unpin> Body for CallBody<B> {
    type Data = Bytes;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, B::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
