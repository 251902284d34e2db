//! The outcome of a load order.

/// The answer of a backend server to a load order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderAnswer {
    /// The server accepted the order.
    Taken,
    /// The server has the weights, or is loading them.
    Held,
    /// The server carries out another order, or has accepted another number of orders than expected.
    Conflict,
    /// The server has seen a higher fencing number, so another entry instance holds the lease.
    Fenced,
    /// The order did not reach the server, or the server rejected it.
    Failed,
    /// The order was sent, and no answer arrived. It may have been accepted, or may be carried out later.
    Unanswered,
}
