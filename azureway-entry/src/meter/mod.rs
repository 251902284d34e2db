//! The measuring duty, which keeps the metrics of the daemon and serves them to scrapes.
//!
//! The cardinality of labels is bounded: ranks, reasons, duties and rings are fixed, and client
//! accounts beyond [`ACCOUNTS_MAX`] share one label.

mod account_label;
mod account_labels;
mod call_label;
mod config_metrics;
mod control_metrics;
mod duty_cpu;
mod duty_label;
mod finished_request;
mod memory_metrics;
mod meter_duty;
mod metric_event;
mod outcome_label;
mod prompt_metrics;
mod rank_label;
mod reason_label;
mod ring_label;
mod ring_monitor;
mod router_metrics;
mod service_metrics;

pub use account_label::AccountLabel;
pub use account_labels::{ACCOUNTS_MAX, AccountLabels};
pub use call_label::CallLabel;
pub use config_metrics::ConfigMetrics;
pub use control_metrics::ControlMetrics;
pub use duty_cpu::DutyCpu;
pub use duty_label::DutyLabel;
pub use finished_request::FinishedRequest;
pub use memory_metrics::MemoryMetrics;
pub use meter_duty::MeterDuty;
pub use metric_event::MetricEvent;
pub use outcome_label::OutcomeLabel;
pub use prompt_metrics::PromptMetrics;
pub use rank_label::RankLabel;
pub use reason_label::ReasonLabel;
pub use ring_label::RingLabel;
pub use ring_monitor::RingMonitor;
pub use router_metrics::RouterMetrics;
pub use service_metrics::ServiceMetrics;
