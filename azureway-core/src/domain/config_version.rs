//! The version of the configuration document.

number_type! {
    /// A version of the configuration document; later versions are greater.
    ConfigVersion
}
