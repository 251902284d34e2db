//! The name of a backend server pool.

name_type! {
    /// The name of a backend server pool.
    PoolId
}
