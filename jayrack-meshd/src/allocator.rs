//! Memory that the allocator keeps after it was freed.

/// Returns unused memory of the allocator to the system, as far as whole pages are unused.
///
/// The allocator keeps freed memory for later allocations, but the kernel cannot use it for what it queues for the process.
pub fn return_unused() {
    #[cfg(target_env = "gnu")]
    #[allow(unsafe_code)]
    // SAFETY: `malloc_trim` may be called at any time from any thread, and changes no memory that is in use.
    unsafe {
        libc::malloc_trim(0);
    }
}
