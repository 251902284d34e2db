//! Conversions of platform objects.

use super::Object;
use crate::object::ObjectBody;

impl From<ObjectBody> for Object {
    fn from(object: ObjectBody) -> Self {
        Self {
            name: object.name,
            version: object.version,
            value: object.value,
            deleted: object.deleted,
        }
    }
}

impl From<Object> for ObjectBody {
    fn from(object: Object) -> Self {
        Self {
            name: object.name,
            version: object.version,
            value: object.value,
            deleted: object.deleted,
        }
    }
}
