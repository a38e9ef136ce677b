//! Which waiting connections are served while a server is behind.
//!
//! The load this is made for: one caller opens a thousand connections a second at one server, ten times what its share of a
//! processor serves. Accepted as they come, all of them wait in the server, everyone's answers come later and later, and in
//! the end nobody is answered in time. So a server that is behind takes only as many connections as it keeps up with,
//! shared evenly by the callers' addresses and the newest of each first, since its older ones are the likeliest to have
//! been given up. The others are closed unread, which says to their callers that nothing has run.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::ops::Bound;
use std::time::Duration;

/// A server whose tasks run this much later than they were due is behind.
const BEHIND: Duration = Duration::from_millis(60);
/// One whose tasks run no later than this has caught up.
const CAUGHT_UP: Duration = Duration::from_millis(20);
/// How many connections are taken in the first turn after a server fell behind.
const FIRST_BUDGET: usize = 16;
/// The fewest connections that are taken in a turn.
const LEAST_BUDGET: usize = 1;
/// A server that can take this many in a turn is no longer behind.
const FULL_BUDGET: usize = 64;

/// How many connections a server takes in each turn, as it falls behind and catches up.
#[derive(Debug, Default)]
pub struct TurnBudget {
    /// `None` while the server keeps up and takes whatever comes.
    budget: Option<usize>,
}

impl TurnBudget {
    /// Takes in how late tasks run. The budget halves in each turn in which they are late, and grows by one in each
    /// other.
    pub fn observe(&mut self, lag: Duration) {
        self.budget = match self.budget {
            None if lag < BEHIND => None,
            None => Some(FIRST_BUDGET),
            Some(budget) if lag >= BEHIND => Some((budget / 2).max(LEAST_BUDGET)),
            Some(budget) if lag <= CAUGHT_UP && budget >= FULL_BUDGET => None,
            Some(budget) => Some((budget + 1).min(FULL_BUDGET)),
        };
    }

    /// The most connections that are taken in this turn; `None` for all.
    pub fn get(&self) -> Option<usize> {
        self.budget
    }
}

/// Whose turn it is.
#[derive(Debug, Default)]
pub struct CallerTurns {
    /// The caller that was served last.
    last: Option<IpAddr>,
}

impl CallerTurns {
    /// The places of the connections to serve, of those that wait in this order: `budget` of them, in turns between the
    /// callers' addresses from the one after the last that was served, the newest of each first.
    pub fn served_places(&mut self, waiting: &[IpAddr], budget: usize) -> Vec<usize> {
        let mut by_caller: BTreeMap<IpAddr, Vec<usize>> = BTreeMap::new();
        for (place, caller) in waiting.iter().enumerate() {
            by_caller.entry(*caller).or_default().push(place);
        }
        let mut served = Vec::new();
        while served.len() < budget {
            let Some(caller) = self.next_caller(&by_caller) else { break };
            let places = by_caller.get_mut(&caller).expect("it is one of them");
            served.extend(places.pop());
            if places.is_empty() {
                by_caller.remove(&caller);
            }
            self.last = Some(caller);
        }
        served.sort_unstable();
        served
    }

    /// The first caller after the last that was served, in the order of addresses, else the first of all.
    fn next_caller(&self, by_caller: &BTreeMap<IpAddr, Vec<usize>>) -> Option<IpAddr> {
        let after = self.last.map_or(Bound::Unbounded, Bound::Excluded);
        let next = by_caller.range((after, Bound::Unbounded)).next().or_else(|| by_caller.iter().next());
        next.map(|(caller, _)| *caller)
    }
}
