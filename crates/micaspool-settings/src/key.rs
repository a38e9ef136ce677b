//! Customer keys, which are stored only as SHA-256 digests.

use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// The number of hexadecimal digits of a digest.
const DIGEST_DIGITS: usize = 64;

/// The SHA-256 digest of a customer key.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyDigest([u8; 32]);

impl std::fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}

impl KeyDigest {
    /// Computes the digest of a key as sent by a caller.
    pub fn of(key: &str) -> KeyDigest {
        KeyDigest(Sha256::digest(key.as_bytes()).into())
    }

    /// Parses 64 hexadecimal digits.
    pub fn parse(text: &str) -> Result<KeyDigest, &'static str> {
        let remedy = "give the SHA-256 of the key as 64 hexadecimal digits";
        if text.len() != DIGEST_DIGITS || !text.is_ascii() {
            return Err(remedy);
        }
        let mut bytes = [0; 32];
        for (index, byte) in bytes.iter_mut().enumerate() {
            let digits = &text[index * 2..index * 2 + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_| remedy)?;
        }
        Ok(KeyDigest(bytes))
    }

    /// Returns the digest as 64 hexadecimal digits.
    pub fn to_hex(self) -> String {
        self.0.iter().map(|byte| format!("{byte:02x}")).collect()
    }

    /// Compares two digests in constant time.
    pub fn matches(&self, other: &KeyDigest) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}
