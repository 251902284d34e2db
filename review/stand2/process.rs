//! The processes that a case starts, which end with it.

use std::process::{Child, exit};
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

/// The IDs of the processes that are running.
static RUNNING: Mutex<Vec<Child>> = Mutex::new(Vec::new());

/// A process of the case, by its ID.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Process(u32);

impl Process {
    /// Takes over a child process.
    pub fn new(child: Child) -> Self {
        let id = child.id();
        RUNNING.lock().unwrap().push(child);
        Self(id)
    }

    /// Kills the process with SIGKILL.
    pub fn kill(self) {
        let mut running = RUNNING.lock().unwrap();
        if let Some(index) = running.iter().position(|c| c.id() == self.0) {
            let mut child = running.swap_remove(index);
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns whether the process has not ended.
    pub fn is_alive(self) -> bool {
        let mut running = RUNNING.lock().unwrap();
        let child = running.iter_mut().find(|c| c.id() == self.0);
        child.is_some_and(|c| matches!(c.try_wait(), Ok(None)))
    }

    /// Returns a figure of the process's status in kilobytes, such as `VmHWM`.
    pub fn status(self, key: &str) -> Option<u64> {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.0)).ok()?;
        let line = text.lines().find(|l| l.starts_with(key))?;
        line.split_whitespace().nth(1)?.parse().ok()
    }
}

/// Kills all processes of the case.
pub fn kill_all() {
    for mut child in RUNNING.lock().unwrap().drain(..) {
        let _ = child.kill();
        let _ = child.wait();
    }
}

/// Kills all processes of the case when it is dropped.
pub struct Guard;

impl Drop for Guard {
    fn drop(&mut self) {
        kill_all();
    }
}

/// Ends the case with status 2 if it takes longer than `limit`.
pub fn end_after(limit: Duration) {
    thread::spawn(move || {
        thread::sleep(limit);
        kill_all();
        eprintln!("the case took too long");
        exit(2);
    });
}
