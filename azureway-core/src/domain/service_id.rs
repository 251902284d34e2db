//! The name of a service.

name_type! {
    /// The name under which callers ask for a service, such as a model's name.
    ServiceId
}
