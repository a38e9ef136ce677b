//! Hash functions with the same results in every process and version.

/// The offset basis of 64-bit FNV-1a.
const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
/// The prime of 64-bit FNV-1a.
const PRIME: u64 = 0x0000_0100_0000_01b3;

/// Computes the 64-bit FNV-1a hash of the bytes. It is not cryptographic and must not be used on secrets.
pub fn stable_hash(bytes: impl Iterator<Item = u8>) -> u64 {
    bytes.fold(OFFSET_BASIS, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(PRIME))
}

/// Computes the score of a pair of names for rendezvous hashing: each name ranks all others by their scores, and adding
/// or removing a name does not change the order of the rest.
pub fn rendezvous_score(one: &str, other: &str) -> u64 {
    let hash = stable_hash(one.bytes().chain([0]).chain(other.bytes()));
    let mixed = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    mixed ^ (mixed >> 33)
}
