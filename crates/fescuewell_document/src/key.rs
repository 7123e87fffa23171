//! Client account keys: hashed for storage, compared in constant time.

use std::sync::Arc;

use subtle::ConstantTimeEq;

/// Length of a stored hash, in hexadecimal digits.
pub const HASH_DIGITS: usize = 64;

/// The stored form of a key: its BLAKE3 hash in hexadecimal digits. Keys are random and long, so that
/// neither salt nor a slow hash is needed; passwords must not be stored this way.
pub fn hash_key(key: &str) -> Arc<str> {
    blake3::hash(key.as_bytes()).to_hex().as_str().into()
}

/// Whether `key` is the one behind the stored `hash`.
///
/// The comparison takes the same time wherever the two differ; a plain one would tell a guesser by its
/// duration how many leading digits are right.
pub fn verify(key: &str, hash: &str) -> bool {
    let given = hash_key(key);
    given.as_bytes().ct_eq(hash.as_bytes()).into()
}

/// Whether `hash` has the form of a stored hash: 64 lower-case hexadecimal digits.
pub fn is_hash(hash: &str) -> bool {
    hash.len() == HASH_DIGITS && hash.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'))
}
