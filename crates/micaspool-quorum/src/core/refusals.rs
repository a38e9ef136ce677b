//! Keepers whose address refuses connections: their process has ended, while their machine runs.
//!
//! A refusal proves nothing, and needs not: what keeps a removal safe is the majority that commits it. It lets the group
//! act before a silence would have told the same.

use super::{QuorumCore, RoleState};
use crate::types::KeeperIdentity;
use micaspool_types::{InstanceName, Moment};
use std::collections::HashMap;
use std::time::Duration;

/// How long a refusal counts without being repeated.
const REFUSAL_VALIDITY: Duration = Duration::from_secs(1);

/// The delay from giving up a leader to the pre-vote of the first voter, and from each voter's to the next one's. A pre-vote
/// and a vote fit in.
const STAND_INTERVAL: Duration = Duration::from_millis(50);

/// The members whose address refuses connections now.
#[derive(Debug, Default)]
pub(super) struct RefusalState {
    by_name: HashMap<InstanceName, Refusal>,
}

#[derive(Debug, Clone, Copy)]
struct Refusal {
    first_at: Moment,
    last_at: Moment,
}

impl RefusalState {
    fn note(&mut self, now: Moment, name: InstanceName) {
        self.by_name.retain(|_, refusal| now.since(refusal.last_at) < REFUSAL_VALIDITY);
        let first = Refusal { first_at: now, last_at: now };
        self.by_name.entry(name).or_insert(first).last_at = now;
    }

    /// Forgets the refusals of a keeper, because a message from it has arrived.
    pub fn clear(&mut self, name: &InstanceName) {
        self.by_name.remove(name);
    }

    /// Returns since when a keeper has been refusing connections.
    fn since(&self, now: Moment, name: &InstanceName) -> Option<Moment> {
        let refusal = self.by_name.get(name)?;
        (now.since(refusal.last_at) < REFUSAL_VALIDITY).then_some(refusal.first_at)
    }
}

impl QuorumCore {
    /// Notes that a member refuses connections. The leader may remove it; a follower whose leader it is stands for election
    /// soon.
    pub(super) fn handle_refused(&mut self, now: Moment, name: InstanceName) {
        if self.log.membership().member_named(&name).is_none() {
            return;
        }
        let is_leader_lost = self.leader.as_ref().is_some_and(|leader| leader.name == name);
        self.refusals.note(now, name);
        match self.role {
            RoleState::Leader(_) => self.update_membership(now),
            _ if is_leader_lost => self.forget_leader(now),
            _ => {}
        }
    }

    /// Gives the leader up and brings the next pre-vote forward. The voters stand one after the other, in the order of their
    /// names, since in an even group without its leader a majority needs the votes of all others.
    fn forget_leader(&mut self, now: Moment) {
        let lost = self.leader.take();
        self.leader_last_contact = None;
        let others = self.log.membership().voters().filter(|voter| Some(*voter) != lost.as_ref());
        let rank = others.filter(|voter| **voter < self.identity).count();
        let delay = STAND_INTERVAL * (1 + u32::try_from(rank).unwrap_or(u32::MAX));
        self.election_deadline = self.election_deadline.min(now + delay);
    }

    /// Returns a voter beyond the target that refuses connections, if a majority of the others has answered since.
    pub(super) fn refusing_voter(&self, now: Moment) -> Option<KeeperIdentity> {
        let RoleState::Leader(state) = &self.role else { return None };
        let membership = self.log.membership();
        let may_go = |voter: &&KeeperIdentity| {
            **voter != self.identity
                && self.refusals.since(now, &voter.name).is_some_and(|since| {
                    state.has_majority_since(since, &self.identity, &membership.without_member(voter))
                })
        };
        membership.voters().find(may_go).filter(|_| self.has_surplus()).cloned()
    }
}
