//! The seeded generator of the traces that the replay reads.

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
