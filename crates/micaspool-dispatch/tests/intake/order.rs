//! The order in which waiting inputs are handled, and which are refused.

use crate::fixtures::{customer, hello, policy, ticket};
use micaspool_dispatch::{
    GrantOutcome, IntakeItem, QueueFill, RefusalReason, RequestTicket, SessionId, ShardAction, ShardCore,
    ShardEvent, ShardIntake, ShardOptions,
};
use micaspool_types::{Cost, Moment, OrderNumber, RequestId};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeSet;
use std::time::Duration;
use test_case::test_case;

const SESSION: SessionId = SessionId(1);
const OTHER: SessionId = SessionId(2);

#[derive(Default)]
struct Intake {
    intake: ShardIntake,
    now: Moment,
}

impl Intake {
    fn push(&mut self, event: ShardEvent) {
        self.intake.push(self.now, self.now, Box::new(event));
    }

    fn submit(&mut self, session: SessionId, number: u128, name: &str) {
        self.push(ShardEvent::Submit(session, ticket(number, name, Some(Duration::from_secs(1)))));
    }

    fn wait(&mut self, millis: u64) {
        self.now = self.now + Duration::from_millis(millis);
    }

    /// Takes the next item and returns a short name for it.
    fn take(&mut self) -> Option<String> {
        self.intake.take(self.now).map(|item| match item {
            IntakeItem::Refusal(unread) => format!("refuse {} {:?}", unread.request.0, unread.reason),
            IntakeItem::Event(_, event) => match *event {
                ShardEvent::Submit(_, ticket) => format!("submit {}", ticket.request.0),
                ShardEvent::Progress(_, request, delivered) => {
                    format!("progress {} {}", request.0, delivered.0)
                }
                ShardEvent::Settle(_, request, ..) => format!("settle {}", request.0),
                ShardEvent::Cancel(_, request) => format!("cancel {}", request.0),
                ShardEvent::Joined(session, _) => format!("join {}", session.0),
                ShardEvent::Left(session) => format!("left {}", session.0),
                other => format!("{other:?}"),
            },
        })
    }

    fn take_all(&mut self) -> Vec<String> {
        std::iter::from_fn(|| self.take()).collect()
    }

    /// Takes submissions of one customer at a pace, so that the intake learns it.
    fn learn_pace(&mut self, millis: u64) {
        (0..12).for_each(|number| self.submit(SESSION, 10_000 + number, "learner"));
        (0..12).for_each(|_| {
            self.take();
            self.wait(millis);
        });
    }
}

fn settled(number: u128) -> ShardEvent {
    ShardEvent::Settle(SESSION, RequestId(number), Cost(1), GrantOutcome::Done)
}

fn progress(session: SessionId, number: u128, delivered: u64) -> ShardEvent {
    ShardEvent::Progress(session, RequestId(number), Cost(delivered))
}

#[test]
fn what_frees_endpoints_precedes_submissions() {
    let mut intake = Intake::default();
    intake.submit(SESSION, 1, "a");
    intake.push(settled(8));
    intake.push(settled(9));
    assert_eq!(intake.take_all(), ["settle 8", "settle 9", "submit 1"]);
}

#[test]
fn a_join_precedes_the_submissions_of_its_session() {
    let mut intake = Intake::default();
    intake.push(ShardEvent::Joined(SESSION, hello(1)));
    intake.submit(SESSION, 1, "a");
    assert_eq!(intake.take_all(), ["join 1", "submit 1"]);
}

#[test]
fn customers_take_turns_however_much_one_submits() {
    let mut intake = Intake::default();
    (1..=4).for_each(|number| intake.submit(SESSION, number, "a"));
    intake.submit(SESSION, 11, "b");
    intake.submit(SESSION, 21, "c");
    intake.submit(SESSION, 12, "b");
    let expected = ["submit 1", "submit 11", "submit 21", "submit 2", "submit 12", "submit 3", "submit 4"];
    assert_eq!(intake.take_all(), expected);
}

