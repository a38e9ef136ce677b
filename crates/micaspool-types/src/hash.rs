//! A hash that is the same in every process and version.

const START: u64 = 0xcbf2_9ce4_8422_2325;
const FACTOR: u64 = 0x0000_0100_0000_01b3;

/// The 64-bit FNV-1a hash of some bytes. Not for secrets.
pub fn stable_hash(bytes: impl Iterator<Item = u8>) -> u64 {
    bytes.fold(START, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(FACTOR))
}

/// The score of a pair of names for rendezvous hashing: each name ranks all others by it, and one that
/// comes or goes changes no order among the rest.
pub fn rendezvous_score(one: &str, other: &str) -> u64 {
    let hash = stable_hash(one.bytes().chain([0]).chain(other.bytes()));
    let mixed = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    mixed ^ (mixed >> 33)
}
