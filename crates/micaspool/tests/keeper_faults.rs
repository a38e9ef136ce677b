//! Keeper processes that crash, lose their disk, freeze or stop; concurrent settings changes; and calls that may not
//! be repeated.

mod harness;

use async_std::task;
use futures::future::join_all;
use harness::calls::Call;
use harness::{milk, wait_for, Deployment};
use micaspool::wire::v1;
use serde_json::{json, Value};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const SHORT_TOKEN_TIME: Duration = Duration::from_millis(1);
const LONG_TOKEN_TIME: Duration = Duration::from_millis(100);

fn weight_patch(value: u64) -> Value {
    json!({ "policy": { "weight": value } })
}

async fn wait_for_leader(deployment: &Deployment) -> usize {
    wait_for(|| async { deployment.leader().await.is_some() }).await;
    deployment.leader().await.expect("a keeper leads")
}

async fn wait_for_voters(deployment: &Deployment, count: usize) {
    wait_for(|| async {
        let Some(leader) = deployment.leader().await else { return false };
        let state = deployment.state(&deployment.keepers[leader]).await;
        let members = state["members"].as_array().cloned().unwrap_or_default();
        members.iter().filter(|member| member["voter"] == true).count() == count
    })
    .await;
}

#[test]
fn settings_survive_the_loss_of_every_keeper_in_turn() {
    task::block_on(async {
        let mut deployment = Deployment::start(milk(), SHORT_TOKEN_TIME).await;
        let mut revision = 1;
        for number in 0..3 {
            wait_for_voters(&deployment, 3).await;
            deployment.keepers[number] = None;
            std::fs::remove_dir_all(deployment.data_folder(number)).expect("the folder is there");
            deployment.start_keeper(number);
            let patch = weight_patch(10 + number as u64);
            assert_eq!(deployment.apply(&format!("c{number}"), revision, &patch).await, Ok(revision + 1));
            revision += 1;
            wait_for(|| async {
                let state = deployment.state(&deployment.keepers[number]).await;
                state["revision"] == revision && state["confirmed"] == true
            })
            .await;
        }
        wait_for_voters(&deployment, 3).await;
        deployment.wait_for_revision(revision).await;
        for daemon in &deployment.keepers {
            assert_eq!(deployment.state(daemon).await["revision"], revision);
        }
    });
}

#[test]
fn accepted_changes_survive_a_restart_of_all_keepers() {
    task::block_on(async {
        let mut deployment = Deployment::start(milk(), SHORT_TOKEN_TIME).await;
        for number in 0..5 {
            assert_eq!(
                deployment.apply(&format!("c{number}"), 1 + number, &weight_patch(number + 2)).await,
                Ok(2 + number)
            );
        }
        for keeper in &mut deployment.keepers {
            *keeper = None;
        }
        for number in 0..3 {
            deployment.start_keeper(number);
        }
        assert_eq!(deployment.apply("after", 6, &weight_patch(9)).await, Ok(7));
    });
}

#[test]
fn one_of_several_concurrent_changes_wins_and_resends_return_its_outcome() {
    task::block_on(async {
        let deployment = Deployment::start(milk(), SHORT_TOKEN_TIME).await;
        let race = (0..8).map(|number| {
            let deployment = &deployment;
            async move { deployment.apply(&format!("operator-{number}"), 1, &weight_patch(number + 2)).await }
        });
        let outcomes = join_all(race).await;
        assert_eq!(outcomes.iter().filter(|outcome| **outcome == Ok(2)).count(), 1, "{outcomes:?}");
        let winner = outcomes.iter().position(Result::is_ok).expect("one change is accepted");
        for outcome in outcomes.iter().filter(|outcome| outcome.is_err()) {
            let reason = outcome.as_ref().expect_err("the change was rejected");
            assert!(
                reason.contains(&format!("operator-{winner}")),
                "the accepted change is not named: {reason}"
            );
        }
        let again =
            deployment.apply(&format!("operator-{winner}"), 1, &weight_patch(winner as u64 + 2)).await;
        assert_eq!(again, Ok(2), "a resent change returns the first outcome");
        let other = deployment.apply(&format!("operator-{winner}"), 1, &weight_patch(99)).await;
        assert!(other.expect_err("the id was used with other content").contains("conflict"));
        let leader = wait_for_leader(&deployment).await;
        deployment.keepers[leader].as_ref().expect("it runs").signal("STOP");
        let resent =
            deployment.apply(&format!("operator-{winner}"), 1, &weight_patch(winner as u64 + 2)).await;
        assert_eq!(resent, Ok(2), "through another keeper, while the leader is frozen");
        deployment.keepers[leader].as_ref().expect("it runs").signal("CONT");
    });
}

