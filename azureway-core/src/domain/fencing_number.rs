//! The fencing number that orders the successive holders of a lease.

number_type! {
    /// A fencing number. A backend server that checks it refuses an order with a lower one than it
    /// has seen.
    FencingNumber
}