#[test]
fn a_cancel_removes_a_submission_that_waits() {
    let mut intake = Intake::default();
    intake.submit(SESSION, 1, "a");
    intake.submit(SESSION, 2, "a");
    intake.push(ShardEvent::Cancel(SESSION, RequestId(1)));
    intake.push(ShardEvent::Cancel(SESSION, RequestId(3)));
    intake.push(ShardEvent::Cancel(OTHER, RequestId(2)));
    assert_eq!(intake.take_all(), ["cancel 3", "cancel 2", "submit 2"]);
}

#[test]
fn what_a_session_submitted_goes_with_it() {
    let mut intake = Intake::default();
    intake.submit(SESSION, 1, "a");
    intake.submit(OTHER, 2, "a");
    intake.push(settled(9));
    intake.push(ShardEvent::Left(SESSION));
    assert_eq!(intake.take_all(), ["settle 9", "left 1", "submit 2"]);
}

#[test_case(Some(800), 200; "a quarter of its objective")]
#[test_case(Some(400), 100; "a quarter of a short one")]
#[test_case(Some(40), 100; "with little of it left")]
#[test_case(None, 500; "without an objective")]
#[test_case(Some(60_000), 500; "with a long one")]
fn a_submission_is_refused_when_its_turn_comes_too_late(objective: Option<u64>, limit: u64) {
    let submitted = ticket(1, "a", objective.map(Duration::from_millis));
    for (waits, expected) in [(limit - 1, "submit 1"), (limit, "refuse 1 Overdue")] {
        let mut intake = Intake::default();
        intake.push(ShardEvent::Submit(SESSION, submitted.clone()));
        intake.wait(waits);
        assert_eq!(intake.take_all(), [expected]);
    }
}

#[test]
fn a_submission_whose_turn_would_come_too_late_is_refused_on_arrival() {
    let mut intake = Intake::default();
    intake.learn_pace(20);
    // Half of 250 ms are six turns of 20 ms.
    (1..=8).for_each(|number| intake.submit(SESSION, number, "a"));
    intake.submit(SESSION, 11, "b");
    let first = ["refuse 7 ShardFull", "submit 1", "refuse 8 ShardFull", "submit 11", "submit 2"];
    assert_eq!(intake.take_all()[..5], first);
    let status = intake.intake.take_status(intake.now);
    assert_eq!((status.refused_unread, status.waiting_submissions), (2, 0));
}

#[test]
fn lines_are_bounded_before_a_pace_is_learnt() {
    let mut intake = Intake::default();
    (0..40_000).for_each(|number| intake.submit(SESSION, number, "a"));
    let status = intake.intake.take_status(intake.now);
    assert!(status.waiting_submissions <= 16_384, "{status:?}");
}

#[test]
fn a_submission_that_was_accepted_before_is_not_refused_on_arrival() {
    let mut intake = Intake::default();
    intake.learn_pace(20);
    (1..=6).for_each(|number| intake.submit(SESSION, number, "a"));
    let ordered = RequestTicket { order: Some(OrderNumber(5)), ..ticket(7, "a", None) };
    intake.push(ShardEvent::Submit(SESSION, ordered));
    assert_eq!(intake.take().as_deref(), Some("submit 7"));
}

#[test]
fn progress_reports_of_a_request_that_wait_together_are_joined() {
    let mut intake = Intake::default();
    intake.push(progress(SESSION, 1, 10));
    intake.push(settled(9));
    intake.push(progress(SESSION, 1, 30));
    intake.push(progress(OTHER, 1, 50));
    intake.push(progress(SESSION, 2, 5));
    assert_eq!(intake.take_all(), ["progress 1 30", "settle 9", "progress 1 50", "progress 2 5"]);
    intake.push(progress(SESSION, 1, 40));
    assert_eq!(intake.take_all(), ["progress 1 40"]);
}

