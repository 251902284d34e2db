//! What benches and slopes share: fleets and requests of any size.

mod size;
mod world;

pub use size::Size;
pub use world::World;
