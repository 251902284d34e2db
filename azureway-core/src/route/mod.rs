//! Routing policies and the estimates that they choose a backend server by.

mod candidate;
mod decaying_peak;
mod estimate;
mod least_loaded;
mod locality;
mod policy;
mod prefix_hash;
mod prefix_load;
mod rendezvous;
mod replica_scaler;
mod request_profile;
mod round_robin;
mod static_split;
mod transfer;

pub use candidate::Candidate;
pub use decaying_peak::DecayingPeak;
pub use estimate::Estimate;
pub use least_loaded::LeastLoaded;
pub use locality::Locality;
pub use policy::Policy;
pub use prefix_hash::PrefixHash;
pub use prefix_load::PrefixLoad;
pub use rendezvous::Rendezvous;
pub use replica_scaler::ReplicaScaler;
pub use request_profile::RequestProfile;
pub use round_robin::RoundRobin;
pub use static_split::StaticSplit;
pub use transfer::Transfer;

use rendezvous::mix;
