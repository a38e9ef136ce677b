//! What a shard that was late for a moment believes afterwards, and what waits without a bound.

use crate::fixtures::{hello, policy, ticket};
use micaspool_dispatch::{
    IntakeItem, RouterHello, SessionId, SessionWatch, ShardAction, ShardCore, ShardEvent, ShardIntake,
    ShardOptions, WatchOptions, WatchStep,
};
use micaspool_types::{EndpointName, Moment, RequestId};
use std::time::Duration;

const SESSION: SessionId = SessionId(1);
const OBJECTIVE: Duration = Duration::from_secs(2);

fn submit(intake: &mut ShardIntake, now: Moment, number: u128, name: &str) {
    let event = ShardEvent::Submit(SESSION, ticket(number, name, Some(OBJECTIVE)));
    intake.push(now, now, Box::new(event));
}

fn take_all(intake: &mut ShardIntake, now: Moment) -> (usize, usize) {
    let (mut submitted, mut refused) = (0, 0);
    while let Some(item) = intake.take(now) {
        match item {
            IntakeItem::Refusal(_) => refused += 1,
            IntakeItem::Event(..) => submitted += 1,
        }
    }
    (submitted, refused)
}

/// Guards against one pause of the process that decides for minutes.
#[test]
fn a_shard_that_stood_still_once_accepts_two_at_a_time_a_minute_later() {
    let mut intake = ShardIntake::default();
    let mut now = Moment(0);
    for number in 0..3 {
        submit(&mut intake, now, number, "alpha");
    }
    intake.take(now);
    now = now + Duration::from_millis(400);
    take_all(&mut intake, now);
    let mut refused_later = 0;
    for pair in 0..60 {
        now = now + Duration::from_secs(1);
        submit(&mut intake, now, 100 + 2 * pair, "alpha");
        submit(&mut intake, now, 101 + 2 * pair, "alpha");
        refused_later += take_all(&mut intake, now).1;
    }
    assert_eq!(refused_later, 0);
}

/// Guards against refusals of a flood that all precede the submissions of others.
#[test]
fn a_submission_of_another_customer_does_not_wait_for_all_refusals_of_a_flood() {
    let mut intake = ShardIntake::default();
    let now = Moment(0);
    for number in 0..20_000 {
        submit(&mut intake, now, number, "flood");
    }
    submit(&mut intake, now, 1_000_000, "small");
    let mut before = 0;
    while let Some(IntakeItem::Refusal(_)) = intake.take(now) {
        before += 1;
    }
    assert!(before <= 16, "{before} refusals before the first submission");
}

/// Guards against events that come as fast as they are handled and leave no turn to submissions.
#[test]
fn a_submission_has_a_turn_while_events_keep_coming() {
    let mut intake = ShardIntake::default();
    let mut now = Moment(0);
    let endpoint = EndpointName::parse("e0").expect("a valid name");
    submit(&mut intake, now, 1, "alpha");
    let mut is_submitted = false;
    for _ in 0..1_000 {
        intake.push(now, now, Box::new(ShardEvent::Unreachable(endpoint.clone())));
        if let Some(IntakeItem::Event(_, event)) = intake.take(now) {
            is_submitted |= matches!(*event, ShardEvent::Submit(..));
        }
        now = now + Duration::from_millis(1);
    }
    assert!(is_submitted);
}

/// Guards against urgent requests that are refused behind patient ones of the same customer.
#[test]
fn an_urgent_submission_is_not_refused_behind_patient_ones_of_its_customer() {
    let mut intake = ShardIntake::default();
    let mut now = Moment(0);
    let (mut urgent_refused, mut patient_refused) = (0, 0);
    for number in 0..400 {
        let is_urgent = number % 4 == 0;
        let objective = Duration::from_millis(if is_urgent { 400 } else { 10_000 });
        let submitted = ticket(number, "alpha", Some(objective));
        intake.push(now, now, Box::new(ShardEvent::Submit(SESSION, submitted)));
        if number % 2 == 0 {
            now = now + Duration::from_millis(10);
            loop {
                match intake.take(now) {
                    Some(IntakeItem::Refusal(unread)) if unread.request.0 % 4 == 0 => urgent_refused += 1,
                    Some(IntakeItem::Refusal(_)) => patient_refused += 1,
                    _ => break,
                }
            }
        }
    }
    // A quarter of the submissions is urgent.
    assert!(
        urgent_refused * 3 <= patient_refused,
        "{urgent_refused} of 100, {patient_refused} of 300 patient ones"
    );
}

/// Guards against submissions of many customers that wait for a turn which can't come in time.
#[test]
fn of_many_customers_with_a_submission_each_few_are_refused_after_a_wait() {
    let mut intake = ShardIntake::default();
    let mut now = Moment(0);
    let (mut at_once, mut waited) = (0, 0);
    for number in 0..2_000 {
        submit(&mut intake, now, number, &format!("c{}", number % 400));
        if number % 4 == 3 {
            now = now + Duration::from_millis(10);
            while let Some(IntakeItem::Refusal(unread)) = intake.take(now) {
                let is_held = now.since(unread.arrived_at) > Duration::from_millis(50);
                *(if is_held { &mut waited } else { &mut at_once }) += 1;
            }
        }
    }
    assert!(waited * 10 <= waited + at_once, "{waited} refused after a wait, {at_once} at once");
}

