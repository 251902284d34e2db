//! The ordering duty: which backend server loads which weights, if this entry holds the lease.

mod http_orders;
mod lease_calls;
mod order_answer;
mod order_desk;
mod order_link;
mod order_note;
mod orderer;

pub use http_orders::HttpOrders;
pub use lease_calls::LeaseCalls;
pub use order_answer::OrderAnswer;
pub use order_desk::OrderDesk;
pub use order_link::OrderLink;
pub use order_note::OrderNote;
pub use orderer::Orderer;
