//! The HTTP status codes of refusals.

use azureway_core::prelude::RefusalReason;

/// Returns the HTTP status code for a refusal reason.
pub const fn status_of(reason: RefusalReason) -> u16 {
    match reason {
        RefusalReason::Malformed => 400,
        RefusalReason::Unauthorized => 401,
        RefusalReason::UnknownService => 404,
        RefusalReason::TooSlow => 408,
        RefusalReason::Duplicate => 409,
        RefusalReason::TooLarge => 413,
        RefusalReason::Quarantined => 422,
        RefusalReason::AccountLimit => 429,
        RefusalReason::HeadTooLarge => 431,
        RefusalReason::ServerFailed | RefusalReason::StreamBroken => 502,
        RefusalReason::Overloaded
        | RefusalReason::NoServer
        | RefusalReason::ClaimUnavailable
        | RefusalReason::Draining => 503,
        RefusalReason::Deadline => 504,
    }
}
