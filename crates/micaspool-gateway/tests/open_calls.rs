//! Tests which customers have more than their even share of the open calls.

use micaspool_gateway::{OpenCall, OpenCalls};
use micaspool_types::CustomerName;
use std::sync::Arc;

fn customer(name: &str) -> CustomerName {
    CustomerName::parse(name).expect("a valid name")
}

fn begin(calls: &Arc<OpenCalls>, name: &str, count: usize) -> Vec<OpenCall> {
    (0..count).map(|_| calls.begin(customer(name))).collect()
}

#[test]
fn a_flood_of_one_customer_leaves_the_others_their_share() {
    let calls = Arc::new(OpenCalls::default());
    let _flood = begin(&calls, "flood", 1_000);
    let _other = begin(&calls, "other", 3);
    assert!(calls.exceeds_even_share(&customer("flood")));
    assert!(!calls.exceeds_even_share(&customer("other")));
    assert!(!calls.exceeds_even_share(&customer("new")));
}

/// What is left belongs to customers that have little, also to those that have nothing yet.
#[test]
fn a_customer_alone_leaves_a_share_to_one_that_comes_later() {
    let calls = Arc::new(OpenCalls::default());
    let first = begin(&calls, "first", 10);
    assert!(calls.exceeds_even_share(&customer("first")));
    let _second = begin(&calls, "second", 4);
    assert!(calls.exceeds_even_share(&customer("first")));
    assert!(!calls.exceeds_even_share(&customer("second")));
    drop(first);
    assert!(!calls.exceeds_even_share(&customer("first")), "nothing of it is open any more");
}
