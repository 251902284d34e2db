//! A small HTTP server for the simulated services.

mod endless_server;
mod event_writer;
mod http_server;
mod query;
mod reply;
mod request_handler;

pub use endless_server::EndlessServer;
pub use event_writer::EventWriter;
pub use http_server::HttpServer;
pub use query::Query;
pub use reply::Reply;
pub use request_handler::RequestHandler;
