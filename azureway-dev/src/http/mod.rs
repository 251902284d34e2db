//! A small HTTP server for the stand-ins.

mod event_writer;
mod query;
mod reply;
mod server;
mod service;

pub use event_writer::EventWriter;
pub use query::Query;
pub use reply::Reply;
pub use server::StandIn;
pub use service::Service;
