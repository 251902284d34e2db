//! The name of a backend server.

name_type! {
    /// The name of a backend server.
    ServerId
}
