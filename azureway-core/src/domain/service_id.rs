//! The names by which requests and routes refer to services.

name_type! {
    /// The name by which callers request a service, such as a model's name.
    ServiceId
}
