//! The engine thread, which owns the consensus state machine, the files and the replicated state.
//!
//! The engine processes all queued inputs, persists their effects, and only then sends messages and
//! replies to callers. One sync therefore covers all commands that arrived during the previous one.

mod reopen;
mod view;

pub use view::KeeperView;

use crate::clock::{ledger_time, MonotonicClock};
use crate::registry_hub::RegistryHub;
use crate::state::{KeeperCommand, KeeperReply, KeeperState};
use async_std::channel::{Receiver, Sender};
use micaspool_ledger::{LedgerOptions, LedgerTime};
use micaspool_quorum::{
    EntryPayload, Envelope, GroupMembership, InstalledSnapshot, LeaveOutcome, LogEntry, LogIndex,
    LostEntries, ProposeError, QuorumCore, QuorumEvent, QuorumOptions, QuorumOutput, QuorumRole,
    RestoredState,
};
use micaspool_registry::DepartureCommand;
use micaspool_store::{KeeperFiles, OpenOutcome};
use micaspool_telemetry::events::{self, field, record};
use micaspool_types::{InstanceName, Term};
use std::collections::BTreeMap;
use std::fmt;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};

/// The maximum number of inputs that one save covers.
const MAX_BATCH: usize = 4_096;
/// The log is compacted when it has this many entries more than the ledger has keys. The size of a
/// snapshot grows with the ledger, so this bounds the share of work spent on writing snapshots.
const COMPACT_ENTRIES: usize = 8_192;
/// The log is also compacted when its commands exceed this many bytes. Route plans of 100 KB each
/// would fill a small disk long before `COMPACT_ENTRIES` is reached.
const COMPACT_BYTES: usize = 4 * 1024 * 1024;

/// The reason why a command failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EngineError {
    /// This keeper is not the leader. Contains the leader, if known. If the command was proposed before
    /// this keeper lost its leadership, it may still be committed.
    NotLeader(Option<InstanceName>),
    /// The engine has stopped, by request or because of a file error.
    Stopped,
}

impl fmt::Display for EngineError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            EngineError::NotLeader(Some(leader)) => {
                write!(f, "this keeper is not the leader; send the command to {leader}")
            }
            EngineError::NotLeader(None) => f.write_str("no leader is known; retry shortly"),
            EngineError::Stopped => f.write_str("the keeper has stopped; see its log, then restart it"),
        }
    }
}

impl std::error::Error for EngineError {}

/// The result of a command.
pub type EngineReply = Result<KeeperReply, EngineError>;

/// An input of the engine.
#[derive(Debug)]
pub enum EngineInput {
    /// An event for the consensus state machine.
    Event(QuorumEvent),
    /// A command to propose, and the channel for its reply.
    Command(KeeperCommand, Sender<EngineReply>),
    /// A read barrier, and the channel for its reply. A blank entry is committed first, so that reads
    /// after the reply see all earlier commands.
    Barrier(Sender<EngineReply>),
    /// Leaves the group before a stop. The channel gets the outcome once the engine may be stopped, and is closed if it
    /// starts again from its files.
    Leave(Sender<LeaveOutcome>),
    /// Persists the inputs so far and stops the engine.
    Stop,
}

/// Options of an engine.
#[derive(Debug, Clone)]
pub struct EngineOptions {
    /// Options of the replicated log.
    pub quorum: QuorumOptions,
    /// Limits of the claims ledger.
    pub ledger: LedgerOptions,
    /// How to reopen the files after a failure. With `None`, the engine stops.
    pub reopen: Option<ReopenOptions>,
    /// The registry that confirmed departures of endpoints are merged into.
    pub hub: Arc<RegistryHub>,
}

/// The data folder to reopen and the name of its keeper.
#[derive(Debug, Clone)]
pub struct ReopenOptions {
    /// The data folder.
    pub folder: PathBuf,
    /// The name of the keeper.
    pub name: InstanceName,
}

