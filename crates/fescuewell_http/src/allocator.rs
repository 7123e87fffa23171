//! Return of free memory to the operating system.

/// Makes the allocator return free pages to the operating system. Takes a millisecond for some tens of MiB. Does nothing
/// where the C library is not glibc.
#[allow(unsafe_code, reason = "the C library offers no safe interface")]
pub(crate) fn trim() {
    #[cfg(all(target_os = "linux", target_env = "gnu"))]
    // SAFETY: `malloc_trim` takes no pointer, locks the allocator's state itself and moves no block in use.
    unsafe {
        libc::malloc_trim(0);
    }
}
