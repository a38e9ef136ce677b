//! The requests that are in doubt.

use crate::options::QuarantineOptions;
use crate::record::{CrashRecord, EndpointCrash};
use crate::standing::RequestStanding;
use micaspool_types::{CustomerName, EndpointName, Moment, RequestDigest};
use std::collections::{BTreeSet, HashMap};
use std::ops::RangeInclusive;
use std::time::Duration;

/// How far apart news of one end of an endpoint are at most. Where endpoints keep their names, one that ends again
/// later has started again in between, or it would not have run anything.
const ONE_END: Duration = Duration::from_secs(2);

/// An endpoint that ended under a request, and when.
#[derive(Clone, Debug)]
struct KnownCrash {
    endpoint: EndpointName,
    at: Moment,
}

impl KnownCrash {
    fn is_same_start(&self, other: &KnownCrash) -> bool {
        let apart = self.at.since(other.at).max(other.at.since(self.at));
        self.endpoint == other.endpoint && apart <= ONE_END
    }
}

#[derive(Clone, Debug)]
struct KnownRequest {
    customer: CustomerName,
    /// The oldest first.
    crashes: Vec<KnownCrash>,
}

/// A request whose record has changed, and how it stood before.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct TableChange {
    /// The request.
    pub digest: RequestDigest,
    /// Whose request it is.
    pub customer: CustomerName,
    /// How it stood.
    pub before: RequestStanding,
    /// How it stands now.
    pub after: RequestStanding,
}

/// Under which requests endpoints ended. Its memory is bounded, in all and for each customer.
#[derive(Debug, Default)]
pub struct CrashTable {
    options: QuarantineOptions,
    requests: HashMap<RequestDigest, KnownRequest>,
    /// Those with more than one crash; few, and asked for often.
    repeated: BTreeSet<RequestDigest>,
    /// The requests that each endpoint ended under.
    endpoints: HashMap<EndpointName, BTreeSet<RequestDigest>>,
    customers: HashMap<CustomerName, usize>,
}

impl KnownRequest {
    fn newest(&self) -> Moment {
        self.crashes.last().map_or(Moment(0), |crash| crash.at)
    }

    fn standing(&self, now: Moment, options: &QuarantineOptions) -> RequestStanding {
        match (self.crashes.len(), options.quarantine_after(self.crashes.len())) {
            (0, _) => RequestStanding::Clear,
            (_, Some(quarantine)) if now < self.newest() + quarantine => {
                RequestStanding::Quarantined { until: self.newest() + quarantine }
            }
            (1, None) => RequestStanding::Doubted,
            _ => RequestStanding::Suspected,
        }
    }
}

impl CrashTable {
    /// An empty table.
    pub fn new(options: QuarantineOptions) -> CrashTable {
        CrashTable { options, ..CrashTable::default() }
    }

    /// True when nothing is held against any request.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// True when something is held against a request.
    pub fn contains(&self, digest: RequestDigest) -> bool {
        self.requests.contains_key(&digest)
    }

    /// How a request stands.
    pub fn standing(&self, now: Moment, digest: RequestDigest) -> RequestStanding {
        let known = self.requests.get(&digest);
        known.map(|known| known.standing(now, &self.options)).unwrap_or_default()
    }

    /// When the newest endpoint ended under a request.
    pub fn newest_crash(&self, digest: RequestDigest) -> Option<Moment> {
        self.requests.get(&digest).map(KnownRequest::newest)
    }

    /// Notes that an endpoint seems to have ended while the request ran there.
    pub fn note_crash(
        &mut self,
        now: Moment,
        digest: RequestDigest,
        customer: &CustomerName,
        endpoint: &EndpointName,
    ) -> TableChange {
        self.add(now, digest, customer, KnownCrash { endpoint: endpoint.clone(), at: now })
    }

    /// Takes in what another process knows of a request; the endpoints add up.
    pub fn merge(&mut self, now: Moment, record: &CrashRecord) -> TableChange {
        let (digest, customer) = (record.digest, record.customer.clone());
        let before = self.standing(now, digest);
        for crash in &record.crashes {
            let age = u64::try_from(crash.age.as_micros()).unwrap_or(u64::MAX);
            let at = Moment(now.0.saturating_sub(age));
            let crash = KnownCrash { endpoint: crash.endpoint.clone(), at };
            self.add(now, digest, &customer, crash);
        }
        TableChange { digest, customer, before, after: self.standing(now, digest) }
    }

    /// Takes the word of another process in place of what was known of a request.
    pub fn replace(&mut self, now: Moment, record: &CrashRecord) {
        self.remove(record.digest);
        self.merge(now, record);
    }

    /// Holds nothing against a request any more, since it ran to its end or an operator says so. `None` when
    /// nothing was held against it.
    pub fn clear(&mut self, now: Moment, digest: RequestDigest) -> Option<TableChange> {
        let before = self.standing(now, digest);
        let customer = self.remove(digest)?;
        Some(TableChange { digest, customer, before, after: RequestStanding::Clear })
    }

    /// True when an endpoint seems to have ended under some request.
    pub fn has_endpoint(&self, endpoint: &EndpointName) -> bool {
        self.endpoints.contains_key(endpoint)
    }

    /// An endpoint that seemed to have ended within `seen` is alive: what was held against requests on its account is
    /// taken back.
    pub fn note_alive(
        &mut self,
        now: Moment,
        endpoint: &EndpointName,
        seen: &RangeInclusive<Moment>,
    ) -> Vec<TableChange> {
        let Some(digests) = self.endpoints.get(endpoint).cloned() else { return Vec::new() };
        digests.into_iter().filter_map(|digest| self.take_back(now, digest, endpoint, seen)).collect()
    }

