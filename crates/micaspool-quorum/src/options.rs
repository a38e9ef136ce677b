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
        }
    }
}
