//! Reads whole request bodies within a budget of memory that all requests of a process share.
//!
//! A body is kept until its request has ended, since it may be sent again. Without a budget, as many callers as fit by
//! their number could each send the longest body allowed.

use bytes::{Bytes, BytesMut};
use http_body::Body;
use http_body_util::BodyExt;
use micaspool_memory::{MemoryAccount, MemoryPromise};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

/// The bytes that request bodies may occupy together, within the memory of the process.
#[derive(Clone, Debug)]
pub struct BodyBudget {
    left: Arc<AtomicU64>,
    memory: Arc<MemoryAccount>,
}

/// The largest room that is made for a body before any of it has come, in bytes.
const MAX_EXPECTED_BYTES: u64 = 32 * 1024;

/// A part of a [`BodyBudget`], which is returned when this is dropped.
#[derive(Debug)]
struct BodyReservation {
    budget: BodyBudget,
    bytes: u64,
    /// What the body takes until it was read whole and is measured.
    promises: Vec<MemoryPromise>,
}

/// A whole request body.
#[derive(Debug)]
pub struct HeldBody {
    bytes: Bytes,
    reservation: BodyReservation,
}

/// Why a body was not kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// The body is longer than a single one may be.
    TooLong,
    /// The bodies of other requests occupy the budget.
    NoBudget,
    /// The body broke off or is malformed.
    Broken,
}

impl BodyBudget {
    /// Creates a budget, without a limit on the memory of the process.
    pub fn new(bytes: u64) -> BodyBudget {
        BodyBudget::within(bytes, MemoryAccount::unlimited())
    }

    /// Creates a budget whose bodies must fit into the memory of the process as well.
    pub fn within(bytes: u64, memory: Arc<MemoryAccount>) -> BodyBudget {
        BodyBudget { left: Arc::new(AtomicU64::new(bytes)), memory }
    }

    /// Returns how many bytes are left.
    pub fn left(&self) -> u64 {
        self.left.load(Ordering::Relaxed)
    }

    /// Reads a whole body of at most `limit` bytes. The rest of a body that is not kept is left unread.
    pub async fn read<B>(&self, body: &mut B, limit: u64) -> Result<HeldBody, Error>
    where
        B: Body<Data = Bytes> + Unpin,
    {
        let mut reservation = BodyReservation { budget: self.clone(), bytes: 0, promises: Vec::new() };
        let expected = body.size_hint().exact().unwrap_or_default().min(limit).min(MAX_EXPECTED_BYTES);
        reservation.grow_to(expected)?;
        let mut bytes = BytesMut::with_capacity(usize::try_from(expected).unwrap_or_default());
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| Error::Broken)?;
            let Ok(data) = frame.into_data() else { continue };
            if (bytes.len() + data.len()) as u64 > limit {
                return Err(Error::TooLong);
            }
            reservation.grow_to((bytes.len() + data.len()) as u64)?;
            bytes.extend_from_slice(&data);
            // A body that grows takes up to twice its length.
            reservation.grow_to(bytes.capacity() as u64)?;
        }
        reservation.promises.clear();
        Ok(HeldBody { bytes: bytes.freeze(), reservation })
    }
}

impl BodyReservation {
    /// Takes what the body needs beyond what it has taken.
    fn grow_to(&mut self, bytes: u64) -> Result<(), Error> {
        let more = bytes.saturating_sub(self.bytes);
        if more == 0 {
            return Ok(());
        }
        let promise = self.budget.memory.promise(more).ok_or(Error::NoBudget)?;
        let take = |left: u64| left.checked_sub(more);
        let taken = self.budget.left.fetch_update(Ordering::Relaxed, Ordering::Relaxed, take);
        taken.map_err(|_| Error::NoBudget)?;
        self.promises.push(promise);
        self.bytes += more;
        Ok(())
    }

    fn release(&mut self) {
        let bytes = std::mem::take(&mut self.bytes);
        self.budget.left.fetch_add(bytes, Ordering::Relaxed);
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.release();
    }
}

impl HeldBody {
    /// Frees the content once the request can't be sent again.
    pub fn release(&mut self) {
        self.bytes = Bytes::new();
        self.reservation.release();
    }

    /// Returns the content.
    pub fn bytes(&self) -> &Bytes {
        &self.bytes
    }
}
