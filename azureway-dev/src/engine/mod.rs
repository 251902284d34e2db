//! A simulated model engine.

mod accepted_request;
mod block_cache;
mod chat_event;
mod chat_handler;
mod engine_config;
mod engine_service;
mod engine_state;
mod event_log;
mod generation;
mod order_handler;
mod order_state;
mod request_metadata;

pub use accepted_request::AcceptedRequest;
pub use block_cache::BlockCache;
pub use chat_event::ChatEvent;
pub use chat_handler::ChatHandler;
pub use engine_config::EngineConfig;
pub use engine_service::Engine;
pub use engine_state::EngineState;
pub use event_log::EventLog;
pub use generation::Generation;
pub use order_handler::OrderHandler;
pub use order_state::OrderState;
pub use request_metadata::RequestMetadata;