/// The engine of a keeper. It runs on the thread that calls [`KeeperEngine::run`].
#[derive(Debug)]
pub struct KeeperEngine {
    options: EngineOptions,
    clock: MonotonicClock,
    core: QuorumCore,
    files: KeeperFiles,
    state: KeeperState,
    /// The last entry that `state` includes.
    applied: LogIndex,
    /// The size of the commands applied since the last compaction, in bytes.
    command_bytes: usize,
    /// Callers that wait for their entry to be committed, by its position and term.
    pending_replies: BTreeMap<(LogIndex, Term), Sender<EngineReply>>,
    /// Replies to send after the view has been updated, so that callers see their own writes.
    ready_replies: Vec<(Sender<EngineReply>, EngineReply)>,
    outgoing: Sender<Envelope>,
    view: Arc<Mutex<KeeperView>>,
    /// The caller that waits until this keeper may stop.
    leave_waiter: Option<Sender<LeaveOutcome>>,
    stopping: bool,
}

impl KeeperEngine {
    /// Creates an engine from opened files. Messages to other keepers are sent to `outgoing`.
    pub fn new(options: EngineOptions, opened: OpenOutcome, outgoing: Sender<Envelope>) -> KeeperEngine {
        let clock = MonotonicClock::start();
        let snapshot = &opened.restored.snapshot;
        let state = restore_state(&snapshot.data, options.ledger);
        let applied = snapshot.index;
        let core = start_core(&options, clock, opened.restored);
        let view = KeeperView {
            settings: state.settings.clone(),
            plan: state.plan.clone(),
            halls: state.halls.clone(),
            status: core.status(clock.now()),
            ledger_keys: 0,
            ledger_answer_bytes: 0,
            syncs: 0,
            stopped: false,
            subscribers: Vec::new(),
        };
        options.hub.restore_departures(&state.departures);
        KeeperEngine {
            options,
            clock,
            core,
            files: opened.files,
            state,
            applied,
            command_bytes: 0,
            pending_replies: BTreeMap::new(),
            ready_replies: Vec::new(),
            outgoing,
            view: Arc::new(Mutex::new(view)),
            leave_waiter: None,
            stopping: false,
        }
    }

    /// Returns the view for the other tasks of the process.
    pub fn view(&self) -> Arc<Mutex<KeeperView>> {
        self.view.clone()
    }

    /// Runs until a stop is requested, the input channel closes, or the files fail and are not reopened.
    pub fn run(mut self, inputs: &Receiver<EngineInput>) {
        while let Ok(first) = inputs.recv_blocking() {
            self.handle_input(first);
            for _ in 1..MAX_BATCH {
                match inputs.try_recv() {
                    Ok(input) => self.handle_input(input),
                    Err(_) => break,
                }
            }
            let is_working = self.process_output() || self.reopen(inputs);
            if !is_working || self.stopping {
                break;
            }
        }
        self.stop();
    }

    fn handle_input(&mut self, input: EngineInput) {
        let now = self.clock.now();
        match input {
            EngineInput::Event(event) => self.core.step(now, event),
            EngineInput::Command(command, reply) => self.propose(command, reply),
            EngineInput::Barrier(reply) => self.propose_payload(EntryPayload::Blank, reply),
            EngineInput::Leave(waiter) => {
                self.leave_waiter = Some(waiter);
                self.core.step(now, QuorumEvent::Leave);
            }
            EngineInput::Stop => self.stopping = true,
        }
    }

    fn propose(&mut self, command: KeeperCommand, reply: Sender<EngineReply>) {
        if let (true, KeeperCommand::Apply(change)) = (self.core.is_leader(), &command) {
            if let Err(error) = self.state.settings.check(change) {
                let _ = reply.try_send(Ok(KeeperReply::Applied(Err(error))));
                return;
            }
        }
        let command = with_timestamp(command, ledger_time());
        let bytes = postcard::to_stdvec(&command).expect("commands can be encoded");
        self.propose_payload(EntryPayload::Command(bytes), reply);
    }

