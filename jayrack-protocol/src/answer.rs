//! What an answer of a backend server may look like.

/// Statuses that end an exchange: those below are interim, as no program here asks for an upgrade, and those above are not
/// defined.
const FINAL_STATUSES: std::ops::RangeInclusive<u16> = 200..=599;

/// Whether an HTTP status ends an exchange; an answer with any other one is not passed on.
pub fn is_final_status(status: u16) -> bool {
    FINAL_STATUSES.contains(&status)
}
