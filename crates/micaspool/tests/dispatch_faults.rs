//! Dispatcher and router processes that crash, freeze, stop or are partitioned, and endpoints that misbehave.

mod harness;

use async_std::task::{self, JoinHandle};
use futures::future::join_all;
use harness::calls::{Answer, Call};
use harness::{milk, wait_for, Deployment};
use serde_json::json;
use std::time::{Duration, Instant};

const MODEL: &str = "modelo-acopio";
const TOKEN_TIME: Duration = Duration::from_millis(10);

/// The milk tree with one slot per model endpoint, so that requests wait.
fn single_slot_tree() -> serde_json::Value {
    let mut tree = milk();
    for spec in tree["services"][MODEL]["endpoints"].as_object_mut().expect("endpoints").values_mut() {
        spec["slots"] = json!(1);
    }
    tree
}

/// Starts streamed calls through all routers. Each runs for about half a second.
fn start_calls(deployment: &Deployment, count: usize) -> Vec<JoinHandle<Option<Answer>>> {
    let calls = (0..count).map(|number| {
        let customer = format!("farm-{:02}", 1 + number % 10);
        let content = format!("call {number}");
        Call::chat(deployment.router(number % 3), &customer, MODEL, &content, 50, true)
    });
    calls.map(|call| task::spawn(async move { call.send().await })).collect()
}

async fn check_complete_answers(calls: Vec<JoinHandle<Option<Answer>>>) {
    for (number, answer) in join_all(calls).await.into_iter().enumerate() {
        let answer = answer.expect("a complete answer");
        assert_eq!(answer.status, 200, "{}", answer.body);
        let expected: String = (1..50).map(|token| format!(" t{token}")).collect();
        assert_eq!(answer.text(), format!("call {number}{expected}"));
    }
}

async fn wait_for_backlog(deployment: &Deployment, waiting: u64) {
    wait_for(|| async {
        let Some(number) = deployment.serving_dispatcher(MODEL).await else { return false };
        let state = deployment.state(&deployment.dispatchers[number]).await;
        state["shards"][0]["waiting"].as_u64().unwrap_or(0) >= waiting
    })
    .await;
}

#[test]
fn a_killed_dispatcher_loses_no_request() {
    task::block_on(async {
        let mut deployment = Deployment::start(single_slot_tree(), TOKEN_TIME).await;
        let calls = start_calls(&deployment, 40);
        wait_for_backlog(&deployment, 20).await;
        let serving = deployment.serving_dispatcher(MODEL).await.expect("a dispatcher serves");
        deployment.dispatchers[serving].as_mut().expect("it runs").kill();
        check_complete_answers(calls).await;
        for number in 0..40 {
            let content = format!("call {number}");
            let runs = deployment.endpoints.values().flat_map(|endpoint| endpoint.runs());
            let count = runs
                .filter(|run| String::from_utf8_lossy(&run.body).contains(&format!("\"{content}\"")))
                .count();
            assert_eq!(count, 1, "request {number} ran {count} times");
        }
    });
}

#[test]
fn a_dispatcher_killed_again_during_recovery_loses_no_request() {
    task::block_on(async {
        let mut deployment = Deployment::start(single_slot_tree(), TOKEN_TIME).await;
        let calls = start_calls(&deployment, 40);
        wait_for_backlog(&deployment, 20).await;
        for _ in 0..2 {
            wait_for(|| async { deployment.serving_dispatcher(MODEL).await.is_some() }).await;
            let serving = deployment.serving_dispatcher(MODEL).await.expect("a dispatcher serves");
            deployment.dispatchers[serving] = None;
        }
        check_complete_answers(calls).await;
    });
}

