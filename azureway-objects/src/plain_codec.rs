//! The codec of azureway's own object API, which the simulated platform serves.

use std::time::Duration;

use azureway_wire::object::{ObjectBody, ObjectList};

use super::{ObjectCall, ObjectCodec, Put};

/// Encodes azureway's own object API, which docs/INTERFACES.md describes. Its lists have one page.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlainCodec;

impl ObjectCodec for PlainCodec {
    const CONTENT_TYPE: &'static str = "text/plain; charset=UTF-8";
    const ERA_HEADER: &'static str = "azureway-store-era";

    fn get(&self, kind: &str, name: &str) -> ObjectCall {
        ObjectCall::new("GET", format!("objects/{kind}/{name}"))
    }

    fn list(&self, kind: &str, _: Option<&str>, _: bool) -> ObjectCall {
        ObjectCall::new("GET", format!("objects/{kind}"))
    }

    fn put(&self, put: &Put<'_>) -> ObjectCall {
        let Put {
            kind,
            name,
            value,
            expected,
        } = put;
        let path = format!("objects/{kind}/{name}?expected={expected}");
        ObjectCall::new("PUT", path).with_body((*value).to_owned())
    }

    fn delete(&self, kind: &str, name: &str, expected: u64) -> ObjectCall {
        let path = format!("objects/{kind}/{name}?expected={expected}");
        ObjectCall::new("DELETE", path)
    }

    fn watch(&self, kind: &str, after: u64, wait: Duration) -> ObjectCall {
        let path = format!("watch/{kind}?after={after}&wait_ms={}", wait.as_millis());
        ObjectCall::new("GET", path)
    }

    fn read_object(&self, bytes: &[u8]) -> Result<ObjectBody, serde_json::Error> {
        serde_json::from_slice(bytes)
    }

    fn read_list(&self, bytes: &[u8]) -> Result<(ObjectList, bool), serde_json::Error> {
        serde_json::from_slice(bytes).map(|list| (list, false))
    }

    fn read_changes(&self, bytes: &[u8]) -> Result<ObjectList, serde_json::Error> {
        serde_json::from_slice(bytes)
    }
}