    /// Forgets what is older than it is remembered.
    pub fn expire(&mut self, now: Moment) -> Vec<TableChange> {
        let options = self.options;
        let is_old =
            |known: &KnownRequest| now.since(known.newest()) >= options.memory_of(known.crashes.len());
        let old = self.requests.iter().filter(|(_, known)| is_old(known)).map(|(digest, _)| *digest);
        let mut old: Vec<RequestDigest> = old.collect();
        old.sort_unstable();
        old.into_iter().filter_map(|digest| self.clear(now, digest)).collect()
    }

    /// What is known of one request.
    pub fn record(&self, now: Moment, digest: RequestDigest) -> Option<CrashRecord> {
        let known = self.requests.get(&digest)?;
        let crashes = known.crashes.iter();
        let crashes =
            crashes.map(|crash| EndpointCrash { endpoint: crash.endpoint.clone(), age: now.since(crash.at) });
        Some(CrashRecord { digest, customer: known.customer.clone(), crashes: crashes.collect() })
    }

    /// What is known of the requests that are suspected or shut out, in the order of their digests.
    pub fn suspects(&self, now: Moment) -> Vec<(RequestStanding, CrashRecord)> {
        let record = |digest: &RequestDigest| Some((self.standing(now, *digest), self.record(now, *digest)?));
        self.repeated.iter().filter_map(record).collect()
    }

    /// The requests that are suspected or shut out.
    pub fn suspected(&self) -> impl Iterator<Item = RequestDigest> + '_ {
        self.repeated.iter().copied()
    }

    /// What is known of all requests, in the order of their digests.
    pub fn records(&self, now: Moment) -> Vec<CrashRecord> {
        let mut digests: Vec<RequestDigest> = self.requests.keys().copied().collect();
        digests.sort_unstable();
        digests.into_iter().filter_map(|digest| self.record(now, digest)).collect()
    }

    fn add(
        &mut self,
        now: Moment,
        digest: RequestDigest,
        customer: &CustomerName,
        crash: KnownCrash,
    ) -> TableChange {
        let before = self.standing(now, digest);
        if !self.requests.contains_key(&digest) {
            self.make_room(customer);
            *self.customers.entry(customer.clone()).or_default() += 1;
        }
        self.endpoints.entry(crash.endpoint.clone()).or_default().insert(digest);
        let fresh = || KnownRequest { customer: customer.clone(), crashes: Vec::new() };
        let known = self.requests.entry(digest).or_insert_with(fresh);
        match known.crashes.iter_mut().find(|other| other.is_same_start(&crash)) {
            Some(same) => same.at = same.at.max(crash.at),
            None => known.crashes.push(crash),
        }
        known.crashes.sort_by_key(|crash| crash.at);
        if known.crashes.len() > 1 {
            self.repeated.insert(digest);
        }
        TableChange { digest, customer: customer.clone(), before, after: self.standing(now, digest) }
    }

    /// Forgets a request of this customer, or of any once the table is full: the one with the fewest crashes,
    /// the oldest of these.
    fn make_room(&mut self, customer: &CustomerName) {
        let own = self.customers.get(customer).copied().unwrap_or(0);
        let owner_is_full = own >= self.options.customer_capacity;
        if !owner_is_full && self.requests.len() < self.options.capacity {
            return;
        }
        let candidates =
            self.requests.iter().filter(|(_, known)| !owner_is_full || known.customer == *customer);
        let least = candidates.min_by_key(|(digest, known)| (known.crashes.len(), known.newest(), **digest));
        if let Some(digest) = least.map(|(digest, _)| *digest) {
            self.remove(digest);
        }
    }

    fn take_back(
        &mut self,
        now: Moment,
        digest: RequestDigest,
        endpoint: &EndpointName,
        seen: &RangeInclusive<Moment>,
    ) -> Option<TableChange> {
        let before = self.standing(now, digest);
        let known = self.requests.get_mut(&digest)?;
        let held = known.crashes.len();
        known.crashes.retain(|crash| crash.endpoint != *endpoint || !seen.contains(&crash.at));
        if known.crashes.len() == held {
            return None;
        }
        let is_clear = known.crashes.is_empty();
        let customer = known.customer.clone();
        if known.crashes.len() < 2 {
            self.repeated.remove(&digest);
        }
        if known.crashes.iter().all(|crash| crash.endpoint != *endpoint) {
            self.forget_endpoint(endpoint, digest);
        }
        if is_clear {
            self.remove(digest);
        }
        Some(TableChange { digest, customer, before, after: self.standing(now, digest) })
    }

    /// Removes a request, and gives whose it was.
    fn remove(&mut self, digest: RequestDigest) -> Option<CustomerName> {
        let known = self.requests.remove(&digest)?;
        self.repeated.remove(&digest);
        for crash in &known.crashes {
            self.forget_endpoint(&crash.endpoint, digest);
        }
        if let Some(count) = self.customers.get_mut(&known.customer) {
            *count -= 1;
            if *count == 0 {
                self.customers.remove(&known.customer);
            }
        }
        Some(known.customer)
    }

    fn forget_endpoint(&mut self, endpoint: &EndpointName, digest: RequestDigest) {
        if let Some(digests) = self.endpoints.get_mut(endpoint) {
            digests.remove(&digest);
            if digests.is_empty() {
                self.endpoints.remove(endpoint);
            }
        }
    }
}
