//! The version of the configuration.

number_type! {
    /// A version of the configuration document; later ones are greater.
    ConfigVersion
}
