//! The measuring duty.

mod measure;
mod meter_duty;
mod rank_label;
mod reason_label;

pub use measure::Measure;
pub use meter_duty::Meter;
pub use rank_label::RankLabel;
pub use reason_label::ReasonLabel;
