//! The ordering duty: orders backend servers to load weights while this instance holds the lease.

mod http_orders;
mod lease_store;
mod load_checks;
mod order_calls;
mod order_client;
mod order_link;
mod order_message;
mod order_reply;
mod orderer;
mod replies;
mod sending;

pub use http_orders::HttpOrders;
pub use lease_store::LeaseStore;
pub use load_checks::LoadChecks;
pub use order_calls::OrderCalls;
pub use order_client::OrderClient;
pub use order_link::OrderLink;
pub use order_message::OrderMessage;
pub use order_reply::OrderReply;
pub use orderer::Orderer;
