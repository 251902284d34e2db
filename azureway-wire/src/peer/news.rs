//! Conversions of gossip updates.

use std::time::Duration;

use azureway_core::prelude as core;
use azureway_core::prelude::{
    CrashReportState, CrashSite, CrashSubject, Error, Fingerprint, Incarnation, Liveness,
    MemberUpdate, PartKey, ServerId, ServerStatus, ServerUpdate, WeightsVersion,
};

use super::invalid_field::invalid_field;
use super::{Loading, Member, News, Server, Strike, Subject};

impl From<&core::GossipUpdate> for News {
    fn from(update: &core::GossipUpdate) -> Self {
        let subject = match update {
            core::GossipUpdate::Member(member) => Subject::Member(Member {
                instance: Some((&member.instance).into()),
                liveness: member.liveness as u32,
            }),
            core::GossipUpdate::Server(server) => Subject::Server(Server {
                id: server.server.as_str().to_owned(),
                incarnation: server.incarnation.get(),
                sign: server.status as u32,
            }),
            core::GossipUpdate::CrashReport(report) => Subject::Strike(report.into()),
            core::GossipUpdate::Loading(loading) => Subject::Loading(loading.into()),
        };
        Self {
            subject: Some(subject),
        }
    }
}

impl From<&core::CrashReport> for Strike {
    fn from(report: &core::CrashReport) -> Self {
        let (fingerprint, part) = match &report.subject {
            CrashSubject::Request(fingerprint) => (fingerprint.as_bytes().to_vec(), Vec::new()),
            CrashSubject::Part(key) => (Vec::new(), key.as_bytes().to_vec()),
        };
        Self {
            fingerprint,
            part,
            server: report.site.server.as_str().to_owned(),
            incarnation: report.site.incarnation.get(),
            state: report.state as u32,
            left_ms: u32::try_from(report.ttl.as_millis()).unwrap_or(u32::MAX),
        }
    }
}

impl From<&core::LoadNotice> for Loading {
    fn from(loading: &core::LoadNotice) -> Self {
        Self {
            server: loading.server.as_str().to_owned(),
            weights: loading.weights.get(),
            time_ms: u32::try_from(loading.duration.as_millis()).unwrap_or(u32::MAX),
        }
    }
}

impl From<&Loading> for core::LoadNotice {
    fn from(message: &Loading) -> Self {
        Self {
            server: ServerId::new(&message.server),
            weights: WeightsVersion::new(message.weights),
            duration: Duration::from_millis(message.time_ms.into()),
        }
    }
}

impl TryFrom<&News> for core::GossipUpdate {
    type Error = Error;

    fn try_from(message: &News) -> Result<Self, Error> {
        match message
            .subject
            .as_ref()
            .ok_or_else(|| invalid_field("subject"))?
        {
            Subject::Member(member) => member.try_into().map(Self::Member),
            Subject::Server(server) => server.try_into().map(Self::Server),
            Subject::Strike(report) => report.try_into().map(Self::CrashReport),
            Subject::Loading(loading) => Ok(Self::Loading(loading.into())),
        }
    }
}

impl TryFrom<&Member> for MemberUpdate {
    type Error = Error;

    fn try_from(message: &Member) -> Result<Self, Error> {
        let instance = message
            .instance
            .as_ref()
            .ok_or_else(|| invalid_field("instance"))?;
        let liveness = from_index(&Liveness::ALL, message.liveness, "liveness")?;
        Ok(Self::new(instance.try_into()?, liveness))
    }
}

impl TryFrom<&Server> for ServerUpdate {
    type Error = Error;

    fn try_from(message: &Server) -> Result<Self, Error> {
        let statuses = [ServerStatus::Failed, ServerStatus::Leaving];
        Ok(Self {
            server: ServerId::new(&message.id),
            incarnation: Incarnation::new(message.incarnation),
            status: from_index(&statuses, message.sign, "sign")?,
        })
    }
}

impl TryFrom<&Strike> for core::CrashReport {
    type Error = Error;

    fn try_from(message: &Strike) -> Result<Self, Error> {
        let subject = match message.part.is_empty() {
            true => {
                let bytes = digest(&message.fingerprint, "fingerprint")?;
                CrashSubject::Request(Fingerprint::from_bytes(bytes))
            }
            false => CrashSubject::Part(PartKey::from_bytes(digest(&message.part, "part")?)),
        };
        let incarnation = Incarnation::new(message.incarnation);
        let site = CrashSite::new(ServerId::new(&message.server), incarnation);
        let state = from_index(&CrashReportState::ALL, message.state, "state")?;
        let ttl = Duration::from_millis(message.left_ms.into());
        Ok(Self::new(subject, site, state, ttl))
    }
}

/// Returns the digest that `field` of a message holds.
fn digest(bytes: &[u8], field: &str) -> Result<[u8; 16], Error> {
    bytes.try_into().map_err(|_| invalid_field(field))
}

/// Returns the value whose index in `values` is stated by `field` of a message.
fn from_index<T: Copy>(values: &[T], index: u32, field: &str) -> Result<T, Error> {
    let value = usize::try_from(index).ok().and_then(|i| values.get(i));
    value.copied().ok_or_else(|| invalid_field(field))
}
