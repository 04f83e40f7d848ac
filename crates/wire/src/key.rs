//! Callers' keys: parsing, salted digests and comparison in constant time.

use base64::Engine as _;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use sha2::{Digest as _, Sha256};
use subtle::ConstantTimeEq as _;

use crate::KeyName;

/// A key as a caller presents it: `<key name>.<secret>`, borrowed from the password.
///
/// It has no `Debug`, so that a secret cannot reach a log line.
#[derive(Clone, Copy)]
pub struct CallerKey<'a> {
    name: &'a str,
    secret: &'a str,
}

/// Why a password is not a key.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("the password is not of the form <key name>.<secret>")]
pub struct KeyFormatError;

impl<'a> CallerKey<'a> {
    /// Splits a password at its last dot.
    ///
    /// ```
    /// use tanagerdeal_wire::key::CallerKey;
    ///
    /// let key = CallerKey::parse("k1.s3cret").unwrap();
    /// assert_eq!(key.name().unwrap().as_str(), "k1");
    /// assert!(CallerKey::parse("no-dot").is_err());
    /// ```
    pub fn parse(password: &'a str) -> Result<Self, KeyFormatError> {
        match password.rsplit_once('.') {
            Some((name, secret)) if !name.is_empty() && !secret.is_empty() => {
                Ok(Self { name, secret })
            }
            _ => Err(KeyFormatError),
        }
    }

    /// The public part.
    pub fn name(&self) -> Result<KeyName, KeyFormatError> {
        KeyName::new(self.name).map_err(|_| KeyFormatError)
    }

    /// Whether the secret matches a stored digest; takes the same time for every wrong secret.
    ///
    /// ```
    /// use tanagerdeal_wire::key::{CallerKey, digest_secret};
    ///
    /// let key = CallerKey::parse("k1.s3cret").unwrap();
    /// assert!(key.matches("salt", &digest_secret("salt", "s3cret")));
    /// assert!(!key.matches("salt", &digest_secret("salt", "other")));
    /// ```
    pub fn matches(&self, salt: &str, digest: &str) -> bool {
        digest_secret(salt, self.secret).as_bytes().ct_eq(digest.as_bytes()).into()
    }
}

/// SHA-256 of salt, a zero byte and secret, in base64 without padding.
///
/// Secrets are random with at least 128 bits, so a slow password hash adds nothing.
///
/// ```
/// assert_eq!(tanagerdeal_wire::key::digest_secret("a", "b").len(), 43);
/// ```
pub fn digest_secret(salt: &str, secret: &str) -> String {
    let mut hasher = Sha256::new();
    hasher.update(salt.as_bytes());
    hasher.update([0]);
    hasher.update(secret.as_bytes());
    URL_SAFE_NO_PAD.encode(hasher.finalize())
}
