//! Tests of the duty that keeps at the platform which weights were given up.

mod one_object;

use std::thread;
use std::time::Duration;

use azureway_core::prelude::*;
use azureway_entry::retirement::{RetirementKeeper, RetirementMessage};
use azureway_entry::site::SiteUpdate;
use googletest::prelude::*;
use one_object::Platform;

/// The bound on a wait, so that a failing test cannot hang. No result depends on it.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);

fn store(oldest: u64) -> RetirementMessage {
    RetirementMessage::Store(ModelId::new("m"), WeightsVersion::new(oldest))
}

/// Runs the duty until it has handled the messages.
fn run(platform: &Platform, messages: Vec<RetirementMessage>) -> Vec<SiteUpdate> {
    let (sender, receiver) = flume::unbounded();
    let (updates, read) = flume::unbounded();
    for message in messages {
        sender.send(message).expect("a receiver");
    }
    drop(sender);
    RetirementKeeper::new(platform.clone(), receiver, updates, 1).run();
    read.drain().collect()
}

fn stored(platform: &Platform) -> Option<(String, String)> {
    platform.object().map(|o| (o.name, o.value))
}

/// Guards against weights that come back into use after a restart during an outage of the platform.
#[gtest]
fn a_process_that_starts_in_an_outage_reads_what_others_have_given_up() {
    let platform = Platform::default();
    run(&platform, vec![store(2)]);
    let away = Platform::failing(3);
    away.0.lock().expect("the platform").1 = platform.object();
    let updates = run(&away, Vec::new());
    let [SiteUpdate::Retired(model, oldest)] = &updates[..] else {
        panic!("a retirement is read: {updates:?}");
    };
    expect_that!((model.as_str(), oldest.get()), eq(("m", 2)));
}

/// Guards against the same where the others could write only when the platform was back.
#[gtest]
fn retirements_are_read_once_more_after_a_while() {
    let (platform, (_sender, receiver)) = (Platform::default(), flume::bounded(1));
    run(&platform, vec![store(3)]);
    let (updates, read) = flume::unbounded();
    let keeper = RetirementKeeper::new(platform, receiver, updates, 1);
    thread::spawn(move || keeper.run());
    for time in ["first", "second"] {
        let update = read.recv_timeout(TEST_TIMEOUT);
        let is_retired = matches!(&update, Ok(SiteUpdate::Retired(_, oldest)) if oldest.get() == 3);
        expect_true!(is_retired, "{time}: {update:?}");
    }
}

#[gtest]
fn a_retirement_is_stored_once_the_platform_answers_and_only_moves_forward() {
    let platform = Platform::failing(2);
    run(&platform, vec![store(2)]);
    expect_that!(
        stored(&platform),
        some(eq(&("m".to_owned(), r#"{"oldest":2}"#.to_owned())))
    );
    // Another entry has stored it.
    run(&platform, vec![store(2)]);
    expect_that!(platform.object().map(|o| o.version), some(eq(1)));
    run(&platform, vec![store(4), store(3)]);
    expect_that!(
        stored(&platform).map(|(_, value)| value),
        some(eq(r#"{"oldest":4}"#))
    );
}

/// Guards against a stored object of another writer that ends the duty.
#[gtest]
fn an_object_that_cannot_be_decoded_is_replaced() {
    let platform = Platform::default();
    run(&platform, vec![store(2)]);
    if let Some(object) = &mut platform.0.lock().expect("the platform").1 {
        object.value = "older".to_owned();
    }
    expect_that!(run(&platform, vec![store(2)]).len(), eq(0));
    expect_that!(
        stored(&platform).map(|(_, value)| value),
        some(eq(r#"{"oldest":2}"#))
    );
}
