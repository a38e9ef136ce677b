//! Routers whose dispatcher is late, without power or cut off from its keeper.

use micaspool_dispatch::{
    CandidateChoice, CandidateHealth, CandidateKind, ChoiceOptions, ChoiceStep, SessionWatch, WatchOptions,
    WatchStep,
};
use micaspool_types::{InstanceName, Moment};
use std::collections::VecDeque;
use std::time::Duration;
use test_case::test_case;

const ROUTERS: u64 = 295;
const STEP: Duration = Duration::from_millis(10);
const TICKET_INTERVAL: Duration = Duration::from_millis(100);
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// How long the process of a dispatcher with much to do needs for a pulse.
const PULSE_DELAY: Duration = Duration::from_millis(300);
const END: Moment = Moment(20_000_000);

/// How the dispatcher of the first rank stands.
#[derive(Clone, Copy)]
struct DispatcherState {
    /// How long its shard needs to answer a ticket.
    answer_delay: Duration,
    /// When its machine loses power.
    dark_at: Option<Moment>,
    /// When its keeper's stream is lost.
    keeper_lost_at: Option<Moment>,
}

/// One router, with the messages that are under way to it.
struct SimulatedRouter {
    choice: CandidateChoice,
    watch: SessionWatch,
    replies: VecDeque<(Moment, ReplyKind)>,
    unanswered: u32,
    next_ticket: Moment,
    next_heartbeat: Moment,
    left_at: Option<Moment>,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum ReplyKind {
    Answer,
    Pulse,
}

impl SimulatedRouter {
    fn new(number: u64) -> SimulatedRouter {
        let router = InstanceName::parse(&format!("entry-{number}")).expect("valid name");
        let kinds = vec![CandidateKind::Observed(CandidateHealth::Answering); 2];
        let mut choice = CandidateChoice::with_kinds(Moment(0), kinds, ChoiceOptions::spread_for(&router));
        choice.connected(0);
        let start = Moment(0) + Duration::from_micros(number * 337);
        SimulatedRouter {
            choice,
            watch: SessionWatch::new(Moment(0), WatchOptions::default()),
            replies: VecDeque::new(),
            unanswered: 0,
            next_ticket: start,
            next_heartbeat: start + HEARTBEAT_INTERVAL,
            left_at: None,
        }
    }

    fn step(&mut self, now: Moment, dispatcher: &DispatcherState) {
        self.hear(now);
        self.send_due(now, dispatcher);
        self.observe_keeper(now, dispatcher);
        match self.watch.next(now) {
            WatchStep::Ask => self.send_heartbeat(now, dispatcher),
            WatchStep::LeaveUnanswered | WatchStep::LeaveSilent => self.choice.failed(now, 0),
            WatchStep::Wait(_) if self.choice.has_lost_current(now) => self.choice.failed(now, 0),
            WatchStep::Wait(_) => {}
        }
        if let ChoiceStep::Connect(rank) = self.choice.next(now) {
            self.choice.connected(rank);
            self.left_at = Some(now);
        }
    }

    fn hear(&mut self, now: Moment) {
        let (arrived, under_way) = self.replies.iter().partition(|(at, _)| *at <= now);
        self.replies = under_way;
        let arrived: VecDeque<(Moment, ReplyKind)> = arrived;
        for (_, kind) in arrived {
            self.unanswered -= u32::from(kind == ReplyKind::Answer);
            self.watch.note_message(now, self.unanswered > 0);
        }
    }

    fn send_due(&mut self, now: Moment, dispatcher: &DispatcherState) {
        if now >= self.next_ticket {
            self.next_ticket = now + TICKET_INTERVAL;
            self.unanswered += 1;
            self.watch.note_ticket(now);
            self.expect(now, dispatcher.answer_delay, ReplyKind::Answer, dispatcher);
        }
        if now >= self.next_heartbeat {
            self.send_heartbeat(now, dispatcher);
        }
    }