    fn propose_payload(&mut self, payload: EntryPayload, reply: Sender<EngineReply>) {
        match self.core.propose(self.clock.now(), payload) {
            Ok(position) => {
                self.pending_replies.insert(position, reply);
            }
            Err(ProposeError::NotLeader(leader)) => {
                let _ = reply.try_send(Err(EngineError::NotLeader(leader)));
            }
        }
    }

    /// Processes all outputs of the consensus state machine. Returns false if the files failed.
    fn process_output(&mut self) -> bool {
        loop {
            let output = self.core.take_output();
            if output.is_empty() {
                break;
            }
            let needs_saving = !output.save.is_empty();
            if let Err(error) = self.execute_output(output) {
                record(&events::STORE_FAILED, &[field("error", error)]);
                return false;
            }
            if needs_saving {
                self.core.step(self.clock.now(), QuorumEvent::Saved);
            }
        }
        self.fail_commands_after_step_down();
        self.compact_if_needed();
        self.publish();
        for (waiter, reply) in self.ready_replies.drain(..) {
            let _ = waiter.try_send(reply);
        }
        if let Some(outcome) = self.core.leave_outcome() {
            if let Some(waiter) = self.leave_waiter.take() {
                let _ = waiter.try_send(outcome);
            }
        }
        true
    }

    fn execute_output(&mut self, mut output: QuorumOutput) -> Result<(), micaspool_store::Error> {
        self.send(output.take_early_messages());
        if !output.save.is_empty() {
            self.files.save(output.save)?;
        }
        self.send(output.send);
        if let Some(installed) = output.install {
            self.install(&installed);
        }
        for entry in output.committed {
            self.apply(entry);
        }
        output.lost_entries.iter().for_each(record_lost_entries);
        Ok(())
    }

    fn send(&self, envelopes: Vec<Envelope>) {
        for envelope in envelopes {
            let _ = self.outgoing.try_send(envelope);
        }
    }

    fn install(&mut self, installed: &InstalledSnapshot) {
        let snapshot = &installed.snapshot;
        let fields = [field("index", snapshot.index.0), field("dropped", installed.dropped_entries)];
        record(&events::SNAPSHOT_INSTALLED, &fields);
        self.state = restore_state(&snapshot.data, self.options.ledger);
        self.options.hub.restore_departures(&self.state.departures);
        self.command_bytes = 0;
        self.applied = snapshot.index;
    }

    fn apply(&mut self, entry: LogEntry) {
        self.applied = entry.index;
        let reply = match &entry.payload {
            EntryPayload::Command(bytes) => {
                self.command_bytes += bytes.len();
                match postcard::from_bytes(bytes) {
                    Ok(command) => self.apply_command(&command),
                    Err(_) => KeeperReply::Empty,
                }
            }
            EntryPayload::Blank => KeeperReply::Empty,
            EntryPayload::Members(membership) => {
                record_group(membership);
                KeeperReply::Empty
            }
        };
        if let Some(waiter) = self.pending_replies.remove(&(entry.index, entry.term)) {
            self.ready_replies.push((waiter, Ok(reply)));
        }
    }

    fn apply_command(&mut self, command: &KeeperCommand) -> KeeperReply {
        if let KeeperCommand::Depart(departure) = command {
            self.options.hub.confirm(&departure.record, self.core.is_leader());
        }
        self.state.apply(command)
    }

    /// Fails the pending commands after this keeper has lost its leadership. They may still be committed.
    fn fail_commands_after_step_down(&mut self) {
        if self.core.is_leader() || self.pending_replies.is_empty() {
            return;
        }
        let leader = self.core.status(self.clock.now()).leader;
        self.fail_pending_replies(&EngineError::NotLeader(leader));
    }

    fn fail_pending_replies(&mut self, error: &EngineError) {
        for reply in std::mem::take(&mut self.pending_replies).into_values() {
            let _ = reply.try_send(Err(error.clone()));
        }
    }

