//! Request bodies that are read into a shared budget of memory.

use async_std::task::block_on;
use bytes::Bytes;
use futures::stream;
use http_body::Frame;
use http_body_util::{Full, StreamBody};
use micaspool_http::body::{BodyBudget, Error, HeldBody};
use micaspool_memory::{MemoryAccount, MemoryGauge};
use std::sync::Arc;

const LIMIT: u64 = 1_000;

fn read(budget: &BodyBudget, bytes: usize) -> Result<HeldBody, Error> {
    block_on(budget.read(&mut Full::new(Bytes::from(vec![7; bytes])), LIMIT))
}

#[test]
fn a_body_occupies_its_length_until_it_is_dropped() {
    let budget = BodyBudget::new(2_000);
    let held = read(&budget, 600).expect("within the limits");
    assert_eq!((held.bytes().len(), budget.left()), (600, 1_400));
    drop(held);
    assert_eq!(budget.left(), 2_000);
}

#[test]
fn a_released_body_occupies_nothing() {
    let budget = BodyBudget::new(2_000);
    let mut held = read(&budget, 600).expect("within the limits");
    held.release();
    assert_eq!((held.bytes().len(), budget.left()), (0, 2_000));
    drop(held);
    assert_eq!(budget.left(), 2_000);
}

/// Guards against bodies without a length that grow beyond the memory of the process.
#[test]
fn a_growing_body_must_fit_into_the_memory_of_the_process() {
    #[derive(Debug)]
    struct NoneInUse;
    impl MemoryGauge for NoneInUse {
        fn bytes_in_use(&self) -> u64 {
            0
        }
    }
    let memory = MemoryAccount::new(500, Arc::new(NoneInUse));
    let budget = BodyBudget::within(2_000, memory.clone());
    let parts = (0..9).map(|_| Ok::<_, &str>(Frame::data(Bytes::from(vec![7; 100]))));
    let mut body = StreamBody::new(stream::iter(parts));
    assert_eq!(block_on(budget.read(&mut body, LIMIT)).err(), Some(Error::NoBudget));
    assert_eq!((memory.state().promised, budget.left()), (0, 2_000));
    let held = read(&budget, 400).expect("within the limits");
    assert_eq!((memory.state().promised, held.bytes().len()), (0, 400), "a whole body is measured");
}

#[test]
fn a_body_beyond_the_limit_of_one_occupies_nothing() {
    let budget = BodyBudget::new(2_000);
    assert_eq!(read(&budget, 1_001).err(), Some(Error::TooLong));
    assert_eq!(budget.left(), 2_000);
}

/// Guards against a process that bounds the number of callers but not what each of them sends.
#[test]
fn a_thousand_long_bodies_occupy_no_more_than_the_budget() {
    let budget = BodyBudget::new(20_000);
    let held: Vec<HeldBody> = (0..1_000).filter_map(|_| read(&budget, 900).ok()).collect();
    assert_eq!(held.len(), 22);
    assert_eq!(read(&budget, 900).err(), Some(Error::NoBudget));
    assert_eq!(read(&budget, 200).map(|body| body.bytes().len()), Ok(200), "a short one still fits");
}

#[test]
fn a_body_that_breaks_off_is_not_kept() {
    let budget = BodyBudget::new(2_000);
    let parts = [Ok(Frame::data(Bytes::from_static(b"part"))), Err("broke off")];
    let mut body = StreamBody::new(stream::iter(parts));
    assert_eq!(block_on(budget.read(&mut body, LIMIT)).err(), Some(Error::Broken));
    assert_eq!(budget.left(), 2_000);
}