#[test]
fn a_graceful_stop_of_a_dispatcher_interrupts_no_request() {
    task::block_on(async {
        let mut deployment = Deployment::start(single_slot_tree(), TOKEN_TIME).await;
        let calls = start_calls(&deployment, 30);
        wait_for_backlog(&deployment, 10).await;
        let serving = deployment.serving_dispatcher(MODEL).await.expect("a dispatcher serves");
        let daemon = deployment.dispatchers[serving].as_mut().expect("it runs");
        daemon.signal("TERM");
        assert_eq!(daemon.wait(Duration::from_secs(10)), Some(0));
        check_complete_answers(calls).await;
    });
}

#[test]
fn a_graceful_stop_of_a_router_interrupts_no_request() {
    task::block_on(async {
        let mut deployment = Deployment::start(single_slot_tree(), TOKEN_TIME).await;
        let calls = start_calls(&deployment, 30);
        wait_for_backlog(&deployment, 10).await;
        let daemon = deployment.routers[0].as_mut().expect("it runs");
        daemon.signal("TERM");
        check_complete_answers(calls).await;
        let daemon = deployment.routers[0].as_mut().expect("it runs");
        assert_eq!(daemon.wait(Duration::from_secs(10)), Some(0));
    });
}

#[test]
fn the_slots_of_a_killed_router_are_released() {
    task::block_on(async {
        let mut deployment = Deployment::start(single_slot_tree(), TOKEN_TIME).await;
        let lost: Vec<_> = (0..9)
            .map(|number| {
                Call::chat(deployment.router(0), "coop-01", MODEL, &format!("lost {number}"), 3_000, true)
            })
            .map(|call| task::spawn(async move { call.send().await }))
            .collect();
        wait_for(|| async {
            let runs: usize = deployment.endpoints.values().map(|endpoint| endpoint.runs().len()).sum();
            runs == 9
        })
        .await;
        deployment.routers[0].as_mut().expect("it runs").kill();
        assert!(
            join_all(lost).await.into_iter().all(|answer| answer.is_none()),
            "an interrupted answer was taken as complete"
        );
        let call = Call::chat(deployment.router(1), "farm-01", MODEL, "after", 2, false);
        assert_eq!(call.send().await.expect("an answer").text(), "after");
        deployment.start_router(0);
        deployment.wait_for_revision(1).await;
        let call = Call::chat(deployment.router(0), "farm-01", MODEL, "again", 2, false);
        assert_eq!(call.send().await.expect("an answer").text(), "again");
    });
}

#[test]
fn a_router_frozen_past_its_lease_completes_its_requests_afterwards() {
    task::block_on(async {
        let deployment = Deployment::start(single_slot_tree(), TOKEN_TIME).await;
        let calls = start_calls(&deployment, 30);
        wait_for_backlog(&deployment, 10).await;
        deployment.routers[0].as_ref().expect("it runs").signal("STOP");
        task::sleep(Duration::from_millis(4_500)).await;
        deployment.routers[0].as_ref().expect("it runs").signal("CONT");
        check_complete_answers(calls).await;
    });
}