#[test]
fn an_invalid_patch_is_rejected_with_the_paths_of_its_faults() {
    task::block_on(async {
        let deployment = Deployment::start(milk(), SHORT_TOKEN_TIME).await;
        let patch = json!({ "policy": { "weight": 0, "colour": 1 }, "services": { "x": { "kind": "model", "endpoints": { "e": { "hall": "nowhere", "address": "localhost:1", "slots": 1 } } } } });
        let reason = deployment.apply("bad", 1, &patch).await.expect_err("it has faults");
        for part in
            ["policy.weight", "colour", "services.x.endpoints.e.hall", "services.x.endpoints.e.address"]
        {
            assert!(reason.contains(part), "{part} is not named in: {reason}");
        }
        assert_eq!(deployment.apply("good", 1, &weight_patch(2)).await, Ok(2));
    });
}

#[test]
fn a_process_five_hundred_revisions_behind_catches_up() {
    task::block_on(async {
        let mut deployment = Deployment::start(milk(), SHORT_TOKEN_TIME).await;
        deployment.routers[0].as_ref().expect("it runs").signal("STOP");
        deployment.keepers[0].as_ref().expect("it runs").signal("STOP");
        for number in 0..500 {
            let applied =
                deployment.apply(&format!("c{number}"), 1 + number, &weight_patch(1 + number % 50)).await;
            assert_eq!(applied, Ok(2 + number));
        }
        deployment.routers[0].as_ref().expect("it runs").signal("CONT");
        deployment.keepers[0].as_ref().expect("it runs").signal("CONT");
        deployment.routers[1] = None;
        deployment.start_router(1);
        deployment.wait_for_revision(501).await;
        wait_for(|| async { deployment.state(&deployment.keepers[0]).await["revision"] == 501 }).await;
    });
}

/// The first revision that a restarted router uses.
async fn first_revision(deployment: &Deployment, router: usize) -> u64 {
    let address = deployment.routers[router].as_ref().expect("it runs").addresses["status"];
    let revision = || async { harness::calls::state(address).await["revision"].as_u64().unwrap_or(0) };
    wait_for(|| async { revision().await > 0 }).await;
    revision().await
}

#[test]
fn a_router_restarted_beside_a_stale_keeper_loads_the_newest_revision() {
    task::block_on(async {
        let mut deployment = Deployment::start(milk(), SHORT_TOKEN_TIME).await;
        let leader = wait_for_leader(&deployment).await;
        let stale = (leader + 1) % 3;
        deployment.keepers[stale].as_ref().expect("it runs").signal("STOP");
        assert_eq!(deployment.apply("new", 1, &weight_patch(7)).await, Ok(2));
        deployment.wait_for_revision(2).await;
        deployment.routers[0] = None;
        deployment.keepers[stale].as_ref().expect("it runs").signal("CONT");
        deployment.start_router(0);
        assert_eq!(first_revision(&deployment, 0).await, 2);
    });
}

