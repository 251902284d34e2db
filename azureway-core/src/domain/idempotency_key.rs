//! The key by which a caller marks a request as the same one.

name_type! {
    /// The caller's idempotency key, unique within a client account.
    IdempotencyKey
}
