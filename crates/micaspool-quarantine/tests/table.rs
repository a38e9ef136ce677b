//! Standing, retention, eviction and merging of crash records.

use micaspool_quarantine::{CrashRecord, CrashTable, EndpointCrash, QuarantineOptions, RequestStanding};
use micaspool_types::{CustomerName, EndpointName, Moment, RequestDigest};
use rand::seq::SliceRandom;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::time::Duration;
use test_case::test_case;

const DIGEST: RequestDigest = RequestDigest(1);

fn at(seconds: u64) -> Moment {
    Moment::from_millis(100_000_000 + seconds * 1_000)
}

fn customer(name: &str) -> CustomerName {
    CustomerName::parse(name).expect("a name")
}

fn endpoint(number: usize) -> EndpointName {
    EndpointName::parse(&format!("e{number}")).expect("a name")
}

fn table() -> CrashTable {
    CrashTable::new(QuarantineOptions::default())
}

fn crash(table: &mut CrashTable, now: Moment, digest: u128, number: usize) -> RequestStanding {
    table.record_crash(now, RequestDigest(digest), &customer("a"), &endpoint(number)).after
}

#[test_case(&[0] => RequestStanding::Doubted; "one")]
#[test_case(&[0, 0, 0, 0] => RequestStanding::Doubted; "repeated reports of one start")]
#[test_case(&[0, 1] => RequestStanding::Suspected; "two")]
#[test_case(&[0, 1, 2] => RequestStanding::Quarantined { until: at(3_600) }; "three")]
#[test_case(&[0, 1, 2, 3] => RequestStanding::Quarantined { until: at(4 * 3_600) }; "four lead to a longer quarantine")]
fn each_crashed_start_counts_once(numbers: &[usize]) -> RequestStanding {
    let mut table = table();
    let standings = numbers.iter().map(|number| crash(&mut table, at(0), 1, *number));
    standings.last().expect("there are crashes")
}

/// All starts of an endpoint share one name where settings list the endpoints.
#[test_case(&[0, 1, 2] => RequestStanding::Doubted; "three reports of one crash")]
#[test_case(&[0, 5, 10] => RequestStanding::Quarantined { until: at(3_610) }; "three crashes of one endpoint")]
fn later_crashes_of_an_endpoint_with_a_fixed_name_count_again(seconds: &[u64]) -> RequestStanding {
    let mut table = table();
    let standings = seconds.iter().map(|seconds| crash(&mut table, at(*seconds), 1, 0));
    standings.last().expect("there are crashes")
}

#[test]
fn a_crash_after_quarantine_leads_to_a_longer_quarantine() {
    let mut table = table();
    (0..3).for_each(|number| {
        crash(&mut table, at(0), 1, number);
    });
    assert_eq!(table.standing(at(3_599), DIGEST), RequestStanding::Quarantined { until: at(3_600) });
    assert_eq!(table.standing(at(3_600), DIGEST), RequestStanding::Suspected);
    let trial = crash(&mut table, at(3_700), 1, 3);
    assert_eq!(trial, RequestStanding::Quarantined { until: at(3_700 + 4 * 3_600) });
}

#[test_case(1, 1_800; "one crash after half an hour")]
#[test_case(2, 1_800; "two crashes after half an hour")]
#[test_case(3, 7_200; "three crashes after twice the quarantine")]
fn crashes_expire_after_their_retention(crashes: usize, seconds: u64) {
    let mut table = table();
    (0..crashes).for_each(|number| {
        crash(&mut table, at(0), 1, number);
    });
    assert!(table.expire(at(seconds - 1)).is_empty());
    assert_eq!(table.expire(at(seconds)).len(), 1);
    assert!(table.is_empty());
}

#[test]
fn a_live_endpoint_retracts_its_crashes() {
    let mut table = table();
    (0..3).for_each(|number| {
        crash(&mut table, at(number as u64), 1, number);
    });
    assert!(
        table.retract_crashes(at(3), &endpoint(1), &(at(2)..=at(3))).is_empty(),
        "crashes before the window stay"
    );
    let changes = table.retract_crashes(at(3), &endpoint(1), &(at(0)..=at(3)));
    assert_eq!(changes.len(), 1);
    assert_eq!(changes[0].after, RequestStanding::Suspected);
    assert!(!table.has_endpoint(&endpoint(1)));
}

#[test]
fn a_customer_at_its_limit_evicts_only_its_own_requests_with_the_fewest_crashes() {
    let options = QuarantineOptions::builder().capacity(100, 10).build();
    let mut table = CrashTable::new(options);
    table.record_crash(at(0), RequestDigest(1_000), &customer("b"), &endpoint(0));
    (0..3).for_each(|number| {
        crash(&mut table, at(0), 1, number);
    });
    for digest in 2..1_000 {
        crash(&mut table, at(1), digest, 5);
    }
    assert_eq!(table.records(at(1)).len(), 11);
    assert_eq!(table.standing(at(1), RequestDigest(1_000)), RequestStanding::Doubted);
    assert!(matches!(table.standing(at(1), DIGEST), RequestStanding::Quarantined { .. }));
}

#[test]
fn a_full_table_keeps_requests_with_the_most_crashes() {
    let mut table = CrashTable::new(QuarantineOptions::builder().capacity(10, 10).build());
    crash(&mut table, at(0), 1, 0);
    crash(&mut table, at(0), 1, 1);
    for number in 0..50u128 {
        let name = customer(&format!("c{number}"));
        table.record_crash(at(1), RequestDigest(100 + number), &name, &endpoint(3));
    }
    assert_eq!(table.records(at(1)).len(), 10);
    assert_eq!(table.standing(at(1), DIGEST), RequestStanding::Suspected);
}

/// Merging the records of several processes gives the same result in any order and with any repetition.
#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
fn merging_is_independent_of_order_and_repetition(seed: u64) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let record = |number: usize| CrashRecord {
        digest: DIGEST,
        customer: customer("a"),
        crashes: vec![EndpointCrash { endpoint: endpoint(number), age: Duration::from_secs(number as u64) }],
    };
    let mut records: Vec<CrashRecord> = (0..4).chain(0..4).map(record).collect();
    let mut results = (0..20).map(|_| {
        records.shuffle(&mut random);
        let mut table = table();
        for record in &records {
            table.merge(at(10), record);
        }
        table.records(at(10))
    });
    let first = results.next().expect("there are results");
    assert_eq!(first[0].crashes.len(), 4);
    assert!(results.all(|other| other == first));
}

/// A router replaces its own record of a request by the dispatcher's, here by one that clears the request.
#[test]
fn replace_discards_earlier_crashes() {
    let mut table = table();
    crash(&mut table, at(0), 1, 0);
    let cleared = CrashRecord { digest: DIGEST, customer: customer("a"), crashes: Vec::new() };
    table.replace(at(1), &cleared);
    assert!(table.is_empty());
    assert!(!table.has_endpoint(&endpoint(0)));
}
