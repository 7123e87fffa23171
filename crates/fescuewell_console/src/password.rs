//! Operators' passwords: stored as Argon2 hashes.

use argon2::Argon2;
use argon2::password_hash::{PasswordHash, PasswordHasher, PasswordVerifier, SaltString};

/// Longest password that is hashed, in bytes.
pub const LONGEST_PASSWORD: usize = 256;

/// The stored form of a password, with a random salt; put it into the settings file.
///
/// # Errors
///
/// When the hasher refuses its input; the text says why.
pub fn hash(password: &str) -> Result<String, argon2::password_hash::Error> {
    let salt = SaltString::encode_b64(&crate::random::bytes::<16>())?;
    let hash = Argon2::default().hash_password(password.as_bytes(), &salt)?;
    Ok(hash.to_string())
}

/// Whether `password` is the one behind the stored `hash`; the comparison takes constant time.
pub fn verify(password: &str, hash: &str) -> bool {
    if password.len() > LONGEST_PASSWORD {
        return false;
    }
    let Ok(stored) = PasswordHash::new(hash) else {
        return false;
    };
    let verified = Argon2::default().verify_password(password.as_bytes(), &stored);
    verified.is_ok()
}
