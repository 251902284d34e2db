//! The outcome of a load order, as the transport reports it to the ordering duty.

/// The answer of a backend server to a load order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderAnswer {
    /// The server accepted the order.
    Taken,
    /// The server has seen a higher fencing number, so another entry instance holds the lease.
    Fenced,
    /// The server did not accept the order, or no answer arrived.
    Failed,
}
