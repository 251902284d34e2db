//! Orders to backend servers, and the lease that permits an instance to give them.

mod lease_body;
mod order_body;

pub use lease_body::LeaseBody;
pub use order_body::OrderBody;

/// The kind of the objects that hold leases.
pub const LEASE_KIND: &str = "lease";
