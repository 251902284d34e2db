//! The lines that the deciding duty logs about what it learns and decides.

use azureway_core::prelude::{
    CrashReport, Dispatch, LeavingChange, LeavingMark, LoadSample, PauseNotice, Policy, Recall,
    Router, ServerState, Timestamp,
};

use super::PendingRequest;

/// Logs a crash report of this instance or of a peer.
pub(super) fn log_crash_report(report: &CrashReport, origin: &str) {
    let age = CrashReport::TTL.saturating_sub(report.ttl);
    log::info!(
        step = "quarantine", origin = origin, subject:% = report.subject,
        peer:% = report.site.server, incarnation:% = report.site.incarnation,
        state:? = report.state, age:? = age;
        "a crash report was recorded"
    );
}

/// Logs a change of the limit that a server names.
pub(super) fn log_rate_limit<P: Policy>(router: &Router<P>, sample: &LoadSample) {
    let state = router.servers().get(&sample.server);
    let known = state.and_then(|s: &ServerState| s.rate.limit());
    if known != sample.rate_limit {
        let entries = router.zone_entries();
        log::info!(
            step = "limit", peer:% = sample.server, known:? = known, named:? = sample.rate_limit,
            entries = entries;
            "the limit of a server changed"
        );
    }
}

/// Logs that a server asked this entry for a pause, and until when it is held, in milliseconds on
/// this entry's clock.
pub(super) fn log_pause<P: Policy>(router: &Router<P>, notice: &PauseNotice, now: Timestamp) {
    let servers = router.servers();
    let Some((mut hold, known)) = servers.hold(&notice.server) else {
        log::info!(
            step = "pause", peer:% = notice.server, incarnation:? = notice.incarnation,
            pause:? = notice.pause.duration();
            "an unknown server asked for a pause"
        );
        return;
    };
    let (before, listed) = (hold.until(), servers.get(&notice.server).is_some());
    let changed = hold.apply(notice, known, now);
    let (pause, answered) = (notice.pause.duration(), notice.incarnation);
    let (left, until) = (before.since(now), hold.until().as_micros() / 1000);
    log::info!(
        step = "pause", peer:% = notice.server, incarnation:? = answered, known:% = known,
        pause:? = pause, left:? = left, until = until, changed = changed,
        listed = listed;
        "a server asked for a pause"
    );
}

/// Logs a change of the belief that a server leaves.
pub(super) fn log_leaving<P: Policy>(router: &Router<P>, change: &LeavingChange) {
    let state = router.servers().get(&change.server);
    let known = state.map(|s: &ServerState| s.incarnation.get());
    let (cause, limit) = (change.cause.as_str(), LeavingMark::TTL);
    if change.began {
        log::info!(
            step = "leaving", peer:% = change.server, incarnation:% = change.incarnation,
            known:? = known, cause = cause, limit:? = limit;
            "a server is leaving and gets no new requests"
        );
    } else {
        log::info!(
            step = "leaving", peer:% = change.server, incarnation:% = change.incarnation,
            known:? = known, cause = cause;
            "a server no longer counts as leaving"
        );
    }
}

/// Logs that an attempt is sent at `now`. With older weights, `left` is the time in which it must begin.
pub(super) fn log_dispatch(dispatch: &Dispatch, pending: &PendingRequest, now: Timestamp) {
    let left = dispatch.start_limit.map(|limit| limit.since(now));
    log::info!(
        request:% = dispatch.attempt.id, step = "dispatch", attempt = dispatch.attempt.number,
        waited = pending.elapsed_ms(now), expected:? = dispatch.expected_ttft, left:? = left, peer:% = dispatch.server,
        weights:% = dispatch.weights, prompt = pending.prompt.get(), prefix:% = pending.prefix,
        cached = dispatch.cached.get(), position:% = dispatch.position,
        source:? = dispatch.fetch_from, store:? = dispatch.save_to;
        "sent"
    );
}

/// Logs that an attempt whose answer has not begun by `now` is recalled.
pub(super) fn log_recall(recall: &Recall, now: Timestamp) {
    let age = now.since(recall.sent).as_millis();
    log::info!(
        request:% = recall.attempt.id, step = "recall", attempt = recall.attempt.number,
        peer:% = recall.server, cause:? = recall.cause, age = age as u64;
        "recalled"
    );
}
