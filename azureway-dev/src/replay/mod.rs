//! Replay of a trace: one decision core, a small engine model and a virtual clock.
//!
//! The replay models no network and no fleet of entries. What other entries do reaches the
//! core as the trace's events: their requests load the engine model, whose cache events and
//! load reports come late and with gaps.

mod command;
mod contenders;
mod engine_model;
mod engine_speed;
mod engines;
mod environment;
mod event_queue;
mod flight_view;
mod generated_token;
mod links;
mod loss;
mod news;
mod owner;
mod platform_model;
mod plot;
mod prefix_cache;
mod promises;
mod replay_driver;
mod replay_event;
mod report;
mod request_log;
mod requests;
pub mod rounds;
mod summary;
mod table;
mod tally;
mod task;
mod transit;

pub use command::{command, run};
pub use contenders::{compare, play};
pub use engine_model::EngineModel;
pub use engine_speed::EngineSpeed;
pub use engines::Engines;
pub use environment::Environment;
pub use event_queue::EventQueue;
pub use flight_view::InFlightView;
pub use generated_token::GeneratedToken;
pub use links::Links;
pub use loss::Loss;
pub use news::News;
pub use owner::Owner;
pub use platform_model::PlatformModel;
pub use plot::Plot;
pub use prefix_cache::PrefixCache;
pub use promises::Promises;
pub use replay_driver::ReplayDriver;
pub use replay_event::ReplayEvent;
pub use report::Report;
pub use request_log::RequestLog;
pub use requests::Requests;
pub use summary::Summary;
pub use table::Table;
pub use tally::Tally;
pub use task::Task;
pub use transit::Transit;
