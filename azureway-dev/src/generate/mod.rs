//! Generates the traces that the replay reads, reproducibly from a seed.

mod burst;
mod case;
mod command;
mod generator;
mod population;
mod workload;

pub use burst::Burst;
pub use case::Case;
pub use command::{command, run};
pub use generator::Generator;
pub use population::Population;
pub use workload::Workload;
