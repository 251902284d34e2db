//! The fencing number that orders the successive holders of a lease.

number_type! {
    /// A fencing number. A backend server that checks fencing numbers rejects an order whose number
    /// is lower than one that it received before.
    FencingNumber
}
