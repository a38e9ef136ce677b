//! Requests through all daemons: answers, placement, refusals and malformed HTTP.

mod harness;

use async_std::task;
use futures::future::join_all;
use harness::calls::{Answer, Call};
use harness::{kilns, milk, Deployment};
use std::net::SocketAddr;
use std::time::Duration;

const SHORT_TOKEN_TIME: Duration = Duration::from_millis(1);

/// The data hall of an endpoint in a settings tree.
fn hall_of(tree: &serde_json::Value, endpoint: &str) -> String {
    let services = tree["services"].as_object().expect("services");
    let specs = services.values().filter_map(|service| service["endpoints"].get(endpoint));
    specs
        .map(|spec| spec["hall"].as_str().expect("a hall").to_owned())
        .next()
        .expect("the endpoint is listed")
}

#[test]
fn two_hundred_mixed_requests_get_their_own_complete_answers() {
    task::block_on(async {
        let deployment = Deployment::start(milk(), SHORT_TOKEN_TIME).await;
        let mut customers: Vec<String> = (1..=3).map(|n| format!("coop-{n:02}")).collect();
        customers.extend((1..=12).map(|n| format!("farm-{n:02}")));
        customers.push("planta-01".to_owned());
        let calls = (0..200).map(|number| {
            let customer = &customers[number % customers.len()];
            let router = deployment.router(number % 3);
            let content = format!("question {number} of {customer}");
            let call = match number % 4 {
                0 => Call::chat(router, customer, "modelo-acopio", &content, 40, true),
                1 | 2 => Call::chat(router, customer, "modelo-acopio", &content, 10, false),
                _ => Call::plain(router, customer, "/rutas/horario", &content),
            };
            (customer.clone(), content, number, call)
        });
        let answers = join_all(calls.map(|(customer, content, number, call)| async move {
            (customer, content, number, call.send().await.expect("a complete answer"))
        }));
        for (customer, content, number, answer) in answers.await {
            assert_eq!(answer.status, 200, "{}", answer.body);
            check_answer(&content, number, &answer);
            check_hall(&deployment, &customer, number, &answer);
        }
    });
}

fn check_answer(content: &str, number: usize, answer: &Answer) {
    match number % 4 {
        0 => {
            let expected: String = (1..40).map(|token| format!(" t{token}")).collect();
            assert_eq!(answer.text(), format!("{content}{expected}"));
            assert!(answer.body.ends_with("data: [DONE]\n\n"));
        }
        1 | 2 => assert_eq!(answer.text(), content),
        _ => assert_eq!(answer.body, content),
    }
}

fn check_hall(deployment: &Deployment, customer: &str, number: usize, answer: &Answer) {
    let endpoint = answer.endpoint.as_deref().expect("the endpoint is named");
    let hall = hall_of(&deployment.tree, endpoint);
    let plain = number % 4 == 3;
    match (customer, plain) {
        ("farm-11", _) => assert_eq!(hall, "sala-ubate"),
        ("farm-12", false) => assert_eq!(hall, "sala-tunja"),
        ("farm-12", true) => assert_ne!(hall, "sala-tunja"),
        _ => {}
    }
}

#[test]
fn the_kilns_example_is_served() {
    task::block_on(async {
        let deployment = Deployment::start(kilns(), SHORT_TOKEN_TIME).await;
        let summary = Call::chat(deployment.router(0), "cuenta-01", "mica-hornos", "summary", 5, false);
        let answer = summary.send().await.expect("an answer");
        assert_eq!(answer.text(), "summary");
        assert_eq!(hall_of(&deployment.tree, &answer.endpoint.expect("an endpoint")), "cartago-a");
        let held = Call::plain(deployment.router(1), "school-01", "/agenda/reservas", "slot 7");
        assert_eq!(held.send().await.expect("an answer").body, "slot 7");
    });
}

