//! The names by which services and backend servers refer to pools.

name_type! {
    /// The name of a backend server pool.
    PoolId
}
