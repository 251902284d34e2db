//! Processor time of each duty, read from `/proc`.

use std::fs;

/// The processor time of the process's duties, as the kernel counts it by thread.
#[derive(Clone, Copy, Debug, Default)]
pub struct DutyCpu;

/// The duties whose threads live as long as the daemon.
const DUTIES: [&str; 10] = [
    "accept", "admin", "admit", "claim", "decide", "meter", "news", "order", "peer", "watch",
];
/// The directory in which the kernel lists the threads of this process.
const THREADS: &str = "/proc/self/task";
/// The kernel's clock ticks per second (`USER_HZ`), in which it counts processor time.
const TICKS_PER_SECOND: f64 = 100.0;
/// The index of the user time (`utime`) among the fields of `stat` that follow the thread's name.
const UTIME_INDEX: usize = 11;

impl DutyCpu {
    /// Returns the processor time of each duty so far, in seconds.
    pub fn read() -> Vec<(&'static str, f64)> {
        let mut costs: Vec<_> = DUTIES.iter().map(|duty| (*duty, 0.0)).collect();
        let threads = fs::read_dir(THREADS).into_iter().flatten().flatten();
        for thread in threads {
            // The status cannot be read if the thread has just ended.
            let status = fs::read_to_string(thread.path().join("stat")).unwrap_or_default();
            if let Some((name, time)) = parse(&status)
                && let Some(cost) = costs.iter_mut().find(|(duty, _)| *duty == name)
            {
                cost.1 += time;
            }
        }
        costs
    }
}

/// Returns the name of a thread and its processor time in seconds, from its `stat` line.
fn parse(status: &str) -> Option<(&str, f64)> {
    let (name, rest) = status.split_once('(')?.1.rsplit_once(')')?;
    let mut times = rest
        .split_whitespace()
        .skip(UTIME_INDEX)
        .map(str::parse::<u32>);
    let (user, system) = (times.next()?.ok()?, times.next()?.ok()?);
    Some((name, f64::from(user + system) / TICKS_PER_SECOND))
}
