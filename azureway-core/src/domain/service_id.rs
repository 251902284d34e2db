//! The name of a service.

name_type! {
    /// The name by which callers request a service, such as a model's name.
    ServiceId
}
