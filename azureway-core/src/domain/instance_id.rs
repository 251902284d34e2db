//! The name of an instance.

name_type! {
    /// The name of an instance, unique across all availability zones.
    InstanceId
}