#[test]
fn a_partitioned_hall_serves_repeatable_requests_and_rejoins() {
    task::block_on(async {
        let mut deployment = Deployment::prepare(milk(), Duration::from_millis(1)).await;
        deployment.add_relays(2).await;
        deployment.start_daemons().await;
        for router in 0..3 {
            let call = Call::chat(deployment.router(router), "farm-01", MODEL, "before", 2, false);
            assert_eq!(call.send().await.expect("an answer").text(), "before");
        }
        deployment.set_partitioned(true);
        wait_for(|| async { deployment.state(&deployment.routers[2]).await["cut_off_seconds"].is_u64() })
            .await;

        let served = Call::chat(deployment.router(2), "farm-01", MODEL, "cut off", 2, false).send().await;
        assert_eq!(served.expect("an answer").text(), "cut off", "repeatable requests are still served");
        let pickup = |router: usize, key: &str| {
            Call::plain(deployment.router(router), "coop-01", "/rutas/recogidas", key)
                .with_header("idempotency-key", key)
        };
        let refused = pickup(2, "k-cut").send().await.expect("an answer");
        assert_eq!((refused.status, refused.run.as_deref()), (503, Some("not-run")));
        assert!(refused.retry_after.is_some());
        assert_eq!(pickup(0, "k-cut").send().await.expect("an answer").status, 200);

        let patch = json!({ "policy": { "weight": 3 } });
        assert_eq!(deployment.apply("while cut", 1, &patch).await, Ok(2));
        deployment.set_partitioned(false);
        deployment.wait_for_revision(2).await;
        let again = pickup(2, "k-cut").send().await.expect("an answer");
        assert!(again.replayed, "the answer is not that of the run on the other side: {}", again.body);
        assert_eq!(deployment.run_count("k-cut"), 1);
        wait_for(|| async {
            let mut routers = 0;
            for daemon in &deployment.dispatchers {
                let state = deployment.state(daemon).await;
                let shards = state["shards"].as_array().cloned().unwrap_or_default();
                let model = shards.into_iter().find(|shard| shard["service"] == MODEL);
                routers = routers.max(model.map_or(0, |shard| shard["routers"].as_u64().unwrap_or(0)));
            }
            routers == 3
        })
        .await;
    });
}

#[test]
fn a_draining_endpoint_gets_no_new_requests() {
    task::block_on(async {
        let deployment = Deployment::start(milk(), Duration::from_millis(1)).await;
        let endpoint = &deployment.endpoints["acopio-1"];
        endpoint.drain();
        task::sleep(Duration::from_secs(3)).await;
        let before = endpoint.runs().len();
        let calls = (0..60).map(|number| {
            Call::chat(deployment.router(number % 3), "coop-01", MODEL, &format!("n {number}"), 2, false)
        });
        let answers = join_all(calls.map(|call| async move { call.send().await })).await;
        assert!(answers.iter().all(|answer| answer.as_ref().is_some_and(|answer| answer.status == 200)));
        assert_eq!(endpoint.runs().len(), before);
    });
}

#[test]
fn mismatched_and_truncated_answers_never_reach_a_caller_as_complete() {
    use micaspool::replay::standin::FaultMode;
    task::block_on(async {
        let deployment = Deployment::start(milk(), Duration::from_millis(1)).await;
        for fault in [FaultMode::WrongRequestId, FaultMode::TruncatedBody] {
            deployment.endpoints["acopio-1"].set_fault(fault);
            deployment.endpoints["acopio-4"].set_fault(fault);
            for number in 0..30 {
                let content = format!("{fault:?} {number}");
                let streamed = number % 2 == 0;
                let call = Call::chat(deployment.router(number % 3), "coop-01", MODEL, &content, 4, streamed);
                match call.send().await {
                    None => {}
                    Some(answer) if answer.status == 200 => {
                        assert!(answer.text().starts_with(&content), "{}", answer.body);
                        let endpoint = answer.endpoint.expect("the endpoint is named");
                        let is_faulty = ["acopio-1", "acopio-4"].contains(&endpoint.as_str());
                        assert!(
                            !is_faulty || fault != FaultMode::WrongRequestId,
                            "an answer with a wrong request id was accepted"
                        );
                    }
                    Some(answer) => assert!(answer.status >= 500, "{}", answer.body),
                }
            }
            deployment.endpoints["acopio-1"].set_fault(FaultMode::None);
            deployment.endpoints["acopio-4"].set_fault(FaultMode::None);
        }
    });
}

