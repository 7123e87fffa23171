//! Random bytes from the operating system, for keys, cookies and change ids.

use std::sync::Arc;

use rand::TryRngCore;
use rand::rngs::OsRng;

/// Bytes of a token.
const TOKEN_BYTES: usize = 32;

/// Random bytes.
///
/// # Panics
///
/// When the operating system has no randomness to give; a predictable key would be worse.
pub fn bytes<const COUNT: usize>() -> [u8; COUNT] {
    let mut bytes = [0; COUNT];
    OsRng
        .try_fill_bytes(&mut bytes)
        .expect("the operating system gives random bytes");
    bytes
}

/// A random token of 64 hexadecimal digits.
pub fn token() -> Arc<str> {
    let mut text = String::with_capacity(2 * TOKEN_BYTES);
    for byte in bytes::<TOKEN_BYTES>() {
        text.push_str(&format!("{byte:02x}"));
    }
    text.into()
}
