//! The names under which the configuration defines routes.

name_type! {
    /// The name of a route.
    RouteId
}
