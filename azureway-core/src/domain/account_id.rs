//! The names by which limits, shares and cache isolation refer to client accounts.

name_type! {
    /// The name of a client account.
    AccountId
}
