//! The answer of a backend server to a load order.

/// The answer of a backend server to a load order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderAnswer {
    /// The server accepted the order.
    Taken,
    /// The server has seen a higher fencing number, so another entry holds the lease.
    Fenced,
    /// The server did not accept the order, or no answer arrived.
    Failed,
}
