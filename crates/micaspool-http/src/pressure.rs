//! Selects which pending connections an overloaded server serves.
//!
//! This handles a flood such as a single caller that opens a thousand connections a second at one server, ten times
//! what the server's share of a processor can serve. If all of them were accepted, they would queue in the server and
//! response times would grow for every caller until none is answered in time. An overloaded server therefore serves
//! only as many connections as it can keep up with. They are shared evenly between the callers' addresses, the newest
//! connection of each address first, because older ones are more likely to have been given up. The others are closed
//! unread, which tells their callers that no request has run.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::ops::Bound;
use std::time::Duration;

/// A server is overloaded if its tasks run at least this much late.
const OVERLOAD_LAG: Duration = Duration::from_millis(60);
/// A server has recovered if its tasks run at most this much late.
const RECOVERED_LAG: Duration = Duration::from_millis(20);
/// The budget of the first round after a server became overloaded.
const INITIAL_BUDGET: usize = 16;
/// The smallest budget of a round.
const MIN_BUDGET: usize = 1;
/// A recovered server whose budget has reached this is no longer limited.
const MAX_BUDGET: usize = 64;

/// Limits the number of connections that a server accepts in each round, based on its scheduling lag.
#[derive(Debug, Default)]
pub struct RoundBudget {
    /// `None` while the server is not overloaded and accepts every connection.
    budget: Option<usize>,
}

impl RoundBudget {
    /// Updates the budget from the lag of the last round. It halves in each round in which tasks run late, and grows
    /// by one in every other round.
    pub fn observe(&mut self, lag: Duration) {
        self.budget = match self.budget {
            None if lag < OVERLOAD_LAG => None,
            None => Some(INITIAL_BUDGET),
            Some(budget) if lag >= OVERLOAD_LAG => Some((budget / 2).max(MIN_BUDGET)),
            Some(budget) if lag <= RECOVERED_LAG && budget >= MAX_BUDGET => None,
            Some(budget) => Some((budget + 1).min(MAX_BUDGET)),
        };
    }

    /// Returns the maximum number of connections to accept in this round, or `None` for no limit.
    pub fn get(&self) -> Option<usize> {
        self.budget
    }
}

/// Round-robin over the addresses of callers.
#[derive(Debug, Default)]
pub struct CallerRotation {
    /// The address that was served last.
    last: Option<IpAddr>,
}

impl CallerRotation {
    /// Returns the indices into `waiting` of the connections to serve, in ascending order: at most `budget` of them,
    /// round-robin over the callers' addresses, starting after the address served last, newest connection first.
    /// `waiting` lists the connections from oldest to newest.
    pub fn select_served(&mut self, waiting: &[IpAddr], budget: usize) -> Vec<usize> {
        let mut by_caller: BTreeMap<IpAddr, Vec<usize>> = BTreeMap::new();
        for (index, caller) in waiting.iter().enumerate() {
            by_caller.entry(*caller).or_default().push(index);
        }
        let mut served = Vec::new();
        while served.len() < budget {
            let Some(caller) = self.next_caller(&by_caller) else { break };
            let indices = by_caller.get_mut(&caller).expect("`caller` is a key of the map");
            served.extend(indices.pop());
            if indices.is_empty() {
                by_caller.remove(&caller);
            }
            self.last = Some(caller);
        }
        served.sort_unstable();
        served
    }

    /// Returns the first address after the one served last, in ascending order, wrapping around at the end.
    fn next_caller(&self, by_caller: &BTreeMap<IpAddr, Vec<usize>>) -> Option<IpAddr> {
        let after = self.last.map_or(Bound::Unbounded, Bound::Excluded);
        let next = by_caller.range((after, Bound::Unbounded)).next().or_else(|| by_caller.iter().next());
        next.map(|(caller, _)| *caller)
    }
}
