//! Timeouts, limits and membership rules of the replicated log.

use micaspool_types::InstanceName;
use std::time::Duration;

/// Options of a [`QuorumCore`](crate::QuorumCore). The default timeouts suit data halls that are
/// about half a millisecond apart.
#[derive(Clone, Debug)]
pub struct QuorumOptions {
    /// The keepers that the settings of this process list, including this one.
    pub configured: Vec<InstanceName>,
    /// The minimum time without contact with a leader before an election starts; each timeout is
    /// drawn at random between this and twice as much. A leader that has had no contact with a
    /// majority for this long steps down.
    pub election_timeout: Duration,
    /// The interval of heartbeats from the leader to each member.
    pub heartbeat: Duration,
    /// The interval at which a keeper that is not a voter announces itself.
    pub announce_interval: Duration,
    /// The maximum number of entries in one message.
    pub max_batch: usize,
    /// Whether this keeper may form the first group with the configured keepers. False for a keeper
    /// that starts in a fleet that has run before: it waits until a leader admits it.
    pub may_form_group: bool,
    /// Rules for membership changes without an operator. With `None`, only configured keepers are
    /// admitted, and a member leaves only by an operator's order.
    pub open_group: Option<OpenGroupOptions>,
}

/// Rules for membership changes without an operator.
#[derive(Clone, Copy, Debug)]
pub struct OpenGroupOptions {
    /// The number of voters down to which unreachable voters are removed without a replacement.
    /// At or below it, a voter is removed only when a caught-up learner can replace it.
    pub target_voters: usize,
    /// How long a voter must be unreachable before a caught-up learner replaces it.
    pub replace_after: Duration,
    /// How long a voter in excess of `target_voters` must be unreachable before it is removed.
    pub drop_after: Duration,
}

impl OpenGroupOptions {
    /// Returns the defaults for a group that tolerates this many simultaneous failures. A majority
    /// survives `n` failures only among `2 * n + 1` voters.
    pub fn tolerating(failures: usize) -> OpenGroupOptions {
        OpenGroupOptions {
            target_voters: 2 * failures + 1,
            replace_after: Duration::from_secs(1),
            drop_after: Duration::from_secs(1),
        }
    }
}

impl QuorumOptions {
    /// Returns the defaults for a group of the `configured` keepers.
    pub fn new(configured: Vec<InstanceName>) -> QuorumOptions {
        QuorumOptions {
            configured,
            election_timeout: Duration::from_millis(500),
            heartbeat: Duration::from_millis(100),
            announce_interval: Duration::from_millis(100),
            max_batch: 256,
            may_form_group: true,
            open_group: None,
        }
    }
}
