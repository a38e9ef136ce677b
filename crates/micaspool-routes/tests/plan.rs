//! Validation, lookup and weighted split of a plan.

use micaspool_routes::{
    CallerLimits, CustomerKeys, Error, FormatError, JsonFormat, PlanFormat, PlanParts, RoutePlan, RouteRule,
    RunRule, ServiceRule, ServiceShare,
};
use micaspool_types::{CustomerName, RegionLimit, ServiceName};
use test_case::test_case;

fn service(name: &str) -> ServiceName {
    ServiceName::parse(name).expect("a name")
}

fn route(name: &str, host: &str, prefix: &str) -> RouteRule {
    RouteRule {
        name: name.into(),
        host: host.into(),
        prefix: prefix.into(),
        shares: vec![ServiceShare { service: service("s"), weight: 1 }],
        run: RunRule::Once,
        time_limit_ms: 1_000,
        objective_ms: 100,
        attempts: 1,
        priority: 1,
        public: false,
        pause_ms: 0,
        regions: RegionLimit::Anywhere,
    }
}

fn customer(name: &str, keys: &[&str]) -> CustomerKeys {
    let keys = keys.iter().map(|key| (*key).into()).collect();
    CustomerKeys {
        name: CustomerName::parse(name).expect("a name"),
        keys,
        priority: 1,
        regions: RegionLimit::Anywhere,
    }
}

fn parts() -> PlanParts {
    let rule = ServiceRule {
        name: service("s"),
        health_path: "/health".into(),
        max_connections: 10,
        engine: None,
        cold: None,
    };
    PlanParts {
        routes: vec![route("short", "h.example", "/a/"), route("long", "h.example", "/a/b/")],
        services: vec![rule],
        customers: vec![customer("c1", &["k1", "k2"]), customer("c2", &["k3"])],
        limits: CallerLimits::default(),
        capacity: 0,
    }
}

#[test_case("h.example", "/a/b/c" => Some("long".to_owned()); "longest prefix")]
#[test_case("H.Example:80", "/a/c" => Some("short".to_owned()); "the host is compared without case and port")]
#[test_case("h.example", "/a" => None; "a prefix ends with a slash")]
#[test_case("other.example", "/a/b" => None; "another host")]
fn requests_match_the_longest_prefix_of_their_host(host: &str, path: &str) -> Option<String> {
    let plan = RoutePlan::build(parts()).expect("a valid plan");
    plan.find(host, path).map(|route| route.name.to_string())
}

#[test]
fn invalid_plans_are_rejected() {
    let error_of = |change: &dyn Fn(&mut PlanParts)| {
        let mut parts = parts();
        change(&mut parts);
        RoutePlan::build(parts).expect_err("an invalid plan")
    };
    let duplicate_route = error_of(&|parts| parts.routes[1].prefix = "/a/".into());
    assert_eq!(duplicate_route, Error::DuplicateRoute { route: "long".into() });
    let zero_limit = error_of(&|parts| parts.routes[0].time_limit_ms = 0);
    assert_eq!(zero_limit, Error::ZeroTimeLimit { route: "short".into() });
    let zero_weight = error_of(&|parts| parts.routes[0].shares[0].weight = 0);
    assert_eq!(zero_weight, Error::ZeroWeight { route: "short".into() });
    let unknown = error_of(&|parts| parts.routes[0].shares[0].service = service("x"));
    assert_eq!(unknown, Error::UnknownService { route: "short".into(), service: "x".into() });
    let duplicate_key = error_of(&|parts| parts.customers[1].keys.push("k1".into()));
    assert_eq!(duplicate_key, Error::DuplicateKey { customer: "c2".into() });
}

#[test]
fn requests_are_split_by_weight() {
    let mut rule = route("r", "h", "/");
    rule.shares = vec![
        ServiceShare { service: service("s"), weight: 90 },
        ServiceShare { service: service("t"), weight: 10 },
    ];
    let chosen = (0..10_000)
        .filter(|n| rule.choose_service(&format!("{n:016x}")).is_some_and(|name| name.as_str() == "t"));
    let count = chosen.count();
    assert!((850..1_150).contains(&count), "{count} of 10000");
}

#[test]
fn a_truncated_text_is_malformed() {
    let result = JsonFormat.decode("{\"number\": 3, \"plan\": {\"routes\": [");
    assert!(matches!(result, Err(FormatError::Malformed(_))));
}
