//! Settings of the system's allocator.

/// The number of the allocator's arenas. What one arena has freed, the threads of another cannot use, and a
/// process with a thread for each connection would keep the most that each arena ever had.
#[cfg(target_env = "gnu")]
const MAX_ARENAS: libc::c_int = 2;
/// The size from which on an allocation has pages of its own, in bytes. They return to the system when it is
/// freed.
#[cfg(target_env = "gnu")]
const OWN_PAGES: libc::c_int = 128 * 1024;

/// Makes the allocator return memory that was freed. It must be called before threads are started.
#[cfg(target_env = "gnu")]
#[expect(unsafe_code, reason = "no safe interface sets the allocator's options")]
pub fn limit_allocator() {
    let options = [
        (libc::M_ARENA_MAX, MAX_ARENAS),
        (libc::M_MMAP_THRESHOLD, OWN_PAGES),
    ];
    for (option, value) in options {
        // SAFETY: `mallopt` has no preconditions; options that it does not know have no effect.
        if unsafe { libc::mallopt(option, value) } == 0 {
            log::warn!(step = "start", option = option; "setting an option of the allocator failed");
        }
    }
}

/// Does nothing: the allocator of this system has no such options.
#[cfg(not(target_env = "gnu"))]
pub const fn limit_allocator() {}
