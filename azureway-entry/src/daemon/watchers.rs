//! Start of the duties that read a site from the platform.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use azureway_config::settings::SiteSettings;
use azureway_core::prelude::*;
use azureway_objects::{HttpObjects, ObjectCodec};
use flume::Sender;

use super::{Rings, Site, spawn};
use crate::retirement::RetirementKeeper;
use crate::routed::ServingState;
use crate::site::{SiteDuty, SiteKind, SiteUpdate, SiteWatcher};
use crate::zone::{ZoneClient, ZoneLink};

/// The delay before the next watch call, in which changes accumulate. Without it each change
/// would cost a call of its own, and a change has seconds to come into force.
const BATCH_DELAY: Duration = Duration::from_millis(200);
/// The longest backoff before the platform is called again. After it recovers, changes must be in
/// force within seconds.
const BACKOFF_CAP: Duration = Duration::from_millis(500);
/// The capacity of the ring from the site watchers to the site duty, in updates.
const SITE_RING: usize = 256;
/// The capacity of the ring to the duty that keeps retirements of weights, in messages. A site has a few models.
const RETIREMENT_RING: usize = 16;
/// The time before a rollout's time limit at which the older weights are given up. For a process
/// that has just started, the limit applies earlier by the same margin. It covers what the expected
/// wait in a server leaves out: the requests that other entries send there at the same time.
const ROLLOUT_MARGIN: Duration = Duration::from_millis(2_000);

/// Starts the duties that read the site from the platform.
pub(super) fn spawn_watchers<S: Site, F: ObjectCodec + Send + 'static>(
    site_settings: &SiteSettings,
    rings: &Rings,
    api: &HttpObjects<F>,
    site: &S,
    serving: &ServingState,
    process_id: u64,
) -> Result<(), Error> {
    let (update_tx, update_rx): (Sender<SiteUpdate>, _) = flume::bounded(SITE_RING);
    let start = rings.clock.now();
    let rollouts = rollouts(site_settings, start);
    let grace_left = site_settings.startup_grace.saturating_sub(ROLLOUT_MARGIN);
    let named_since = rollouts.named_since(start, grace_left);
    let state = SiteState::with_rollouts(site_settings.zones.clone(), rollouts);
    let relays = ZoneLink::relays(site_settings.change_limit);
    let reports = Arc::new(Mutex::new(ReportTimes::new()));
    for kind in SiteKind::ALL {
        let wait = match relays {
            true => kind.poll_timeout(),
            false => kind.own_timeout(),
        };
        let schedule = WatchSchedule::new(process_id)
            .with_timing(wait, BATCH_DELAY, BACKOFF_CAP)
            .with_gathering(relays);
        let client = ZoneClient::new(rings.peer.clone());
        let zone = ZoneLink::new(client, Arc::clone(&rings.zone)).with_relays(relays);
        let (api, updates) = (api.clone(), update_tx.clone());
        let watcher = SiteWatcher::new(
            api,
            site.clone(),
            kind,
            updates,
            rings.clock,
            schedule,
            named_since,
        )
        .with_reports(Arc::clone(&reports))
        .with_zone(Some(zone));
        spawn(kind.as_str(), move || watcher.run())?;
    }
    let (retirements, messages) = flume::bounded(RETIREMENT_RING);
    let keeper = RetirementKeeper::new(api.clone(), messages, update_tx, process_id);
    spawn("retire", move || keeper.run())?;
    let duty = SiteDuty::new(
        state,
        update_rx,
        rings.admit.clone(),
        rings.decide.clone(),
        serving.clone(),
        rings.clock,
    )
    .with_retirements(retirements);
    spawn("site", move || duty.run())?;
    Ok(())
}

/// Returns the rollouts of a process that started at `start`.
fn rollouts(site_settings: &SiteSettings, start: Timestamp) -> Rollouts {
    let grace = site_settings.rollout_timeout.saturating_sub(ROLLOUT_MARGIN);
    Rollouts::new(grace)
        .with_margin(ROLLOUT_MARGIN.min(site_settings.rollout_timeout))
        .with_settle(site_settings.startup_grace)
        .with_start(start)
}
