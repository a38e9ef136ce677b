//! The table of requests that endpoints crashed while running.

use crate::options::QuarantineOptions;
use crate::record::{CrashRecord, EndpointCrash};
use crate::standing::RequestStanding;
use micaspool_types::{CustomerName, EndpointName, Moment, RequestDigest};
use std::collections::{BTreeSet, HashMap};
use std::ops::RangeInclusive;
use std::time::Duration;

/// The maximum time between two reports of the same crash of an endpoint. Where the starts of an endpoint share one
/// name, a report after this time is another crash: the endpoint must have restarted to run anything.
const SAME_CRASH_WINDOW: Duration = Duration::from_secs(2);

/// The crash of an endpoint while it ran a request, and the time of the crash.
#[derive(Clone, Debug)]
struct CrashEntry {
    endpoint: EndpointName,
    at: Moment,
}

impl CrashEntry {
    fn is_same_crash(&self, other: &CrashEntry) -> bool {
        let distance = self.at.since(other.at).max(other.at.since(self.at));
        self.endpoint == other.endpoint && distance <= SAME_CRASH_WINDOW
    }
}

/// The crashes on record for one request.
#[derive(Clone, Debug)]
struct RequestEntry {
    customer: CustomerName,
    /// Ordered by time, oldest first.
    crashes: Vec<CrashEntry>,
}

/// The standing of a request before and after a change of its crash record. The two may be equal.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct StandingChange {
    /// The digest of the request.
    pub digest: RequestDigest,
    /// The customer that sent the request.
    pub customer: CustomerName,
    /// The standing before the change.
    pub before: RequestStanding,
    /// The standing after the change.
    pub after: RequestStanding,
}

/// The crashes on record for each request. The number of requests is bounded, in total and per customer.
#[derive(Debug, Default)]
pub struct CrashTable {
    options: QuarantineOptions,
    requests: HashMap<RequestDigest, RequestEntry>,
    /// The requests with more than one crash. Kept separately, because they are few and queried often.
    repeated: BTreeSet<RequestDigest>,
    /// The requests that have a crash of each endpoint on record.
    endpoints: HashMap<EndpointName, BTreeSet<RequestDigest>>,
    /// The number of requests of each customer.
    customers: HashMap<CustomerName, usize>,
}

impl RequestEntry {
    fn newest_crash_at(&self) -> Moment {
        self.crashes.last().map_or(Moment(0), |crash| crash.at)
    }

    fn standing(&self, now: Moment, digest: RequestDigest, options: &QuarantineOptions) -> RequestStanding {
        match (self.crashes.len(), options.quarantine_after(digest, self.crashes.len())) {
            (0, _) => RequestStanding::Clear,
            (_, Some(quarantine)) if now < self.newest_crash_at() + quarantine => {
                RequestStanding::Quarantined { until: self.newest_crash_at() + quarantine }
            }
            (1, None) => RequestStanding::Doubted,
            _ => RequestStanding::Suspected,
        }
    }
}

impl CrashTable {
    /// Creates an empty table.
    pub fn new(options: QuarantineOptions) -> CrashTable {
        CrashTable { options, ..CrashTable::default() }
    }

    /// Returns true if no crash is on record.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Returns true if a crash is on record for a request.
    pub fn contains(&self, digest: RequestDigest) -> bool {
        self.requests.contains_key(&digest)
    }

    /// Returns the standing of a request.
    pub fn standing(&self, now: Moment, digest: RequestDigest) -> RequestStanding {
        let entry = self.requests.get(&digest);
        entry.map(|entry| entry.standing(now, digest, &self.options)).unwrap_or_default()
    }

    /// Returns true if a request is or was quarantined: its next run is a trial.
    pub fn has_reached_limit(&self, digest: RequestDigest) -> bool {
        let entry = self.requests.get(&digest);
        entry.is_some_and(|entry| self.options.quarantine_after(digest, entry.crashes.len()).is_some())
    }

    /// Returns the time of the newest crash on record for a request.
    pub fn newest_crash(&self, digest: RequestDigest) -> Option<Moment> {
        self.requests.get(&digest).map(RequestEntry::newest_crash_at)
    }

