//! The reasons for refusals, their codes and the delay before a retry.

use std::time::Duration;

/// The delay before a retry after a refusal whose cause is temporary.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Why a request was refused, with a stable code for callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum RefusalReason {
    /// The request violates the interface.
    Malformed,
    /// The API key is unknown.
    Unauthorized,
    /// The named service does not exist.
    UnknownService,
    /// The request body is larger than the entry accepts.
    TooLarge,
    /// The request head is larger than the entry accepts.
    HeadTooLarge,
    /// The request did not arrive in full within the time limit.
    TooSlow,
    /// The deadline has passed or cannot be met.
    Deadline,
    /// The client account has used up its rate limit.
    AccountLimit,
    /// The entry holds as many requests as it can.
    Overloaded,
    /// No backend server can take the request.
    NoServer,
    /// Requests with the same content have crashed backend servers.
    Quarantined,
    /// A request with the same idempotency key is running or has run.
    Duplicate,
    /// The platform cannot be asked whether the request has run before.
    ClaimUnavailable,
    /// The instance is shutting down.
    Draining,
    /// The backend server failed after the request may have started.
    ServerFailed,
    /// The stream broke and could not be resumed.
    StreamBroken,
}

impl RefusalReason {
    /// All reasons.
    pub const ALL: [Self; 16] = [
        Self::Malformed,
        Self::Unauthorized,
        Self::UnknownService,
        Self::TooLarge,
        Self::HeadTooLarge,
        Self::TooSlow,
        Self::Deadline,
        Self::AccountLimit,
        Self::Overloaded,
        Self::NoServer,
        Self::Quarantined,
        Self::Duplicate,
        Self::ClaimUnavailable,
        Self::Draining,
        Self::ServerFailed,
        Self::StreamBroken,
    ];

    /// Returns the delay before a retry, if the cause of the refusal is temporary.
    pub const fn retry_after(self) -> Option<Duration> {
        match self {
            Self::Overloaded
            | Self::NoServer
            | Self::AccountLimit
            | Self::ClaimUnavailable
            | Self::Draining => Some(RETRY_AFTER),
            _ => None,
        }
    }

    /// Returns the stable code that callers receive.
    pub const fn code(self) -> &'static str {
        match self {
            Self::Malformed => "malformed",
            Self::Unauthorized => "unauthorized",
            Self::UnknownService => "unknown_service",
            Self::TooLarge => "too_large",
            Self::HeadTooLarge => "head_too_large",
            Self::TooSlow => "too_slow",
            Self::Deadline => "deadline",
            Self::AccountLimit => "account_limit",
            Self::Overloaded => "overloaded",
            Self::NoServer => "no_server",
            Self::Quarantined => "quarantined",
            Self::Duplicate => "duplicate",
            Self::ClaimUnavailable => "claim_unavailable",
            Self::Draining => "draining",
            Self::ServerFailed => "server_failed",
            Self::StreamBroken => "stream_broken",
        }
    }
}