#[test]
fn refusals_do_not_hold_up_what_frees_endpoints() {
    let mut intake = Intake::default();
    (1..=3).for_each(|number| intake.submit(SESSION, number, "a"));
    intake.wait(300);
    (7..=9).for_each(|number| intake.push(settled(number)));
    let order = intake.take_all();
    let last_settled = order.iter().position(|item| item == "settle 9");
    assert!(last_settled.is_some_and(|position| position <= 5), "{order:?}");
}

#[test]
fn the_status_tells_the_longest_wait_since_the_previous_one() {
    let mut intake = Intake::default();
    intake.push(settled(1));
    intake.submit(SESSION, 1, "a");
    intake.wait(30);
    let waiting = intake.intake.take_status(intake.now);
    assert_eq!(
        (waiting.late, waiting.late_submissions),
        (Duration::from_millis(30), Duration::from_millis(30))
    );
    assert_eq!(waiting.waiting_submissions, 1);
    intake.take();
    intake.wait(20);
    intake.take();
    let handled = intake.intake.take_status(intake.now);
    assert_eq!(
        (handled.late, handled.late_submissions),
        (Duration::from_millis(30), Duration::from_millis(50))
    );
    let idle = intake.intake.take_status(intake.now);
    assert_eq!((idle.late, idle.late_submissions), (Duration::ZERO, Duration::ZERO));
}

/// A shard without free slots.
fn full_shard() -> ShardCore {
    let options = ShardOptions::builder().recovery_window(Duration::ZERO).build();
    let mut core = ShardCore::new(Moment(0), options);
    let mut actions = Vec::new();
    core.step(Moment(0), ShardEvent::Policy(policy(1, 1, &["a".to_owned()])), &mut actions);
    core.step(Moment(0), ShardEvent::Joined(SESSION, hello(1)), &mut actions);
    core.step(Moment(0), ShardEvent::Submit(SESSION, ticket(100, "a", None)), &mut actions);
    assert!(actions.iter().any(|action| matches!(action, ShardAction::Grant { .. })));
    core
}

#[test]
fn the_time_before_handling_counts_as_waiting() {
    let mut core = full_shard();
    let now = Moment::from_millis(500);
    let objective = Duration::from_millis(400);
    let mut actions = Vec::new();
    let submitted = ShardEvent::Submit(SESSION, ticket(1, "a", Some(objective)));
    core.step_arrived(now, Moment::from_millis(420), submitted, &mut actions);
    let refuse_at = core.next_wake().expect("the ticket has a limit");
    assert!(refuse_at <= Moment::from_millis(420) + objective, "{refuse_at:?}");
    actions.clear();
    core.step(refuse_at, ShardEvent::Wake, &mut actions);
    let waits: Vec<Duration> = actions
        .iter()
        .filter_map(|action| match action {
            ShardAction::Refuse { waited, .. } => Some(*waited),
            _ => None,
        })
        .collect();
    assert_eq!(waits, [refuse_at.since(Moment::from_millis(420))]);
}

#[test]
fn a_refusal_without_a_decision_tells_when_to_return_and_that_the_queue_is_full() {
    let mut core = full_shard();
    let mut intake = ShardIntake::default();
    intake.push(Moment(0), Moment(0), Box::new(ShardEvent::Submit(SESSION, ticket(1, "a", None))));
    let now = Moment::from_millis(600);
    let Some(IntakeItem::Refusal(unread)) = intake.take(now) else { panic!("the submission is overdue") };
    let mut actions = Vec::new();
    core.refuse_unread(now, unread, &mut actions);
    let [ShardAction::Refuse { request, reason, retry_after, waited, queue_fill, .. }] = &actions[..] else {
        panic!("{actions:?}")
    };
    assert_eq!((*request, *reason), (RequestId(1), RefusalReason::Overdue));
    assert_eq!((*waited, *queue_fill), (Duration::from_millis(600), Some(QueueFill::FULL)));
    assert!(!retry_after.is_zero());
    let status = core.status(now);
    let refused = status.customers.iter().find(|status| status.name == customer("a"));
    assert_eq!(refused.map(|status| status.counters.refused_after_wait), Some(1));
}

