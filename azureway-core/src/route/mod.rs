//! Where a request goes.

mod candidate;
mod estimate;
mod heat;
mod job;
mod least_loaded;
mod policy;
mod prefix_hash;
mod prefix_load;
mod reach;
mod rendezvous;
mod round_robin;
mod spread;
mod static_split;

pub use candidate::Candidate;
pub use estimate::Estimate;
pub use heat::Heat;
pub use job::Job;
pub use least_loaded::LeastLoaded;
pub use policy::Policy;
pub use prefix_hash::PrefixHash;
pub use prefix_load::PrefixLoad;
pub use reach::Reach;
pub use rendezvous::Rendezvous;
pub use round_robin::RoundRobin;
pub use spread::Spread;
pub use static_split::StaticSplit;

use rendezvous::mix;