    fn compact_if_needed(&mut self) {
        let has_many_entries = self.core.log_len() > COMPACT_ENTRIES + self.state.ledger.len();
        if has_many_entries || self.command_bytes > COMPACT_BYTES {
            self.command_bytes = 0;
            let event = QuorumEvent::Compact(self.applied, self.state.encode());
            self.core.step(self.clock.now(), event);
        }
    }

    fn publish(&mut self) {
        let status = self.core.status(self.clock.now());
        let mut view = self.view.lock().expect("no holder of the view panics");
        let is_leading = status.role == QuorumRole::Leader;
        if is_leading != (view.status.role == QuorumRole::Leader) {
            let kind = if is_leading { &events::LEADER_ELECTED } else { &events::LEADER_STEPPED_DOWN };
            record(kind, &[field("term", status.term.0)]);
            if is_leading {
                self.options.hub.announce_departures(&self.state.departures);
            }
        }
        let settings_changed = view.settings.revision() != self.state.settings.revision();
        let plan_changed = view.plan.number != self.state.plan.number;
        let halls_changed = view.halls.newest_number() != self.state.halls.newest_number();
        let has_news = settings_changed
            || plan_changed
            || halls_changed
            || view.status.confirmed != status.confirmed
            || view.status.membership != status.membership;
        if settings_changed {
            view.settings = self.state.settings.clone();
        }
        if plan_changed {
            view.plan = self.state.plan.clone();
        }
        if halls_changed {
            view.halls = self.state.halls.clone();
        }
        view.status = status;
        view.ledger_keys = self.state.ledger.len();
        view.ledger_answer_bytes = self.state.ledger.answer_bytes();
        view.syncs = self.files.sync_count();
        if has_news {
            view.notify();
        }
    }

    fn stop(&mut self) {
        self.fail_pending_replies(&EngineError::Stopped);
        let mut view = self.view.lock().expect("no holder of the view panics");
        view.stopped = true;
        view.status.confirmed = false;
        view.notify();
    }
}

fn record_lost_entries(lost: &LostEntries) {
    let member = field("keeper", lost.member.name.as_str());
    let positions = [field("acknowledged", lost.acknowledged.0), field("left", lost.left.0)];
    record(&events::ACKNOWLEDGED_LOST, &[&[member][..], &positions[..]].concat());
}

/// Logs the members of the group after a change.
fn record_group(membership: &GroupMembership) {
    let names = |is_voter: bool| -> String {
        let members = membership.members.iter().filter(|member| member.voter == is_voter);
        members.map(|member| member.identity.name.as_str()).collect::<Vec<_>>().join(",")
    };
    record(&events::GROUP_CHANGED, &[field("voters", names(true)), field("learners", names(false))]);
}

fn start_core(options: &EngineOptions, clock: MonotonicClock, restored: RestoredState) -> QuorumCore {
    let seed = restored.identity.incarnation.0;
    QuorumCore::new(clock.now(), options.quorum.clone(), restored, seed)
}

fn restore_state(data: &[u8], options: LedgerOptions) -> KeeperState {
    if data.is_empty() {
        return KeeperState::new(options);
    }
    KeeperState::decode(data).expect("a snapshot with a valid checksum can be decoded")
}

/// Sets the wall-clock time in commands that carry one. Only the leader can propose, so it is the
/// leader's time, and all keepers apply the same value from the log.
fn with_timestamp(command: KeeperCommand, at: LedgerTime) -> KeeperCommand {
    match command {
        KeeperCommand::Claim(claim) => KeeperCommand::Claim(micaspool_ledger::ClaimCommand { at, ..claim }),
        KeeperCommand::Finish(finish) => {
            KeeperCommand::Finish(micaspool_ledger::FinishCommand { at, ..finish })
        }
        KeeperCommand::OrderHall(order) => {
            KeeperCommand::OrderHall(micaspool_halls::OrderCommand { at_millis: at.0, ..order })
        }
        KeeperCommand::Depart(departure) => {
            KeeperCommand::Depart(DepartureCommand { at_millis: at.0, ..departure })
        }
        other => other,
    }
}
