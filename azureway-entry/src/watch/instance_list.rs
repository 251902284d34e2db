//! Decoding of the platform's list of instances.

use azureway_core::prelude::{Instance, ServerId};
use azureway_wire::instance::{InstanceBody, InstanceRole};
use azureway_wire::object::ObjectList;

/// The instances in one answer of the platform.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct InstanceList {
    /// The entry instances that are not leaving.
    pub entries: Vec<Instance>,
    /// The backend servers that are leaving.
    pub leaving: Vec<ServerId>,
}

impl From<&ObjectList> for InstanceList {
    fn from(list: &ObjectList) -> Self {
        let mut instances = Self::default();
        for object in list.objects.iter().filter(|o| !o.deleted) {
            match serde_json::from_str::<InstanceBody>(&object.value) {
                Ok(body) => instances.add(&object.name, &body),
                Err(e) => {
                    log::warn!(step = "list instances", peer = object.name.as_str(), error:% = e; "the object of an instance cannot be decoded");
                }
            }
        }
        instances
    }
}

impl InstanceList {
    fn add(&mut self, name: &str, body: &InstanceBody) {
        match (body.role, body.leaving) {
            (InstanceRole::Entry, false) => self.entries.push(body.instance(name)),
            (InstanceRole::Backend, true) => self.leaving.push(ServerId::new(name)),
            (InstanceRole::Entry, true) | (InstanceRole::Backend, false) => {}
        }
    }
}
