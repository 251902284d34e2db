//! The name of a client account.

name_type! {
    /// The name of a client account.
    AccountId
}