#[test]
fn a_restarted_router_prefers_a_majority_to_a_partitioned_keeper() {
    task::block_on(async {
        let mut deployment = Deployment::prepare(milk(), SHORT_TOKEN_TIME).await;
        deployment.add_relays(2).await;
        deployment.start_daemons().await;
        deployment.set_partitioned(true);
        wait_for(|| async { deployment.state(&deployment.keepers[2]).await["confirmed"] == false }).await;
        assert_eq!(deployment.apply("new", 1, &weight_patch(7)).await, Ok(2));
        // From here on the settings of the router list every keeper directly. The first one that it watches,
        // chosen by its name, is the partitioned one.
        deployment.remote = None;
        deployment.routers[0] = None;
        deployment.start_router(0);
        assert_eq!(first_revision(&deployment, 0).await, 2);
    });
}

#[test]
fn a_change_reaches_all_routers_and_dispatchers_within_fourteen_seconds() {
    task::block_on(async {
        let deployment = Deployment::start(milk(), SHORT_TOKEN_TIME).await;
        let started = Instant::now();
        assert_eq!(deployment.apply("timed", 1, &weight_patch(4)).await, Ok(2));
        deployment.wait_for_revision(2).await;
        assert!(started.elapsed() < Duration::from_secs(14), "{:?}", started.elapsed());
    });
}

/// A call that may not be repeated, with an idempotency key.
fn pickup(deployment: &Deployment, router: usize, key: &str, body: &str) -> Call {
    Call::plain(deployment.router(router), "coop-01", "/rutas/recogidas", body)
        .with_header("idempotency-key", key)
}

#[test]
fn concurrent_calls_with_one_key_through_all_routers_run_once() {
    task::block_on(async {
        let deployment = Deployment::start(milk(), LONG_TOKEN_TIME).await;
        let calls = (0..12).map(|number| pickup(&deployment, number % 3, "k1", "litros 900"));
        let answers = join_all(calls.map(|call| async move { call.send().await.expect("an answer") })).await;
        assert_eq!(deployment.run_count("litros 900"), 1);
        assert_eq!(answers.iter().filter(|answer| answer.status == 200).count(), 1);
        for answer in answers.iter().filter(|answer| answer.status != 200) {
            assert_eq!((answer.status, answer.kind().as_str()), (409, "key-running"));
        }
        let later = pickup(&deployment, 1, "k1", "litros 900").send().await.expect("an answer");
        assert!(later.replayed && later.body == "litros 900");
        let reused = pickup(&deployment, 2, "k1", "litros 1").send().await.expect("an answer");
        assert_eq!((reused.status, reused.run.as_deref()), (422, Some("not-run")));
        assert_eq!(deployment.run_count("litros 900"), 1);
    });
}

#[test]
fn a_call_that_may_not_be_repeated_continues_after_its_caller_disconnects() {
    task::block_on(async {
        let deployment = Deployment::start(milk(), LONG_TOKEN_TIME).await;
        let call = pickup(&deployment, 0, "k2", "litros 5");
        let _ = async_std::future::timeout(Duration::from_millis(150), call.send()).await;
        wait_for(|| async {
            let again = pickup(&deployment, 1, "k2", "litros 5").send().await.expect("an answer");
            again.replayed && again.body == "litros 5"
        })
        .await;
        assert_eq!(deployment.run_count("litros 5"), 1);
    });
}

#[test]
fn a_router_killed_after_the_claim_never_leads_to_a_second_run() {
    task::block_on(async {
        let mut deployment = Deployment::start(milk(), LONG_TOKEN_TIME).await;
        let call = pickup(&deployment, 0, "k3", "litros 7");
        let lost = task::spawn(async move { call.send().await });
        wait_for(|| async { deployment.run_count("litros 7") == 1 }).await;
        deployment.routers[0] = None;
        assert!(lost.await.is_none());
        for _ in 0..5 {
            let again = pickup(&deployment, 1, "k3", "litros 7").send().await.expect("an answer");
            assert_eq!((again.status, again.run.as_deref()), (409, Some("unknown")));
            task::sleep(Duration::from_millis(200)).await;
        }
        assert_eq!(deployment.run_count("litros 7"), 1);
    });
}

