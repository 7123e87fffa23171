//! Identity of a request across attempts.

use std::fmt;

/// Key derivation context, which separates fingerprints from other hashes.
const CONTEXT: &str = "fescuewell request fingerprint 1";
/// The same for parts of prompts.
const PART_CONTEXT: &str = "fescuewell prompt part fingerprint 1";
/// Bytes of a fingerprint.
const LENGTH: usize = 16;

/// Content that two attempts of the same request share.
#[derive(Debug, Clone, Copy)]
pub struct Content<'a> {
    /// Name of the client account, empty on a public route. Prevents collisions with requests of
    /// other accounts.
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
    /// 128-bit hash of a request's [`Content`] or of a part of a prompt, equal on all instances.
    pub struct Fingerprint([u8; LENGTH]);
}

impl Fingerprint {
    /// Computes the fingerprint of a request.
    pub fn new(content: &Content<'_>) -> Self {
        let mut hasher = blake3::Hasher::new_derive_key(CONTEXT);
        let texts = [
            content.account,
            content.method,
            content.host,
            content.target,
        ];
        hash_texts(&mut hasher, &texts);
        hasher.update(content.body);
        Self::finish(&hasher)
    }

    /// Computes the fingerprint of a part of a prompt by its id, whose letters may be of either case.
    /// The same id is another part for another service or model.
    pub fn of_part(service: &str, model: &str, id: &str) -> Self {
        let mut hasher = blake3::Hasher::new_derive_key(PART_CONTEXT);
        hash_texts(&mut hasher, &[service, model, &id.to_ascii_lowercase()]);
        Self::finish(&hasher)
    }

    fn finish(hasher: &blake3::Hasher) -> Self {
        let mut bytes = [0; LENGTH];
        bytes.copy_from_slice(&hasher.finalize().as_bytes()[..LENGTH]);
        Self(bytes)
    }
}

fn hash_texts(hasher: &mut blake3::Hasher, texts: &[&str]) {
    for text in texts {
        // The length prefix keeps field boundaries unambiguous.
        hasher.update(&(text.len() as u64).to_le_bytes());
        hasher.update(text.as_bytes());
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
