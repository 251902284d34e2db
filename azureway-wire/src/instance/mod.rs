//! The platform's list of instances, by which entry instances and backend servers are found.

mod instance_body;
mod instance_role;

pub use instance_body::InstanceBody;
pub use instance_role::InstanceRole;

/// The kind of the objects that make up the list; they are named after the instances.
pub const INSTANCE_KIND: &str = "instance";