#[test]
fn without_a_majority_only_calls_that_may_not_be_repeated_are_refused() {
    task::block_on(async {
        let mut deployment = Deployment::start(milk(), SHORT_TOKEN_TIME).await;
        deployment.keepers[0] = None;
        deployment.keepers[1] = None;
        let refused = pickup(&deployment, 0, "k4", "litros 8").send().await.expect("an answer");
        assert_eq!((refused.status, refused.kind().as_str()), (503, "no-ledger"));
        assert_eq!(refused.run.as_deref(), Some("not-run"));
        assert_eq!(deployment.run_count("litros 8"), 0);
        let served =
            Call::chat(deployment.router(1), "farm-01", "modelo-acopio", "still", 2, false).send().await;
        assert_eq!(served.expect("an answer").text(), "still");
        deployment.start_keeper(0);
        wait_for(|| async {
            pickup(&deployment, 0, "k4", "litros 8").send().await.expect("an answer").status == 200
        })
        .await;
        assert_eq!(deployment.run_count("litros 8"), 1);
    });
}

#[test]
fn claims_continue_after_the_loss_of_the_leader() {
    task::block_on(async {
        let mut deployment = Deployment::start(milk(), SHORT_TOKEN_TIME).await;
        for number in 0..30 {
            if number == 10 {
                let leader = wait_for_leader(&deployment).await;
                deployment.keepers[leader].as_mut().expect("it runs").kill();
            }
            let body = format!("tank {number}");
            let key = format!("t{number}");
            wait_for(|| async {
                let answer = pickup(&deployment, number % 3, &key, &body).send().await.expect("an answer");
                if answer.status != 200 {
                    // If the test fails, its output shows why the claim was refused.
                    eprintln!("{key}: {} {}", answer.status, answer.body);
                }
                answer.status == 200
            })
            .await;
            assert_eq!(deployment.run_count(&body), 1);
        }
    });
}

#[test]
fn a_planned_stop_of_a_keeper_cuts_nothing() {
    task::block_on(async {
        let mut deployment = Deployment::start(milk(), LONG_TOKEN_TIME).await;
        let refused: Arc<Mutex<Vec<String>>> = Arc::default();
        let calls: Vec<_> = (0..12)
            .map(|number| pickup(&deployment, number % 3, &format!("s{number}"), &format!("stop {number}")))
            .map(|call| {
                let refused = refused.clone();
                task::spawn(async move {
                    let answer = call.send().await.expect("an answer");
                    if answer.status != 200 {
                        refused.lock().expect("not poisoned").push(answer.body.clone());
                    }
                    answer
                })
            })
            .collect();
        wait_for(|| async {
            assert_eq!(*refused.lock().expect("not poisoned"), [""; 0], "refused before the stop");
            deployment.run_count("stop 0") == 1
        })
        .await;
        let leader = wait_for_leader(&deployment).await;
        let daemon = deployment.keepers[leader].as_mut().expect("it runs");
        daemon.signal("TERM");
        assert_eq!(daemon.wait(Duration::from_secs(10)), Some(0));
        for answer in join_all(calls).await {
            assert_eq!(answer.status, 200, "{}", answer.body);
        }
    });
}

#[test]
fn an_operator_can_recover_a_group_that_lost_two_disks() {
    task::block_on(async {
        let mut deployment = Deployment::start(milk(), SHORT_TOKEN_TIME).await;
        assert_eq!(deployment.apply("kept", 1, &weight_patch(3)).await, Ok(2));
        wait_for(|| async { deployment.state(&deployment.keepers[2]).await["revision"] == 2 }).await;
        for number in 0..2 {
            deployment.keepers[number] = None;
            std::fs::remove_dir_all(deployment.data_folder(number)).expect("the folder is there");
            deployment.start_keeper(number);
        }
        let address = format!("{}:7603", deployment.ip).parse().expect("an address");
        let mut keeper = deployment.client.client(address).await.expect("the keeper runs");
        let reply = keeper.recover(v1::RecoverRequest { operator: "test".to_owned() }).await;
        assert!(reply.is_ok());
        wait_for_voters(&deployment, 3).await;
        assert_eq!(deployment.apply("after", 2, &weight_patch(4)).await, Ok(3));
    });
}