#[test]
fn refused_requests_name_the_reason_and_reach_no_endpoint() {
    task::block_on(async {
        let mut tree = milk();
        tree["groups"]["small-farms"]["customers"]["farm-01"]["policy"] = serde_json::json!({ "halls": [] });
        tree["services"]["vacia"] = serde_json::json!({ "kind": "model", "endpoints": {} });
        let deployment = Deployment::start(tree, SHORT_TOKEN_TIME).await;
        let router = deployment.router(0);
        let big = "x".repeat(300_000);
        let model = "modelo-acopio";
        let cases = [
            (Call::chat(router, "nobody", model, "a", 1, false), 401, "unknown-key", false),
            (Call::chat(router, "coop-01", "modelo-x", "a", 1, false), 404, "unknown-service", false),
            (Call::plain(router, "coop-01", "/nirgends", "a"), 404, "unknown-service", false),
            (Call::chat(router, "farm-01", model, "a", 1, false), 403, "placement-forbidden", false),
            (Call::plain(router, "coop-01", "/rutas/x", &big), 413, "body-too-large", false),
            (Call::plain(router, "coop-01", "/v1/chat/completions", "{"), 400, "malformed-body", false),
            (Call::chat(router, "coop-01", "vacia", "a", 1, false), 503, "no-endpoint", true),
        ];
        for (call, status, kind, retry) in cases {
            let answer = call.send().await.expect("an answer");
            assert_eq!((answer.status, answer.kind().as_str()), (status, kind));
            assert_eq!(answer.run.as_deref(), Some("not-run"), "{kind}");
            assert_eq!(answer.retry_after.is_some(), retry, "{kind}");
        }
        let runs: usize = deployment.endpoints.values().map(|endpoint| endpoint.runs().len()).sum();
        assert_eq!(runs, 0);
    });
}

#[test]
fn malformed_http_is_rejected_and_reaches_no_endpoint() {
    task::block_on(async {
        let deployment = Deployment::start(milk(), SHORT_TOKEN_TIME).await;
        let router = deployment.router(0);
        let key = "Authorization: Bearer demo-coop-01\r\n";
        let long = format!("POST /rutas/a HTTP/1.1\r\nHost: a\r\nx: {}\r\n\r\n", "y".repeat(40_000));
        let cases = [
            ("garbage\r\n\r\n".to_owned(), "400"),
            (format!("POST /rutas/a HTTP/1.1\r\n{key}Content-Length: 1\r\n\r\na"), "400"),
            (format!("POST /rutas/a HTTP/1.1\r\nHost: a\r\n{key}Content-Length: 1\r\nContent-Length: 2\r\n\r\nab"), "400"),
            (format!("POST /rutas/a HTTP/1.1\r\nHost: a\r\n{key}Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\na"), "400"),
            (format!("POST /rutas/a HTTP/1.1\r\nHost: a\r\n{key}Content-Length: 9\r\n\r\nabc"), "400"),
            (long, "431"),
        ];
        for (text, status) in cases {
            let answer = raw_call(router, text.clone()).await;
            assert!(answer.starts_with(&format!("HTTP/1.1 {status}")), "{text:.60} gave {answer:.200}");
            assert!(answer.contains("micaspool-run"), "{answer}");
        }
        let runs: usize = deployment.endpoints.values().map(|endpoint| endpoint.runs().len()).sum();
        assert_eq!(runs, 0);
    });
}

/// Sends bytes, shuts down the write side, and returns everything that is received.
async fn raw_call(router: SocketAddr, text: String) -> String {
    use async_std::io::{ReadExt, WriteExt};
    let mut stream = async_std::net::TcpStream::connect(router).await.expect("the router listens");
    stream.write_all(text.as_bytes()).await.expect("the router reads");
    let _ = stream.shutdown(std::net::Shutdown::Write);
    let mut answer = String::new();
    let _ = stream.read_to_string(&mut answer).await;
    answer
}
