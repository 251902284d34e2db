//! The measuring duty: what happened, as metrics under the names of the field.
//!
//! No label's values grow with traffic: ranks, reasons, duties and rings are fixed, and client
//! accounts beyond [`ACCOUNTS_MAX`] share one label.

mod account_label;
mod accounts;
mod config_measures;
mod control_measures;
mod count_label;
mod duty_costs;
mod duty_label;
mod measure;
mod meter_duty;
mod prompt_measures;
mod rank_label;
mod reason_label;
mod ring_label;
mod ring_views;
mod router_measures;
mod served;
mod service_measures;

pub use account_label::AccountLabel;
pub use accounts::{ACCOUNTS_MAX, Accounts};
pub use config_measures::ConfigMeasures;
pub use control_measures::ControlMeasures;
pub use count_label::CountLabel;
pub use duty_costs::DutyCosts;
pub use duty_label::DutyLabel;
pub use measure::Measure;
pub use meter_duty::Meter;
pub use prompt_measures::PromptMeasures;
pub use rank_label::RankLabel;
pub use reason_label::ReasonLabel;
pub use ring_label::RingLabel;
pub use ring_views::RingViews;
pub use router_measures::RouterMeasures;
pub use served::Served;
pub use service_measures::ServiceMeasures;