/// Guards against a ticket that its router counts as unanswered as long as it waits, although the shard has it.
#[test]
fn a_ticket_that_a_router_brings_again_without_its_order_is_answered() {
    let mut core = ShardCore::new(Moment(0), ShardOptions::builder().build());
    let mut actions = Vec::new();
    let now = Moment(0) + Duration::from_secs(5);
    core.step(now, ShardEvent::Policy(policy(0, 1, &["alpha".to_owned()])), &mut actions);
    core.step(now, ShardEvent::Joined(SESSION, hello(1)), &mut actions);
    core.step(now, ShardEvent::Submit(SESSION, ticket(1, "alpha", None)), &mut actions);
    let first = std::mem::take(&mut actions);
    assert!(first.iter().any(|action| matches!(action, ShardAction::Accepted { .. })), "{first:?}");
    let again = RouterHello { waiting: vec![ticket(1, "alpha", None)], ..hello(1) };
    let later = SessionId(2);
    core.step(now, ShardEvent::Left(SESSION), &mut actions);
    core.step(now, ShardEvent::Joined(later, again), &mut actions);
    let is_answered = |action: &ShardAction| match action {
        ShardAction::Accepted { session, request, .. } => *session == later && *request == RequestId(1),
        ShardAction::Refuse { session, .. } | ShardAction::Grant { session, .. } => *session == later,
        _ => false,
    };
    assert!(actions.iter().any(is_answered), "{actions:?}");
}

/// Guards against a shard that handles nothing any more while its process answers heartbeats.
#[test]
fn a_dispatcher_that_answers_heartbeats_but_no_ticket_for_a_minute_is_left() {
    let mut watch = SessionWatch::new(Moment(0), WatchOptions::default());
    let mut now = Moment(0);
    watch.note_ticket(now);
    let mut is_left = false;
    while now < Moment(0) + Duration::from_secs(60) {
        now = now + Duration::from_millis(50);
        match watch.next(now) {
            WatchStep::Ask => {
                watch.note_heartbeat(now);
                watch.note_message(now, true);
            }
            WatchStep::Wait(_) => {}
            WatchStep::LeaveUnanswered | WatchStep::LeaveSilent => is_left = true,
        }
    }
    assert!(is_left);
}

/// Guards against leases that end by the clock while the heartbeats that prolong them wait to be handled.
#[test]
fn routers_whose_heartbeats_wait_after_a_stall_are_not_forgotten() {
    let mut core = ShardCore::new(Moment(0), ShardOptions::builder().build());
    let mut actions = Vec::new();
    let mut intake = ShardIntake::default();
    for router in 1..=40 {
        core.step(Moment(0), ShardEvent::Joined(SessionId(router), hello(router)), &mut actions);
    }
    let resumed_at = Moment(0) + Duration::from_millis(3_200);
    for second in 1..=3 {
        let arrived_at = Moment(0) + Duration::from_secs(second);
        for router in 1..=40 {
            let beat = ShardEvent::Heartbeat(SessionId(router), second + 1);
            intake.push(resumed_at, arrived_at, Box::new(beat));
        }
    }
    actions.clear();
    let mut handled = 0;
    while let Some(IntakeItem::Event(arrived_at, event)) = intake.take(resumed_at) {
        core.step_arrived(resumed_at, arrived_at, *event, &mut actions);
        handled += 1;
        // The driver handles so many inputs before a tick that is due.
        if handled == 16 {
            core.step(resumed_at, ShardEvent::Tick, &mut actions);
        }
    }
    let rejoins = actions.iter().filter(|action| matches!(action, ShardAction::Rejoin { .. })).count();
    assert_eq!(rejoins, 0, "messages of forgotten routers");
}

/// Guards against a decision by the objective at arrival, of which a part has passed unread.
#[test]
fn a_grant_of_a_submission_that_waited_tells_what_is_left_of_its_objective() {
    let options = ShardOptions::builder().recovery_window(Duration::ZERO).build();
    let mut core = ShardCore::new(Moment(0), options);
    let mut actions = Vec::new();
    core.step(Moment(0), ShardEvent::Policy(policy(1, 1, &["alpha".to_owned()])), &mut actions);
    core.step(Moment(0), ShardEvent::Joined(SESSION, hello(1)), &mut actions);
    actions.clear();
    let submitted = ShardEvent::Submit(SESSION, ticket(1, "alpha", Some(OBJECTIVE)));
    let now = Moment(0) + Duration::from_millis(500);
    core.step_arrived(now, Moment(0), submitted, &mut actions);
    let granted = actions.iter().find_map(|action| match action {
        ShardAction::Grant { objective, .. } => Some(*objective),
        _ => None,
    });
    assert_eq!(granted, Some(Some(OBJECTIVE - Duration::from_millis(500))), "{actions:?}");
}
