//! Reading the platform once for a zone: a few entries read it, and the others ask them.
//!
//! The watchers of a reader keep what they read in the [`ZoneCache`], from which the peer service answers.
//! The watchers of the other entries ask through a [`ZoneClient`], and read the platform themselves if no
//! reader answers with recent news.

mod kind_cache;
mod read_times;
mod zone_cache;
mod zone_changes;
mod zone_client;
mod zone_link;
mod zone_request;

pub use kind_cache::KindCache;
pub use read_times::ReadTimes;
pub use zone_cache::ZoneCache;
pub use zone_changes::ZoneChanges;
pub use zone_client::{ZoneClient, ZoneReply};
pub use zone_link::ZoneLink;
pub use zone_request::ZoneRequest;
