//! The kinds of platform objects that are watched, each by a watcher of its own.

use std::time::Duration;

/// The kinds of objects that a site's platform holds for the system.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SiteKind {
    /// Versions of the configuration.
    Document,
    /// The listed backend servers.
    Servers,
    /// The weights that operators have named.
    Weights,
    /// The quarantined parts of prompts, which the entries store themselves.
    Quarantines,
}

/// The time for which a site's platform may be silent before a call fails. It normally answers in
/// milliseconds.
pub const SITE_CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// The time for which the platform holds a watch call open when nothing changes. It is short enough
/// that a connection that fails silently is noticed within the time limit of a change.
const POLL_TIMEOUT: Duration = Duration::from_secs(2);
/// The same for named weights, whose readers must answer again soon after a change.
const WEIGHTS_TIMEOUT: Duration = Duration::from_secs(1);
/// The same for named weights where each entry reads the platform for itself. Weights count as named since the end
/// of the last watch that reported none, and the time until then is lost to their rollout.
const OWN_WEIGHTS_TIMEOUT: Duration = Duration::from_millis(500);
/// The same for quarantined parts, which peers also tell of. Fewer calls cost less.
const QUARANTINE_TIMEOUT: Duration = Duration::from_secs(5);

/// The time that a watch and the pause before it take beyond the wait, on a machine that is busy.
const OVERDUE_TIME: Duration = Duration::from_millis(600);

impl SiteKind {
    /// Every kind, each of which has a watcher of its own.
    pub const ALL: [Self; 4] = [
        Self::Document,
        Self::Servers,
        Self::Weights,
        Self::Quarantines,
    ];

    /// Returns the time for which the platform holds a watch call open when nothing changes.
    pub const fn poll_timeout(self) -> Duration {
        match self {
            Self::Document | Self::Servers => POLL_TIMEOUT,
            Self::Weights => WEIGHTS_TIMEOUT,
            Self::Quarantines => QUARANTINE_TIMEOUT,
        }
    }

    /// Returns the same where each entry reads the platform for itself.
    pub const fn own_timeout(self) -> Duration {
        match self {
            Self::Weights => OWN_WEIGHTS_TIMEOUT,
            _ => self.poll_timeout(),
        }
    }

    /// Returns the time for which an entry that reads the platform for its zone holds a request open when
    /// nothing changes. Waiting there costs the platform nothing, so it is not as short as some watches.
    pub fn relay_wait(self) -> Duration {
        self.poll_timeout().max(POLL_TIMEOUT)
    }

    /// Returns the time for which an entry that reads the platform for its zone answers by its last watch. A
    /// watch that takes longer may hang, and what it would have reported is missing.
    pub fn relay_limit(self) -> Duration {
        self.relay_wait() + OVERDUE_TIME
    }

    /// Returns the name of the kind in logs and thread names.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Document => "document",
            Self::Servers => "servers",
            Self::Weights => "weights",
            Self::Quarantines => "quarantines",
        }
    }
}
