//! Which request is served next.

mod admission;
mod fair_queue;
mod queued;

pub use admission::Admission;
pub use fair_queue::FairQueue;
pub use queued::Queued;
