//! Recovery from file errors, such as a full disk or a failed write.

use super::{restore_state, start_core, EngineError, EngineInput, KeeperEngine};
use async_std::channel::Receiver;
use micaspool_store::{KeeperFiles, OpenOutcome, StoreOptions};
use micaspool_telemetry::events::{self, field, record};
use std::time::Duration;

/// The delay before files are opened again after a failure.
const REOPEN_INTERVAL: Duration = Duration::from_millis(500);

impl KeeperEngine {
    /// Reopens the files after a failure and restarts from them, like a restarted process. Retries until
    /// it succeeds or a stop is requested. Returns false if it was stopped or reopening is disabled. The
    /// log is rewritten first: after a failed sync, what is read may be in the page cache but not on disk.
    pub(super) fn reopen(&mut self, inputs: &Receiver<EngineInput>) -> bool {
        let Some(target) = self.options.reopen.clone() else { return false };
        self.fail_pending_replies(&EngineError::NotLeader(None));
        self.ready_replies.clear();
        self.leave_waiter = None;
        while !self.stopping {
            self.mark_unconfirmed();
            std::thread::sleep(REOPEN_INTERVAL);
            while let Ok(input) = inputs.try_recv() {
                self.reject_input(input);
            }
            let opened = KeeperFiles::open(&target.folder, &target.name, StoreOptions::default());
            let rewritten = opened.and_then(|mut opened| opened.files.rewrite_log().map(|()| opened));
            match rewritten {
                Ok(opened) => {
                    self.restart(opened);
                    record(&events::STORE_REOPENED, &[field("index", self.applied.0)]);
                    return true;
                }
                Err(error) => record(&events::STORE_FAILED, &[field("error", error)]),
            }
        }
        false
    }

    fn restart(&mut self, opened: OpenOutcome) {
        let snapshot = &opened.restored.snapshot;
        self.state = restore_state(&snapshot.data, self.options.ledger);
        self.options.hub.restore_departures(&self.state.departures);
        self.applied = snapshot.index;
        self.command_bytes = 0;
        self.core = start_core(&self.options, self.clock, opened.restored);
        self.files = opened.files;
    }

    /// Rejects an input that arrives while the files are not open.
    fn reject_input(&mut self, input: EngineInput) {
        match input {
            EngineInput::Event(_) => {}
            EngineInput::Command(_, reply) | EngineInput::Barrier(reply) => {
                let _ = reply.try_send(Err(EngineError::NotLeader(None)));
            }
            EngineInput::Leave(_) => {}
            EngineInput::Stop => self.stopping = true,
        }
    }

    /// Marks this keeper as not confirmed by a majority in the view.
    fn mark_unconfirmed(&self) {
        let mut view = self.view.lock().expect("no holder of the view panics");
        if view.status.confirmed {
            view.status.confirmed = false;
            view.notify();
        }
    }
}
