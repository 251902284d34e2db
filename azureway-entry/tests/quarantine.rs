//! Tests of the duty that stores quarantined parts of prompts at the platform.

mod one_object;

use azureway_core::prelude::*;
use azureway_entry::quarantine::QuarantineWriter;
use azureway_wire::quarantine::QuarantineBody;
use googletest::prelude::*;
use one_object::Platform;

fn record() -> QuarantineRecord {
    let part = PartKey::of(b"part");
    let report = |server| {
        let site = CrashSite::new(ServerId::new(server), Incarnation::new(9));
        let state = CrashReportState::Unconfirmed;
        CrashReport::new(CrashSubject::Part(part), site, state, CrashReport::TTL)
    };
    QuarantineRecord {
        part,
        reports: ["s-1", "s-2", "s-3"].map(report).to_vec(),
    }
}

/// Runs the duty until it has executed the changes.
fn run(platform: &Platform, changes: Vec<QuarantineChange>) {
    let (sender, receiver) = flume::unbounded();
    changes
        .into_iter()
        .for_each(|change| sender.send(change).expect("a receiver"));
    drop(sender);
    QuarantineWriter::new(platform.clone(), receiver, 1).run();
}

/// Guards against a quarantine that is lost because the platform is away when it is found.
#[gtest]
fn a_quarantine_is_stored_once_the_platform_answers() {
    let platform = Platform::failing(2);
    run(&platform, vec![QuarantineChange::Stored(record())]);
    let object = platform.object().expect("an object");
    let body: QuarantineBody = serde_json::from_str(&object.value).expect("a body");
    let read = QuarantineRecord::try_from(&body).expect("a record");
    expect_that!(read, eq(&record()));
    expect_that!(object.name, eq(&record().part.to_string()));
}

/// Guards against entries that overwrite what another one has stored, and against an expired object
/// that keeps a part from being stored anew.
#[gtest]
fn a_stored_quarantine_is_replaced_only_after_it_has_ended() {
    let platform = Platform::default();
    let store = || vec![QuarantineChange::Stored(record())];
    run(&platform, store());
    run(&platform, store());
    expect_that!(platform.object().map(|o| o.version), some(eq(1)));
    let ended = QuarantineBody::new(&record(), 1);
    let value = serde_json::to_string(&ended).expect("a value");
    if let Some(object) = &mut platform.0.lock().expect("the platform").1 {
        object.value = value;
    }
    run(&platform, store());
    expect_that!(platform.object().map(|o| o.version), some(eq(2)));
}

#[gtest]
fn a_cleared_part_is_removed_and_need_not_be_there() {
    let platform = Platform::default();
    let remove = || QuarantineChange::Removed(record().part);
    run(
        &platform,
        vec![QuarantineChange::Stored(record()), remove(), remove()],
    );
    expect_that!(platform.object(), none());
}
