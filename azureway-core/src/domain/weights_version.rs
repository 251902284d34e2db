//! Versions of weights, which decide who may answer and which cached blocks are valid.

number_type! {
    /// A version of a model's weights. A cached block is valid for one version only.
    WeightsVersion
}
