//! Simulates keepers in virtual time, with links that drop, delay and reorder messages and with
//! disks that can be lost.

#![allow(dead_code, reason = "each test file is a crate of its own and uses a part of this")]

use micaspool_quorum::{
    EntryPayload, Envelope, HardState, KeeperIdentity, LeaveOutcome, LogEntry, LogIndex, LogSnapshot,
    OpenGroupOptions, QuorumCore, QuorumEvent, QuorumOptions, QuorumOutput, RestoredState, SaveBatch,
};
use micaspool_types::{Incarnation, InstanceName, Moment, Term};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet, HashMap};

const STEP_MICROS: u64 = 10_000;
/// The time from the end of a process to its second refusal, and the interval of further ones.
const FIRST_REFUSAL_MICROS: u64 = 100_000;
const REFUSAL_INTERVAL_MICROS: u64 = 100_000;
const START_MICROS: u64 = 1_000_000;

/// The state that survives a crash.
#[derive(Clone, Debug, Default)]
pub struct Disk {
    pub hard: HardState,
    pub snapshot: LogSnapshot,
    pub entries: Vec<LogEntry>,
}

impl Disk {
    /// Applies a batch in the order in which the store does.
    pub fn save(&mut self, batch: SaveBatch) {
        if let Some(from) = batch.truncate_from {
            self.entries.retain(|entry| entry.index < from);
        }
        if let Some(hard) = batch.hard {
            self.hard = hard;
        }
        self.entries.extend(batch.append);
        if let Some(snapshot) = batch.snapshot {
            self.entries.retain(|entry| entry.index > snapshot.index);
            self.snapshot = snapshot;
        }
    }

    /// Returns the last position that the files hold.
    pub fn last_index(&self) -> LogIndex {
        self.entries.last().map_or(self.snapshot.index, |entry| entry.index)
    }
}

/// A simulated keeper. `core` is `None` while it is down.
pub struct Node {
    pub name: InstanceName,
    pub incarnation: u64,
    pub core: Option<QuorumCore>,
    pub disk: Disk,
    /// A paused keeper loses the messages to it.
    pub paused: bool,
    /// The messages that a frozen keeper finds when it wakes.
    pub frozen: Option<Vec<QuorumEvent>>,
    /// When the process ended, if it is down.
    pub ended_at: Option<Moment>,
    /// Commands applied since the start of the log, in order.
    pub applied: Vec<Vec<u8>>,
}

/// All keepers and the network between them, with checks of the invariants at each step.
pub struct Harness {
    pub now: Moment,
    pub nodes: Vec<Node>,
    pub rng: ChaCha8Rng,
    pub drop_percent: u32,
    /// The rules of an open group and the number of keepers that form it. `None` for a closed group.
    pub open: Option<(OpenGroupOptions, usize)>,
    /// The keepers that those which start from now on know of. `None` for those that form the group.
    pub seeds: Option<Vec<usize>>,
    pub blocked_links: BTreeSet<(usize, usize)>,
    /// Whether the machines of keepers that are down run on and refuse connections. Otherwise they are silent.
    pub refuses: bool,
    in_flight: BTreeMap<(Moment, u64), (usize, usize, Envelope)>,
    next_message_number: u64,
    leaders: HashMap<Term, KeeperIdentity>,
    /// Every command that any keeper has applied, by position.
    pub history: Vec<Vec<u8>>,
    /// Commands that were committed on the keeper that proposed them.
    pub acknowledged: Vec<Vec<u8>>,
    /// Proposed commands by proposing keeper, position and term.
    pending_commands: HashMap<(usize, LogIndex, Term), Vec<u8>>,
}

impl Harness {
    pub fn new(count: usize, seed: u64) -> Harness {
        Harness::with_group(count, seed, None)
    }

    /// Creates an open group that tolerates the failure of one keeper.
    pub fn open(count: usize, seed: u64) -> Harness {
        Harness::with_group(count, seed, Some((OpenGroupOptions::tolerating(1), count)))
    }

