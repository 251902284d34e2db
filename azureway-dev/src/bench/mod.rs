//! Fleets and requests of configurable size, for the benches and the slopes.

mod fleet_size;
mod router_fixture;

pub use fleet_size::FleetSize;
pub use router_fixture::RouterFixture;
