//! The names by which routing, load reports and gossip refer to backend servers.

name_type! {
    /// The name of a backend server.
    ServerId
}
