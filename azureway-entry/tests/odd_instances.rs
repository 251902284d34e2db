//! Tests of the list of instances with objects of another writer.

use azureway_core::prelude::InstanceId;
use azureway_entry::watch::InstanceList;
use azureway_wire::object::{ObjectBody, ObjectList};
use googletest::prelude::*;

/// Guards against an odd object that hides the other instances.
#[gtest]
fn an_odd_object_leaves_the_other_instances_listed() {
    let deep = format!("{}{}", "[".repeat(200_000), "]".repeat(200_000));
    let good = r#"{"role":"entry","zone":"a","address":"10.0.0.1:80"}"#;
    for odd in [
        "",
        "null",
        "{",
        "[1]",
        &deep,
        r#"{"role":"entry","zone":"a","address":"10.0.0.1:70000"}"#,
        r#"{"role":"other","zone":"a","address":"10.0.0.1:80"}"#,
        r#"{"role":"entry","zone":1e999,"address":"10.0.0.1:80"}"#,
    ] {
        let objects = [("first", good), ("odd", odd), ("last", good)];
        let objects = objects.map(|(name, value)| ObjectBody {
            name: name.to_owned(),
            version: 1,
            value: value.to_owned(),
            deleted: false,
        });
        let list = InstanceList::from(&ObjectList {
            version: 1,
            objects: objects.to_vec(),
        });
        let names: Vec<_> = list.entries.iter().map(|e| e.id.clone()).collect();
        let expected = ["first", "last"].map(InstanceId::new);
        expect_that!(names, container_eq(expected), "{odd:.40}");
    }
}
