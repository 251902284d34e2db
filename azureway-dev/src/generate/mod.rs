//! The seeded generator of traces.

mod case;
mod command;
mod generator;
mod population;
mod shape;
mod wave;

pub use case::Case;
pub use command::{command, run};
pub use generator::Generator;
pub use population::Population;
pub use shape::Shape;
pub use wave::Wave;