#[test]
fn service_in_one_region_raises_the_level_of_the_customer_in_the_other() {
    task::block_on(async {
        let mut far_tree = milk();
        for hall in far_tree["halls"].as_object_mut().expect("halls").values_mut() {
            hall["region"] = json!("otra");
        }
        let mut near = Deployment::prepare(milk(), TOKEN_TIME).await;
        let mut far = Deployment::prepare(far_tree, Duration::from_millis(1)).await;
        let wires = |ip: &str| (7611..7614).map(|port| format!("{ip}:{port}")).collect::<Vec<_>>();
        near.remote_dispatchers = wires(&far.ip);
        far.remote_dispatchers = wires(&near.ip);
        near.start_daemons().await;
        far.start_daemons().await;
        let long = Call::chat(near.router(0), "farm-01", MODEL, "long", 1_500, true);
        let running = task::spawn(async move { long.send().await });
        wait_for(|| async { near.serving_dispatcher(MODEL).await.is_some() }).await;
        for _ in 0..2 {
            let call = Call::chat(far.router(0), "farm-01", MODEL, "far", 200, false);
            assert_eq!(call.send().await.expect("an answer").status, 200);
        }
        task::sleep(Duration::from_millis(1_500)).await;
        for _ in 0..20 {
            let call = Call::chat(far.router(0), "farm-01", MODEL, "far", 200, false);
            assert_eq!(call.send().await.expect("an answer").status, 200);
        }
        wait_for(|| async {
            let Some(number) = near.serving_dispatcher(MODEL).await else { return false };
            let state = near.state(&near.dispatchers[number]).await;
            let customers = state["shards"][0]["customers"].as_array().cloned().unwrap_or_default();
            let farm = customers.into_iter().find(|customer| customer["name"] == "farm-01");
            farm.is_some_and(|farm| farm["level"].as_u64().unwrap_or(0) > 2_000)
        })
        .await;
        drop(running);
    });
}

#[test]
fn an_unanswered_request_is_reported_as_possibly_run() {
    use micaspool::replay::standin::FaultMode;
    task::block_on(async {
        let mut tree = milk();
        tree["services"][MODEL]["policy"]["silence_limit_ms"] = json!(200);
        let deployment = Deployment::start(tree, Duration::from_millis(1)).await;
        for endpoint in deployment.endpoints.values() {
            endpoint.set_fault(FaultMode::Silent);
        }
        let call = Call::chat(deployment.router(0), "coop-01", MODEL, "in vain", 2, false);
        let answer = call.send().await.expect("an answer");
        assert!(answer.status >= 500, "{}", answer.body);
        assert_eq!(answer.run.as_deref(), Some("unknown"), "it may have run: {}", answer.body);
    });
}

/// Guards against a router that ignores the `retry-after` of an endpoint: an earlier one sent to it again after 0.5,
/// 1.5 and 3.5 s.
#[test]
fn an_endpoint_gets_no_requests_before_its_retry_after_has_passed() {
    use micaspool::replay::standin::FaultMode;
    task::block_on(async {
        let deployment = Deployment::start(milk(), TOKEN_TIME).await;
        let paused = &deployment.endpoints["acopio-1"];
        paused.set_fault(FaultMode::RetryAfter(5));
        let ask = |number: usize| {
            let call = Call::chat(deployment.router(0), "farm-01", MODEL, &format!("call {number}"), 2, true);
            async move { call.send().await }
        };
        let mut number = 0;
        while paused.retry_after_refusals() == 0 {
            number += 1;
            assert!(number < 200, "the endpoint is not used");
            let group = (0..8).map(|more| ask(number * 8 + more));
            join_all(group).await;
        }
        let asked = Instant::now();
        task::sleep(Duration::from_millis(100)).await;
        let before = paused.retry_after_refusals();
        while asked.elapsed() < Duration::from_millis(4_500) {
            number += 1;
            let answers = join_all((0..8).map(|more| ask(number * 8 + more))).await;
            assert!(answers.iter().all(|answer| answer.as_ref().is_some_and(|answer| answer.status == 200)));
            task::sleep(Duration::from_millis(50)).await;
        }
        assert_eq!(
            paused.retry_after_refusals(),
            before,
            "it got requests before its retry-after had passed"
        );
    });
}