    fn with_group(count: usize, seed: u64, open: Option<(OpenGroupOptions, usize)>) -> Harness {
        let mut harness = Harness {
            now: Moment(START_MICROS),
            nodes: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            drop_percent: 0,
            open,
            seeds: None,
            blocked_links: BTreeSet::new(),
            refuses: false,
            in_flight: BTreeMap::new(),
            next_message_number: 0,
            leaders: HashMap::new(),
            history: Vec::new(),
            acknowledged: Vec::new(),
            pending_commands: HashMap::new(),
        };
        for number in 0..count {
            let name = InstanceName::parse(&format!("keeper-{number}")).expect("the name is well-formed");
            let disk = Disk::default();
            harness.nodes.push(Node {
                name,
                incarnation: 0,
                core: None,
                disk,
                paused: false,
                frozen: None,
                ended_at: None,
                applied: Vec::new(),
            });
        }
        for number in 0..count {
            harness.wipe(number);
        }
        harness
    }

    /// Starts a keeper from its disk.
    pub fn start(&mut self, node: usize) {
        let forming = 0..self.open.map_or(self.nodes.len(), |(_, seeds)| seeds);
        let seeds = self.seeds.clone().unwrap_or_else(|| forming.collect());
        let configured = seeds.iter().map(|seed| self.nodes[*seed].name.clone()).collect();
        let options = QuorumOptions {
            open_group: self.open.map(|(options, _)| options),
            may_form_group: self.open.is_none() || self.now == Moment(START_MICROS),
            ..QuorumOptions::new(configured)
        };
        let seed = self.rng.random();
        let target = &mut self.nodes[node];
        let identity =
            KeeperIdentity { name: target.name.clone(), incarnation: Incarnation(target.incarnation) };
        let disk = target.disk.clone();
        target.applied = decode_commands(&disk.snapshot.data);
        let restored =
            RestoredState { identity, hard: disk.hard, snapshot: disk.snapshot, entries: disk.entries };
        target.core = Some(QuorumCore::new(self.now, options, restored, seed));
        target.paused = false;
        target.frozen = None;
        target.ended_at = None;
    }

    /// Starts an empty keeper under a new name, which knows only the seeds.
    pub fn add_keeper(&mut self) -> usize {
        let number = self.nodes.len();
        let name = InstanceName::parse(&format!("keeper-{number}")).expect("the name is well-formed");
        let disk = Disk::default();
        let incarnation = self.rng.random();
        self.nodes.push(Node {
            name,
            incarnation,
            core: None,
            disk,
            paused: false,
            frozen: None,
            ended_at: None,
            applied: Vec::new(),
        });
        self.start(number);
        number
    }

    /// Stops a keeper without warning. Everything that is not on its disk is lost.
    pub fn crash(&mut self, node: usize) {
        self.nodes[node].core = None;
        self.nodes[node].ended_at = Some(self.now);
        self.pending_commands.retain(|(proposer, _, _), _| *proposer != node);
    }

    /// Freezes a keeper's process. Messages to it wait in its sockets.
    pub fn freeze(&mut self, node: usize) {
        self.nodes[node].frozen.get_or_insert_default();
    }

    /// Wakes a frozen keeper. It handles all that came meanwhile before it writes its files, as the engine does.
    pub fn thaw(&mut self, node: usize) {
        let now = self.now;
        let waiting = self.nodes[node].frozen.take().unwrap_or_default();
        if let Some(core) = self.nodes[node].core.as_mut() {
            waiting.into_iter().for_each(|event| core.step(now, event));
            self.process_output(node);
        }
    }

    /// Stops a keeper as planned: it leaves the group first, and stops when it may or after three seconds.
    pub fn stop(&mut self, node: usize) -> Option<LeaveOutcome> {
        self.inject_event(node, QuorumEvent::Leave);
        let limit = self.now.0 + 3_000_000;
        let outcome = loop {
            let core = self.nodes[node].core.as_ref().expect("the keeper runs");
            if core.leave_outcome().is_some() || self.now.0 >= limit {
                break core.leave_outcome();
            }
            self.run_for(10);
        };
        self.crash(node);
        outcome
    }

