//! Session tokens: signed watermarks that a caller carries between hosts.

use base64::Engine as _;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use hmac::{Hmac, Mac as _};
use sha2::Sha256;

use crate::member::LogPosition;
use crate::{CustomerName, GroupName};

/// Bytes of the HMAC-SHA256 tag that a token carries.
const TAG_BYTES: usize = 16;

/// Longest token text accepted, in bytes; 64 groups of the longest name fit.
pub const MAX_TOKEN_BYTES: usize = 8192;

wire_type! {
    /// Watermarks of a session: its writes are contained in these positions.
    pub struct SessionToken {
        /// Customer the token was issued to.
        pub customer: CustomerName,
        /// One watermark per group the session has written to or read from.
        pub watermarks: Vec<GroupWatermark>,
    }

    /// Watermark of one group.
    pub struct GroupWatermark {
        /// The group.
        pub group: GroupName,
        /// Least position that a read of the session must contain.
        pub position: LogPosition,
    }
}

/// Why a token was refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum TokenError {
    /// The text is too long or not base64 of a token.
    #[error("the session token is malformed")]
    Malformed,
    /// The signature does not match.
    #[error("the session token was not issued by this fleet")]
    Forged,
    /// The token belongs to another customer.
    #[error("the session token was issued to another customer")]
    Foreign,
}

impl SessionToken {
    /// Encodes and signs the token with the fleet's secret.
    ///
    /// ```
    /// use tanagerdeal_wire::CustomerName;
    /// use tanagerdeal_wire::token::SessionToken;
    ///
    /// let customer = CustomerName::new("quarry").unwrap();
    /// let token = SessionToken { customer: customer.clone(), watermarks: Vec::new() };
    /// let text = token.seal(b"secret");
    /// assert_eq!(SessionToken::open(&text, b"secret", &customer).unwrap(), token);
    /// assert!(SessionToken::open(&text, b"other", &customer).is_err());
    /// ```
    pub fn seal(&self, secret: &[u8]) -> String {
        let mut bytes = postcard::to_stdvec(self).unwrap_or_default();
        let tag = sign(secret, &bytes);
        bytes.extend_from_slice(&tag[..TAG_BYTES]);
        URL_SAFE_NO_PAD.encode(bytes)
    }

    /// Decodes a token and checks its signature and customer.
    pub fn open(text: &str, secret: &[u8], customer: &CustomerName) -> Result<Self, TokenError> {
        if text.len() > MAX_TOKEN_BYTES {
            return Err(TokenError::Malformed);
        }
        let bytes = URL_SAFE_NO_PAD.decode(text).map_err(|_| TokenError::Malformed)?;
        let split = bytes.len().checked_sub(TAG_BYTES).ok_or(TokenError::Malformed)?;
        let (body, tag) = bytes.split_at(split);
        let mut mac = keyed(secret);
        mac.update(body);
        mac.verify_truncated_left(tag).map_err(|_| TokenError::Forged)?;
        let token: Self = postcard::from_bytes(body).map_err(|_| TokenError::Malformed)?;
        match token.customer == *customer {
            true => Ok(token),
            false => Err(TokenError::Foreign),
        }
    }
}

fn keyed(secret: &[u8]) -> Hmac<Sha256> {
    Hmac::new_from_slice(secret).expect("HMAC-SHA256 takes a key of any length")
}

fn sign(secret: &[u8], body: &[u8]) -> [u8; 32] {
    let mut mac = keyed(secret);
    mac.update(body);
    mac.finalize().into_bytes().into()
}