    fn send_heartbeat(&mut self, now: Moment, dispatcher: &DispatcherState) {
        self.next_heartbeat = now + HEARTBEAT_INTERVAL;
        self.watch.note_heartbeat(now);
        self.expect(now, PULSE_DELAY, ReplyKind::Pulse, dispatcher);
    }

    /// Queues a reply, unless the dispatcher has lost power before it is sent.
    fn expect(&mut self, now: Moment, delay: Duration, kind: ReplyKind, dispatcher: &DispatcherState) {
        let at = now + delay;
        if dispatcher.dark_at.is_none_or(|dark_at| at < dark_at) {
            self.replies.push_back((at, kind));
        }
    }

    fn observe_keeper(&mut self, now: Moment, dispatcher: &DispatcherState) {
        let is_lost = dispatcher.keeper_lost_at.is_some_and(|at| now >= at);
        let health = if is_lost { CandidateHealth::Lost } else { CandidateHealth::Answering };
        let first = (Some(0), CandidateKind::Observed(health));
        self.choice.update(now, &[first, (Some(1), CandidateKind::Observed(CandidateHealth::Answering))]);
    }
}

/// Returns when each router left the first dispatcher.
fn leave_times(dispatcher: DispatcherState) -> Vec<Option<Moment>> {
    let mut routers: Vec<SimulatedRouter> = (0..ROUTERS).map(SimulatedRouter::new).collect();
    let mut now = Moment(0);
    while now < END {
        let connected = routers.iter_mut().filter(|router| router.left_at.is_none());
        connected.for_each(|router| router.step(now, &dispatcher));
        now = now + STEP;
    }
    routers.iter().map(|router| router.left_at).collect()
}

fn late_by(millis: u64) -> DispatcherState {
    let answer_delay = Duration::from_millis(millis);
    DispatcherState { answer_delay, dark_at: None, keeper_lost_at: None }
}

/// Guards against a second shard that begins because the first one is late.
#[test_case(10)]
#[test_case(1_500)]
#[test_case(4_000)]
#[test_case(60_000)]
fn lateness_moves_no_router_to_a_second_dispatcher(millis: u64) {
    let left = leave_times(late_by(millis)).into_iter().flatten().count();
    assert_eq!(left, 0, "routers left a dispatcher that is late by {millis} ms");
}

/// Guards against routers that stay with a machine without power since they took it for late.
#[test_case(10)]
#[test_case(4_000)]
fn a_dispatcher_without_power_is_left_by_all_within_about_a_second(millis: u64) {
    let dark_at = Moment(10_000_000);
    let limit = dark_at + Duration::from_millis(1_300);
    for left_at in leave_times(DispatcherState { dark_at: Some(dark_at), ..late_by(millis) }) {
        let left_at = left_at.expect("the router leaves");
        assert!(left_at > dark_at && left_at <= limit, "left at {left_at:?}");
    }
}

/// Guards against routers that stay with a late dispatcher whose process is lost.
#[test]
fn a_late_dispatcher_whose_keeper_is_lost_is_left_by_all() {
    let lost_at = Moment(10_000_000);
    let limit = lost_at + Duration::from_millis(600);
    for left_at in leave_times(DispatcherState { keeper_lost_at: Some(lost_at), ..late_by(4_000) }) {
        assert!(left_at.is_some_and(|at| at > lost_at && at <= limit), "left at {left_at:?}");
    }
}

/// Guards against a router that was suspended and takes its own pause for the dispatcher's silence.
#[test]
fn a_router_that_looks_late_gives_its_dispatcher_as_much_more_time() {
    let at = Moment::from_millis;
    let mut watch = SessionWatch::new(at(0), WatchOptions::default());
    watch.note_ticket(at(0));
    watch.note_heartbeat(at(250));
    assert_eq!(watch.next(at(1_150)), WatchStep::LeaveUnanswered);
    watch.note_own_delay(Duration::from_millis(3_000));
    assert_eq!(watch.next(at(1_150)), WatchStep::Wait(at(4_150)));
    assert_eq!(watch.next(at(4_150)), WatchStep::LeaveUnanswered);
}
