//! The name of a model.

name_type! {
    /// The name of a model, whose weights backend servers load.
    ModelId
}
