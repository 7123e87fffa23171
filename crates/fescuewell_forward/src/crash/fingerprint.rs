//! Identity of a request over all of its tries.

use std::fmt;

/// Separates this hash from other uses of the same function.
const CONTEXT: &str = "fescuewell request fingerprint 1";
/// Bytes of a fingerprint.
const LENGTH: usize = 16;

/// What makes two tries the same request.
#[derive(Debug, Clone, Copy)]
pub struct Content<'a> {
    /// Name of the client account; empty on a public route. It keeps a caller from producing another account's fingerprints.
    pub account: &'a str,
    /// Method of the request line.
    pub method: &'a str,
    /// Host that the request is for.
    pub host: &'a str,
    /// Path and query, as sent.
    pub target: &'a str,
    /// The whole body.
    pub body: &'a [u8],
}

fescuewell_core::key! {
    /// 128 bits of a hash of a request's [`Content`]; equal on all instances.
    pub struct Fingerprint([u8; LENGTH]);
}

impl Fingerprint {
    /// The fingerprint of a request.
    pub fn new(content: &Content<'_>) -> Self {
        let mut hasher = blake3::Hasher::new_derive_key(CONTEXT);
        let texts = [
            content.account,
            content.method,
            content.host,
            content.target,
        ];
        for text in texts {
            // The length keeps the end of one field from passing for the beginning of the next.
            hasher.update(&(text.len() as u64).to_le_bytes());
            hasher.update(text.as_bytes());
        }
        hasher.update(content.body);
        let mut bytes = [0; LENGTH];
        bytes.copy_from_slice(&hasher.finalize().as_bytes()[..LENGTH]);
        Self(bytes)
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for byte in self.0 {
            write!(formatter, "{byte:02x}")?;
        }
        Ok(())
    }
}
