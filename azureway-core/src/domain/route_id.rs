//! The name of a route.

name_type! {
    /// The name of a route.
    RouteId
}