    /// Stops a keeper, replaces its disk by an empty one, and starts it as a new incarnation.
    pub fn wipe(&mut self, node: usize) {
        self.crash(node);
        self.nodes[node].disk = Disk::default();
        self.nodes[node].incarnation = self.rng.random();
        self.start(node);
    }

    /// Blocks or restores the link between two keepers, in both directions.
    pub fn set_link_blocked(&mut self, one: usize, other: usize, blocked: bool) {
        for pair in [(one, other), (other, one)] {
            if blocked {
                self.blocked_links.insert(pair);
            } else {
                self.blocked_links.remove(&pair);
            }
        }
    }

    /// Blocks or restores the links of a keeper to all others.
    pub fn isolate(&mut self, node: usize, blocked: bool) {
        for other in (0..self.nodes.len()).filter(|other| *other != node) {
            self.set_link_blocked(node, other, blocked);
        }
    }

    pub fn run_for(&mut self, millis: u64) {
        let end = Moment(self.now.0 + millis * 1_000);
        while self.now < end {
            self.now = Moment(self.now.0 + STEP_MICROS);
            self.deliver_due();
            self.refuse_connections();
            for node in 0..self.nodes.len() {
                self.inject_event(node, QuorumEvent::Tick);
            }
        }
    }

    /// Tells the running keepers of those whose machines refuse connections, as often as they try to connect again.
    fn refuse_connections(&mut self) {
        let is_due = |ended_at: Moment| {
            let age = self.now.since(ended_at).as_micros() as u64;
            age >= FIRST_REFUSAL_MICROS && age % REFUSAL_INTERVAL_MICROS < STEP_MICROS
        };
        let refusing: Vec<usize> = (0..self.nodes.len())
            .filter(|node| self.refuses && self.nodes[*node].ended_at.is_some_and(is_due))
            .collect();
        for ended in refusing {
            let name = self.nodes[ended].name.clone();
            for node in (0..self.nodes.len()).filter(|node| *node != ended) {
                self.inject_event(node, QuorumEvent::Refused(name.clone()));
            }
        }
    }

    pub fn leader(&self) -> Option<usize> {
        let leads = |node: &Node| {
            node.core.as_ref().is_some_and(|core| core.is_leader() && core.is_confirmed(self.now))
        };
        let mut leaders: Vec<usize> =
            (0..self.nodes.len()).filter(|node| leads(&self.nodes[*node])).collect();
        leaders.sort_by_key(|node| self.nodes[*node].core.as_ref().map(|core| core.status(self.now).term));
        leaders.pop()
    }

    /// Runs until a leader is confirmed by a majority. Panics after `millis`.
    pub fn elect(&mut self, millis: u64) -> usize {
        let end = self.now.0 + millis * 1_000;
        while self.now.0 < end {
            if let Some(leader) = self.leader() {
                return leader;
            }
            self.run_for(10);
        }
        panic!("no leader within {millis} ms");
    }

    /// Proposes a command to a keeper. Returns false if the keeper does not lead, or is down or paused.
    pub fn propose(&mut self, node: usize, command: &[u8]) -> bool {
        let now = self.now;
        if self.nodes[node].paused || self.nodes[node].frozen.is_some() {
            return false;
        }
        let Some(core) = self.nodes[node].core.as_mut() else { return false };
        let Ok((index, term)) = core.propose(now, EntryPayload::Command(command.to_vec())) else {
            return false;
        };
        self.pending_commands.insert((node, index, term), command.to_vec());
        self.process_output(node);
        true
    }

    /// Proposes a command to the current leader until it is acknowledged. Panics after `millis`.
    pub fn commit(&mut self, command: &[u8], millis: u64) {
        let end = self.now.0 + millis * 1_000;
        while self.now.0 < end {
            if let Some(leader) = self.leader() {
                self.propose(leader, command);
            }
            self.run_for(100);
            if self.acknowledged.iter().any(|done| done == command) {
                return;
            }
        }
        panic!("command not committed within {millis} ms");
    }

