//! Reading a site whose platform lists its backend servers and holds its configuration.
//!
//! One [`SiteWatcher`] for each [`SiteKind`] watches the platform and decodes the objects with the
//! site's [`SiteCodec`]. The [`SiteDuty`] builds one fleet from their updates and sends it to the
//! other duties.

mod change_dates;
mod codec;
mod duty;
mod kind;
mod peer_news;
mod rejected_objects;
mod update;
mod watcher;

pub use codec::SiteCodec;
pub use duty::SiteDuty;
pub use kind::{SITE_CALL_TIMEOUT, SiteKind};
pub use rejected_objects::RejectedObjects;
pub use update::SiteUpdate;
pub use watcher::SiteWatcher;
