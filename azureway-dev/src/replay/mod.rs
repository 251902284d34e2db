//! Replay of a trace against one decision core, with simulated engines and a virtual clock.
//!
//! The replay simulates neither a network nor several entries. The requests of other entries
//! come from the trace and load the simulated engines, whose cache events and load reports
//! reach the core late and with gaps.

mod actions;
mod command;
mod compare;
mod engine_model;
mod engine_speed;
mod engine_update;
mod engines;
mod environment;
mod event_queue;
mod generated_token;
mod in_flight_attempt;
mod links;
mod loss;
mod owner;
mod platform_model;
mod plot;
mod prefix_cache;
mod replay_driver;
mod replay_event;
mod report;
mod request_factory;
mod request_log;
pub mod rounds;
mod summary;
mod table;
mod tally;
mod task;
mod transit;
mod violations;

pub use command::{command, run};
pub use compare::{compare, replay_trace};
pub use engine_model::EngineModel;
pub use engine_speed::EngineSpeed;
pub use engine_update::EngineUpdate;
pub use engines::Engines;
pub use environment::Environment;
pub use event_queue::EventQueue;
pub use generated_token::GeneratedToken;
pub use in_flight_attempt::InFlightAttempt;
pub use links::Links;
pub use loss::Loss;
pub use owner::Owner;
pub use platform_model::PlatformModel;
pub use plot::Plot;
pub use prefix_cache::PrefixCache;
pub use replay_driver::ReplayDriver;
pub use replay_event::ReplayEvent;
pub use report::Report;
pub use request_factory::RequestFactory;
pub use request_log::RequestLog;
pub use summary::Summary;
pub use table::Table;
pub use tally::Tally;
pub use task::Task;
pub use transit::Transit;
pub use violations::Violations;
