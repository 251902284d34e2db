//! The version of a model's weights.

number_type! {
    /// A version of a model's weights. A cached block is valid for one version only.
    WeightsVersion
}