    /// Records that an endpoint apparently crashed while running a request.
    pub fn record_crash(
        &mut self,
        now: Moment,
        digest: RequestDigest,
        customer: &CustomerName,
        endpoint: &EndpointName,
    ) -> StandingChange {
        self.add(now, digest, customer, CrashEntry { endpoint: endpoint.clone(), at: now })
    }

    /// Adds the crashes that another process has on record for a request.
    pub fn merge(&mut self, now: Moment, record: &CrashRecord) -> StandingChange {
        let (digest, customer) = (record.digest, record.customer.clone());
        let before = self.standing(now, digest);
        for crash in &record.crashes {
            let age = u64::try_from(crash.age.as_micros()).unwrap_or(u64::MAX);
            let at = Moment(now.0.saturating_sub(age));
            let crash = CrashEntry { endpoint: crash.endpoint.clone(), at };
            self.add(now, digest, &customer, crash);
        }
        StandingChange { digest, customer, before, after: self.standing(now, digest) }
    }

    /// Replaces the crashes on record for a request by those that another process has.
    pub fn replace(&mut self, now: Moment, record: &CrashRecord) {
        self.remove(record.digest);
        self.merge(now, record);
    }

    /// Clears a request, because it ran to completion or an operator lifted its quarantine. Returns `None` if no crash
    /// was on record for it.
    pub fn clear(&mut self, now: Moment, digest: RequestDigest) -> Option<StandingChange> {
        let before = self.standing(now, digest);
        let customer = self.remove(digest)?;
        Some(StandingChange { digest, customer, before, after: RequestStanding::Clear })
    }

    /// Returns true if a crash of an endpoint is on record for any request.
    pub fn has_endpoint(&self, endpoint: &EndpointName) -> bool {
        self.endpoints.contains_key(endpoint)
    }

    /// Retracts the crashes of an endpoint within `window`, because it turned out to be alive. Returns the changed
    /// requests.
    pub fn retract_crashes(
        &mut self,
        now: Moment,
        endpoint: &EndpointName,
        window: &RangeInclusive<Moment>,
    ) -> Vec<StandingChange> {
        let Some(digests) = self.endpoints.get(endpoint).cloned() else { return Vec::new() };
        digests
            .into_iter()
            .filter_map(|digest| self.retract_from_request(now, digest, endpoint, window))
            .collect()
    }

    /// Clears the requests whose newest crash is older than its retention.
    pub fn expire(&mut self, now: Moment) -> Vec<StandingChange> {
        let options = self.options;
        let is_expired = |(digest, entry): &(&RequestDigest, &RequestEntry)| {
            now.since(entry.newest_crash_at()) >= options.retention_after(**digest, entry.crashes.len())
        };
        let expired = self.requests.iter().filter(is_expired).map(|(digest, _)| *digest);
        let mut expired: Vec<RequestDigest> = expired.collect();
        expired.sort_unstable();
        expired.into_iter().filter_map(|digest| self.clear(now, digest)).collect()
    }

    /// Returns the crash record of a request.
    pub fn record(&self, now: Moment, digest: RequestDigest) -> Option<CrashRecord> {
        let entry = self.requests.get(&digest)?;
        let crashes = entry.crashes.iter();
        let crashes =
            crashes.map(|crash| EndpointCrash { endpoint: crash.endpoint.clone(), age: now.since(crash.at) });
        Some(CrashRecord { digest, customer: entry.customer.clone(), crashes: crashes.collect() })
    }

    /// Returns the standing and the crash record of each request with more than one crash, ordered by digest.
    pub fn suspect_records(&self, now: Moment) -> Vec<(RequestStanding, CrashRecord)> {
        let record = |digest: &RequestDigest| Some((self.standing(now, *digest), self.record(now, *digest)?));
        self.repeated.iter().filter_map(record).collect()
    }

