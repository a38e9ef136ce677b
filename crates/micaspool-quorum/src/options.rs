//! Times and sizes of the replicated log.

use micaspool_types::InstanceName;
use std::time::Duration;

/// Times and sizes; the defaults suit data halls about half a millisecond apart.
#[derive(Clone, Debug)]
pub struct QuorumOptions {
    /// The instances that the settings of this process list as keepers, this one included.
    pub configured: Vec<InstanceName>,
    /// The shortest time without a leader before an election; the longest is twice that. A
    /// leader that heard no majority for this long steps down.
    pub election_timeout: Duration,
    /// How often a leader speaks to each member.
    pub heartbeat: Duration,
    /// How often a keeper without a group announces itself.
    pub announce_interval: Duration,
    /// The most entries in one message.
    pub max_batch: usize,
    /// Whether this keeper may form the first group with the configured ones. False for one that
    /// starts in a fleet that ran before: it waits to be let in.
    pub may_form: bool,
    /// `None`: only configured keepers come in, and members leave by an operator's order alone.
    pub open_group: Option<OpenGroupOptions>,
}

/// How a group changes without an operator.
#[derive(Clone, Copy, Debug)]
pub struct OpenGroupOptions {
    /// The number of voters below which no silent voter is dropped, unless a caught-up newcomer
    /// takes its place.
    pub target_voters: usize,
    /// How long a voter must be silent before a newcomer takes its place.
    pub replace_after: Duration,
    /// How long a voter above the target number must be silent before it is dropped.
    pub drop_after: Duration,
}

impl OpenGroupOptions {
    /// The defaults for a fleet that bears the loss of this many keepers at once: twice as many
    /// and one are needed for a majority to stay.
    pub fn tolerating(failures: usize) -> OpenGroupOptions {
        OpenGroupOptions {
            target_voters: 2 * failures + 1,
            replace_after: Duration::from_millis(1_500),
            drop_after: Duration::from_secs(3),
        }
    }
}

impl QuorumOptions {
    /// The defaults for these keepers.
    pub fn new(configured: Vec<InstanceName>) -> QuorumOptions {
        QuorumOptions {
            configured,
            election_timeout: Duration::from_millis(500),
            heartbeat: Duration::from_millis(100),
            announce_interval: Duration::from_millis(100),
            max_batch: 256,
            may_form: true,
            open_group: None,
        }
    }
}
