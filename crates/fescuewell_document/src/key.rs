//! Client account keys, stored as hashes and compared in constant time.

use std::sync::Arc;

use subtle::ConstantTimeEq;

/// Length of a stored hash in hexadecimal digits.
pub const HASH_DIGITS: usize = 64;

/// Returns the stored form of a key: its BLAKE3 hash in hexadecimal digits.
///
/// Keys are long and random, so neither a salt nor a slow hash is needed. Don't use this for passwords.
pub fn hash_key(key: &str) -> Arc<str> {
    blake3::hash(key.as_bytes()).to_hex().as_str().into()
}

/// Returns whether `hash` is the stored hash of `key`.
///
/// The comparison takes constant time. The duration of an ordinary comparison would reveal how many leading
/// digits match.
pub fn verify(key: &str, hash: &str) -> bool {
    let key_hash = hash_key(key);
    key_hash.as_bytes().ct_eq(hash.as_bytes()).into()
}

/// Returns whether `hash` has the format of a stored hash: 64 lower-case hexadecimal digits.
pub fn is_hash(hash: &str) -> bool {
    hash.len() == HASH_DIGITS && hash.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'))
}