    /// Returns the digests of the requests with more than one crash, in ascending order.
    pub fn suspect_digests(&self) -> impl Iterator<Item = RequestDigest> + '_ {
        self.repeated.iter().copied()
    }

    /// Returns true if a prompt part has more than one crash.
    pub fn has_suspected_parts(&self) -> bool {
        let parts = RequestDigest::of_part(0)..=RequestDigest::of_part(u64::MAX);
        self.repeated.range(parts).next().is_some()
    }

    /// Returns the crash records of all requests, ordered by digest.
    pub fn records(&self, now: Moment) -> Vec<CrashRecord> {
        let mut digests: Vec<RequestDigest> = self.requests.keys().copied().collect();
        digests.sort_unstable();
        digests.into_iter().filter_map(|digest| self.record(now, digest)).collect()
    }

    /// Adds a crash to the record of a request, or updates the time of one already recorded.
    fn add(
        &mut self,
        now: Moment,
        digest: RequestDigest,
        customer: &CustomerName,
        crash: CrashEntry,
    ) -> StandingChange {
        let before = self.standing(now, digest);
        if !self.requests.contains_key(&digest) {
            self.evict_if_full(customer);
            *self.customers.entry(customer.clone()).or_default() += 1;
        }
        self.endpoints.entry(crash.endpoint.clone()).or_default().insert(digest);
        let new_entry = || RequestEntry { customer: customer.clone(), crashes: Vec::new() };
        let request = self.requests.entry(digest).or_insert_with(new_entry);
        match request.crashes.iter_mut().find(|other| other.is_same_crash(&crash)) {
            Some(same) => same.at = same.at.max(crash.at),
            None => request.crashes.push(crash),
        }
        request.crashes.sort_by_key(|crash| crash.at);
        if request.crashes.len() > 1 {
            self.repeated.insert(digest);
        }
        StandingChange { digest, customer: customer.clone(), before, after: self.standing(now, digest) }
    }

    /// Makes room for another request of this customer if the customer or the whole table is at its limit. Evicts the
    /// request with the fewest crashes, among these the one whose newest crash is oldest. If the customer is at its
    /// limit, only its own requests are candidates.
    fn evict_if_full(&mut self, customer: &CustomerName) {
        let customer_count = self.customers.get(customer).copied().unwrap_or(0);
        let customer_is_full = customer_count >= self.options.customer_capacity;
        if !customer_is_full && self.requests.len() < self.options.capacity {
            return;
        }
        let candidates =
            self.requests.iter().filter(|(_, entry)| !customer_is_full || entry.customer == *customer);
        let victim =
            candidates.min_by_key(|(digest, entry)| (entry.crashes.len(), entry.newest_crash_at(), **digest));
        if let Some(digest) = victim.map(|(digest, _)| *digest) {
            self.remove(digest);
        }
    }

    /// Removes the crashes of an endpoint within `window` from the record of a request. Returns `None` if there are none.
    fn retract_from_request(
        &mut self,
        now: Moment,
        digest: RequestDigest,
        endpoint: &EndpointName,
        window: &RangeInclusive<Moment>,
    ) -> Option<StandingChange> {
        let before = self.standing(now, digest);
        let entry = self.requests.get_mut(&digest)?;
        let count_before = entry.crashes.len();
        entry.crashes.retain(|crash| crash.endpoint != *endpoint || !window.contains(&crash.at));
        if entry.crashes.len() == count_before {
            return None;
        }
        let is_clear = entry.crashes.is_empty();
        let customer = entry.customer.clone();
        if entry.crashes.len() < 2 {
            self.repeated.remove(&digest);
        }
        if entry.crashes.iter().all(|crash| crash.endpoint != *endpoint) {
            self.unlink_endpoint(endpoint, digest);
        }
        if is_clear {
            self.remove(digest);
        }
        Some(StandingChange { digest, customer, before, after: self.standing(now, digest) })
    }

    /// Removes a request and returns its customer.
    fn remove(&mut self, digest: RequestDigest) -> Option<CustomerName> {
        let entry = self.requests.remove(&digest)?;
        self.repeated.remove(&digest);
        for crash in &entry.crashes {
            self.unlink_endpoint(&crash.endpoint, digest);
        }
        if let Some(count) = self.customers.get_mut(&entry.customer) {
            *count -= 1;
            if *count == 0 {
                self.customers.remove(&entry.customer);
            }
        }
        Some(entry.customer)
    }

    /// Removes a request from the index by endpoint.
    fn unlink_endpoint(&mut self, endpoint: &EndpointName, digest: RequestDigest) {
        if let Some(digests) = self.endpoints.get_mut(endpoint) {
            digests.remove(&digest);
            if digests.is_empty() {
                self.endpoints.remove(endpoint);
            }
        }
    }
}
