//! The version numbers by which entries find the newest configuration.

number_type! {
    /// A version of the configuration document; later versions are greater.
    ConfigVersion
}
