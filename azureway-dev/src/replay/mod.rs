//! Replay of a trace: one decision core, a small engine model and a virtual clock.
//!
//! The replay models no network and no fleet of entries. What other entries do reaches the
//! core as the trace's events: their requests load the engine model, whose cache events and
//! load reports come late and with gaps.

mod agenda;
mod cargo;
mod command;
mod contenders;
mod engine_model;
mod engine_speed;
mod engines;
mod flight_view;
mod happening;
mod links;
mod loss;
mod news;
mod owner;
mod platform_model;
mod player;
mod plot;
mod prefix_cache;
mod progress;
mod promises;
mod report;
mod requests;
pub mod rounds;
mod scene;
mod story;
mod summary;
mod table;
mod tally;
mod task;

pub use agenda::Agenda;
pub use cargo::Cargo;
pub use command::{command, run};
pub use contenders::{compare, play};
pub use engine_model::EngineModel;
pub use engine_speed::EngineSpeed;
pub use engines::Engines;
pub use flight_view::FlightView;
pub use happening::Happening;
pub use links::Links;
pub use loss::Loss;
pub use news::News;
pub use owner::Owner;
pub use platform_model::PlatformModel;
pub use player::Player;
pub use plot::Plot;
pub use prefix_cache::PrefixCache;
pub use progress::Progress;
pub use promises::Promises;
pub use report::Report;
pub use requests::Requests;
pub use scene::Scene;
pub use story::Story;
pub use summary::Summary;
pub use table::Table;
pub use tally::Tally;
pub use task::Task;