/// Guards against a request that is submitted again after its run has failed and whose refusal overtakes the end of that run.
#[test]
fn a_refusal_unread_of_a_request_whose_run_has_just_ended_is_sent() {
    let mut core = full_shard();
    let mut intake = ShardIntake::default();
    let now = Moment::from_millis(600);
    let ended = ShardEvent::Settle(SESSION, RequestId(100), Cost(0), GrantOutcome::Unreachable);
    intake.push(now, Moment(0), Box::new(ShardEvent::Submit(SESSION, ticket(100, "a", None))));
    intake.push(now, now, Box::new(ended));
    let mut actions = Vec::new();
    while let Some(item) = intake.take(now) {
        match item {
            IntakeItem::Refusal(unread) => core.refuse_unread(now, unread, &mut actions),
            IntakeItem::Event(arrived_at, event) => core.step_arrived(now, arrived_at, *event, &mut actions),
        }
    }
    let is_answer =
        |action: &&ShardAction| matches!(action, ShardAction::Refuse { request: RequestId(100), .. });
    assert_eq!(actions.iter().filter(is_answer).count(), 1, "{actions:?}");
}

/// Guards against silence about a submission of a ticket that waits already.
#[test]
fn an_unread_submission_of_a_ticket_that_waits_is_answered() {
    let mut core = full_shard();
    let mut actions = Vec::new();
    let now = Moment::from_millis(600);
    core.step(now, ShardEvent::Submit(SESSION, ticket(7, "a", None)), &mut actions);
    actions.clear();
    let mut intake = ShardIntake::default();
    intake.push(now, Moment(0), Box::new(ShardEvent::Submit(SESSION, ticket(7, "a", None))));
    let Some(IntakeItem::Refusal(unread)) = intake.take(now) else { panic!("the submission is overdue") };
    core.refuse_unread(now, unread, &mut actions);
    assert!(matches!(actions[..], [ShardAction::Accepted { request: RequestId(7), .. }]), "{actions:?}");
}

/// Random inputs: each submission is handled, refused or removed exactly once.
#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
fn no_submission_is_lost_or_handled_twice(seed: u64) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut intake = Intake::default();
    let mut waiting: BTreeSet<(u64, u128)> = BTreeSet::new();
    for number in 0..20_000u128 {
        intake.now = intake.now + Duration::from_micros(random.random_range(0..2_000));
        let session = SessionId(random.random_range(1..4));
        match random.random_range(0..100) {
            0..50 => {
                let name = *["a", "b", "c", "d"].choose(&mut random).expect("names");
                intake.submit(session, number, name);
                waiting.insert((session.0, number));
            }
            50..60 => {
                if let Some((owner, request)) = waiting.iter().next().copied() {
                    let before = intake.intake.take_status(intake.now).waiting_submissions;
                    intake.push(ShardEvent::Cancel(SessionId(owner), RequestId(request)));
                    if intake.intake.take_status(intake.now).waiting_submissions < before {
                        waiting.remove(&(owner, request));
                    }
                }
            }
            60 => {
                intake.push(ShardEvent::Left(session));
                waiting.retain(|(owner, _)| *owner != session.0);
            }
            61..70 => intake.push(settled(number)),
            _ => {}
        }
        if random.random_bool(0.6) {
            settle_item(&mut intake, &mut waiting);
        }
    }
    while !intake.intake.is_empty() {
        settle_item(&mut intake, &mut waiting);
    }
    assert!(waiting.is_empty(), "{} submissions are lost", waiting.len());
}

/// Takes an item and removes its submission from those that wait.
fn settle_item(intake: &mut Intake, waiting: &mut BTreeSet<(u64, u128)>) {
    let (session, request) = match intake.intake.take(intake.now) {
        Some(IntakeItem::Refusal(unread)) => (unread.session, unread.request),
        Some(IntakeItem::Event(_, event)) => match *event {
            ShardEvent::Submit(session, ticket) => (session, ticket.request),
            _ => return,
        },
        None => return,
    };
    assert!(waiting.remove(&(session.0, request.0)), "{request:?} is handled twice or was removed");
}
