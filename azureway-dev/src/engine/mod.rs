//! A stand-in for a model engine.

mod block_cache;
mod chat_event;
mod chat_run;
mod engine_config;
mod engine_service;
mod engine_state;
mod event_log;
mod generation;
mod load_run;
mod order_book;
mod terms;
mod ticket;

pub use block_cache::BlockCache;
pub use chat_event::ChatEvent;
pub use chat_run::ChatRun;
pub use engine_config::EngineConfig;
pub use engine_service::Engine;
pub use engine_state::EngineState;
pub use event_log::EventLog;
pub use generation::Generation;
pub use load_run::LoadRun;
pub use order_book::OrderBook;
pub use terms::Terms;
pub use ticket::Ticket;
