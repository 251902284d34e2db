//! Conversions of instances.

use std::net::{IpAddr, SocketAddr};

use azureway_core::prelude::{Error, Incarnation, InstanceId, ZoneId};

use super::Instance;
use super::invalid_field::invalid_field;

impl From<&azureway_core::domain::Instance> for Instance {
    fn from(instance: &azureway_core::domain::Instance) -> Self {
        let ip = match instance.address.ip() {
            IpAddr::V4(ip) => ip.octets().to_vec(),
            IpAddr::V6(ip) => ip.octets().to_vec(),
        };
        Self {
            id: instance.id.as_str().to_owned(),
            zone: instance.zone.as_str().to_owned(),
            ip,
            port: instance.address.port().into(),
            incarnation: instance.incarnation.get(),
        }
    }
}

impl TryFrom<&Instance> for azureway_core::domain::Instance {
    type Error = Error;

    fn try_from(message: &Instance) -> Result<Self, Error> {
        if message.id.is_empty() || message.zone.is_empty() {
            return Err(invalid_field("instance"));
        }
        let port = u16::try_from(message.port).map_err(|_| invalid_field("port"))?;
        let (id, zone) = (InstanceId::new(&message.id), ZoneId::new(&message.zone));
        let instance = Self::new(id, zone, SocketAddr::new(read_ip(&message.ip)?, port));
        Ok(instance.with_incarnation(Incarnation::new(message.incarnation)))
    }
}

fn read_ip(bytes: &[u8]) -> Result<IpAddr, Error> {
    if let Ok(four) = <[u8; 4]>::try_from(bytes) {
        return Ok(four.into());
    }
    let sixteen = <[u8; 16]>::try_from(bytes).map_err(|_| invalid_field("ip"))?;
    Ok(sixteen.into())
}
