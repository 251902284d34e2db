//! The version of a model's weights.

number_type! {
    /// A version of a model's weights; a cached block holds for one version only.
    WeightsVersion
}