    pub fn inject_event(&mut self, node: usize, event: QuorumEvent) {
        let now = self.now;
        if self.nodes[node].paused {
            return;
        }
        if let Some(waiting) = &mut self.nodes[node].frozen {
            waiting.push(event);
            return;
        }
        if let Some(core) = self.nodes[node].core.as_mut() {
            core.step(now, event);
            self.process_output(node);
        }
    }

    fn process_output(&mut self, node: usize) {
        while let Some(core) = self.nodes[node].core.as_mut() {
            let output = core.take_output();
            if output.is_empty() {
                break;
            }
            let needs_saving = !output.save.is_empty();
            self.execute_output(node, output);
            if needs_saving {
                let now = self.now;
                self.nodes[node].core.as_mut().expect("the keeper runs").step(now, QuorumEvent::Saved);
            }
        }
        self.check_single_leader(node);
    }

    fn execute_output(&mut self, node: usize, output: QuorumOutput) {
        self.nodes[node].disk.save(output.save);
        for envelope in output.send {
            self.enqueue_message(node, envelope);
        }
        if let Some(installed) = output.install {
            self.nodes[node].applied = decode_commands(&installed.snapshot.data);
        }
        for entry in output.committed {
            self.apply(node, entry);
        }
    }

    fn apply(&mut self, node: usize, entry: LogEntry) {
        if let Some(command) = self.pending_commands.remove(&(node, entry.index, entry.term)) {
            self.acknowledged.push(command);
        }
        let EntryPayload::Command(command) = entry.payload else { return };
        let position = self.nodes[node].applied.len();
        match self.history.get(position) {
            Some(known) => assert_eq!(*known, command, "keepers disagree at position {position}"),
            None => self.history.push(command.clone()),
        }
        self.nodes[node].applied.push(command);
    }

    fn check_single_leader(&mut self, node: usize) {
        let Some(core) = self.nodes[node].core.as_ref().filter(|core| core.is_leader()) else { return };
        let term = core.status(self.now).term;
        let identity = core.identity().clone();
        let known = self.leaders.entry(term).or_insert_with(|| identity.clone());
        assert_eq!(*known, identity, "two leaders in {term:?}");
    }

    fn enqueue_message(&mut self, from: usize, envelope: Envelope) {
        let to = self.nodes.iter().position(|node| node.name == envelope.to).expect("the receiver exists");
        if self.rng.random_range(0..100) < self.drop_percent {
            return;
        }
        let delay = self.rng.random_range(500..if self.drop_percent > 0 { 60_000 } else { 2_000 });
        let due = Moment(self.now.0 + delay);
        self.next_message_number += 1;
        self.in_flight.insert((due, self.next_message_number), (from, to, envelope));
    }

    fn deliver_due(&mut self) {
        while let Some(entry) = self.in_flight.first_entry().filter(|entry| entry.key().0 <= self.now) {
            let (from, to, envelope) = entry.remove();
            if !self.blocked_links.contains(&(from, to)) {
                self.inject_event(to, QuorumEvent::Message(envelope.message));
            }
        }
    }

    /// Makes a keeper compact the entries that it has applied.
    pub fn compact(&mut self, node: usize) {
        let data = encode_commands(&self.nodes[node].applied);
        let now = self.now;
        let Some(core) = &self.nodes[node].core else { return };
        let applied = core.status(now).commit;
        self.inject_event(node, QuorumEvent::Compact(applied, data));
    }

    /// Checks that every acknowledged command is in the history.
    pub fn check_acknowledged(&self) {
        for command in &self.acknowledged {
            let count = self.history.iter().filter(|known| *known == command).count();
            assert!(count >= 1, "an acknowledged command is lost");
        }
    }
}

fn encode_commands(commands: &[Vec<u8>]) -> Vec<u8> {
    commands
        .iter()
        .flat_map(|command| std::iter::once(command.len() as u8).chain(command.iter().copied()))
        .collect()
}

fn decode_commands(mut data: &[u8]) -> Vec<Vec<u8>> {
    let mut commands = Vec::new();
    while let Some((length, rest)) = data.split_first() {
        let (command, rest) = rest.split_at(usize::from(*length));
        commands.push(command.to_vec());
        data = rest;
    }
    commands
}
