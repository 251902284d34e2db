//! What benches and slopes share: fleets and requests of any size.

mod fleet_size;
mod router_fixture;

pub use fleet_size::FleetSize;
pub use router_fixture::RouterFixture;
