//! The names of entry instances, for peers and for the holder of a lease.

name_type! {
    /// The name of an instance, unique across all availability zones.
    InstanceId
}
