//! The arguments of a conditional write through the object API.

/// A conditional write of an object, which fails if the object has another version.
#[derive(Clone, Copy, Debug)]
pub struct Put<'a> {
    /// The kind of the object.
    pub kind: &'a str,
    /// The name of the object.
    pub name: &'a str,
    /// The value to write.
    pub value: &'a str,
    /// The version that the object must have, or 0 if it must not exist.
    pub expected: u64,
}
