//! The names by which services, weights and load orders refer to models.

name_type! {
    /// The name of a model, whose weights backend servers load.
    ModelId
}
