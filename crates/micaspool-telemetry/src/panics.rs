//! Logs and counts panics, on whatever thread and in whatever task they occur.
//!
//! A panic in a task ends the task and nothing else, so that without a line its cause would be unknown.

use crate::events::{self, field, record};
use crate::limit::LineLimit;
use crate::logging;
use micaspool_clock::BootInstant;
use std::panic::{self, PanicHookInfo};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// The maximum number of panics that wait for the writer thread. Further ones are only counted.
const MAX_WAITING: usize = 64;
/// The maximum number of log lines for panics per second.
const MAX_LINES: u32 = 20;
/// The length at which the message of a panic is cut, in characters.
const MAX_MESSAGE_CHARS: usize = 300;
/// How long the thread that started logging waits after its panic until the line has reached the log.
const WRITE_LIMIT: Duration = Duration::from_millis(300);

/// The number of panics in this process since logging was started.
static COUNT: AtomicU64 = AtomicU64::new(0);

/// What is logged of a panic.
struct PanicNotice {
    thread: String,
    place: String,
    message: String,
}

/// Hands panics to the thread that logs them, since a panicking thread must neither wait for the log nor fail again.
struct NoticeSender {
    notices: SyncSender<PanicNotice>,
    waiting: Arc<AtomicU64>,
}

/// Returns the number of panics in this process since logging was started.
pub fn count() -> u64 {
    COUNT.load(Ordering::Relaxed)
}

/// Logs and counts panics from now on, in addition to what the process does about them already.
///
/// A panic of the calling thread is taken for one that ends the process: that thread waits for a bounded time until the
/// line is written.
pub(crate) fn watch() {
    let sender = NoticeSender::start();
    let main_thread = thread::current().id();
    let report = panic::take_hook();
    panic::set_hook(Box::new(move |info| {
        COUNT.fetch_add(1, Ordering::Relaxed);
        sender.send(PanicNotice::new(info));
        if thread::current().id() == main_thread {
            sender.wait_written();
            logging::flush();
        }
        report(info);
    }));
}

impl PanicNotice {
    fn new(info: &PanicHookInfo<'_>) -> PanicNotice {
        let message = info.payload_as_str().unwrap_or("no text");
        PanicNotice {
            thread: thread::current().name().unwrap_or("unnamed").to_owned(),
            place: info.location().map(ToString::to_string).unwrap_or_default(),
            message: message.chars().take(MAX_MESSAGE_CHARS).collect(),
        }
    }
}

impl NoticeSender {
    /// Starts the thread that logs panics.
    fn start() -> NoticeSender {
        let (notices, receiver) = sync_channel(MAX_WAITING);
        let waiting: Arc<AtomicU64> = Arc::default();
        let sender = NoticeSender { notices, waiting: waiting.clone() };
        thread::spawn(move || write_notices(&receiver, &waiting));
        sender
    }

    fn send(&self, notice: PanicNotice) {
        self.waiting.fetch_add(1, Ordering::SeqCst);
        if self.notices.try_send(notice).is_err() {
            self.waiting.fetch_sub(1, Ordering::SeqCst);
        }
    }

    /// Waits until all notices are logged, for [`WRITE_LIMIT`] at most.
    fn wait_written(&self) {
        let deadline = BootInstant::now() + WRITE_LIMIT;
        while self.waiting.load(Ordering::SeqCst) > 0 && BootInstant::now() < deadline {
            thread::sleep(Duration::from_millis(1));
        }
    }
}

fn write_notices(notices: &Receiver<PanicNotice>, waiting: &AtomicU64) {
    let limit = LineLimit::new(MAX_LINES);
    while let Ok(notice) = notices.recv() {
        if let Some(suppressed) = limit.admit() {
            write_notice(&notice, suppressed);
        }
        waiting.fetch_sub(1, Ordering::SeqCst);
    }
}

fn write_notice(notice: &PanicNotice, suppressed: u64) {
    let mut fields = vec![
        field("thread", &notice.thread),
        field("place", &notice.place),
        field("message", &notice.message),
    ];
    fields.extend((suppressed > 0).then(|| field("left_out", suppressed)));
    record(&events::THREAD_PANICKED, &fields);
}
