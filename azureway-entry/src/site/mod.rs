//! Hearing a site whose platform lists its backend servers and holds its configuration.
//!
//! A [`SiteWatcher`] a kind keeps a watch and reads what it brings by the site's
//! [`SiteCodec`]; the [`SiteDuty`] composes all that was read into one fleet and passes it on.

mod codec;
mod duty;
mod kind;
mod news;
mod watcher;

pub use codec::SiteCodec;
pub use duty::SiteDuty;
pub use kind::SiteKind;
pub use news::SiteNews;
pub use watcher::{SITE_WAIT, SiteWatcher};
