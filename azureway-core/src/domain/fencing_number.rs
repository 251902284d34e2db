//! The number that orders the holders of a lease.

number_type! {
    /// A fencing number; a backend server that checks it refuses a lower one.
    FencingNumber
}
