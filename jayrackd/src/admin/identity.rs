//! Authentication of administration requests.
use base64::{Engine, engine::general_purpose::STANDARD};
use hmac::{Hmac, KeyInit, Mac};
use jayrack_config::record::Role;
use jayrack_protocol::ResultCode;
use sha2::Sha256;

use super::ApiAnswer;
use crate::settings::OperatorSettings;

/// Length of a CSRF token before hexadecimal encoding, in bytes.
const CSRF_TOKEN_BYTES: usize = 16;

/// Sender of an administration request.
#[derive(Clone, PartialEq, Eq)]
pub struct OperatorIdentity {
    /// Name of the team.
    pub team: String,
    /// Role of the token's holder.
    pub role: Role,
    /// Token as sent; `Debug` leaves it out.
    pub token: String,
}

impl std::fmt::Debug for OperatorIdentity {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "OperatorIdentity({}, {:?})", self.team, self.role)
    }
}

/// Returns the operator whose token is in the `Authorization` header, as `Bearer TOKEN` or as the password
/// of `Basic`.
pub fn authenticate(
    operators: &[OperatorSettings],
    header: Option<&str>,
) -> Result<OperatorIdentity, ApiAnswer> {
    let Some(token) = header.and_then(token_of).filter(|token| !token.is_empty()) else {
        return Err(ApiAnswer::refusal(ResultCode::TokenMissing));
    };
    let known = operators
        .iter()
        .find(|operator| is_same_secret(&operator.token, &token));
    let operator = known.ok_or_else(|| ApiAnswer::refusal(ResultCode::TokenInvalid))?;
    Ok(OperatorIdentity {
        team: operator.team.clone(),
        role: operator.role,
        token,
    })
}

/// Returns the CSRF token that proves that a form about `plan` came from a page rendered for the holder of
/// `token`.
pub fn csrf_token(token: &str, plan: &str) -> String {
    let mut mac =
        Hmac::<Sha256>::new_from_slice(token.as_bytes()).expect("HMAC takes keys of any length");
    mac.update(plan.as_bytes());
    let tag = mac.finalize().into_bytes();
    tag[..CSRF_TOKEN_BYTES]
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect()
}

/// Compares two secrets; for equal lengths the time does not depend on where they differ.
pub fn is_same_secret(left: &str, right: &str) -> bool {
    if left.len() != right.len() {
        return false;
    }
    let pairs = left.bytes().zip(right.bytes());
    pairs.fold(0, |difference, (l, r)| difference | (l ^ r)) == 0
}

fn token_of(header: &str) -> Option<String> {
    if let Some(token) = header.strip_prefix("Bearer ") {
        return Some(token.trim().to_string());
    }
    let encoded = header.strip_prefix("Basic ")?;
    let decoded = STANDARD.decode(encoded.trim()).ok()?;
    let text = String::from_utf8(decoded).ok()?;
    text.split_once(':')
        .map(|(_, password)| password.to_string())
}
