//! The name of an instance.

name_type! {
    /// The name of an instance, unique over all availability zones.
    InstanceId
}
