//! The key by which a caller marks a request as a repetition of an earlier one.

name_type! {
    /// A caller's idempotency key, unique within a client account.
    IdempotencyKey
}
