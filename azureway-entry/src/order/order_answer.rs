//! What a backend server said to an order.

/// What a backend server said to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderAnswer {
    /// It took the order.
    Taken,
    /// It has seen a higher fencing number: another entry holds the lease.
    Fenced,
    /// It did not take the order, or no answer came.
    Failed,
}
