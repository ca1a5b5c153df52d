//! Global allocator that counts the allocations of chosen threads.

use std::alloc::GlobalAlloc;
use std::alloc::Layout;
use std::alloc::System;
use std::cell::Cell;
use std::sync::atomic::AtomicI64;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

thread_local! {
    static IS_THREAD_COUNTED: Cell<bool> = const { Cell::new(false) };
}

/// Number of allocations by counted threads.
static ALLOCATIONS: AtomicU64 = AtomicU64::new(0);
/// Bytes that counted threads have allocated, less those that they have freed.
static LIVE_BYTES: AtomicI64 = AtomicI64::new(0);
/// Maximum of `LIVE_BYTES` since the last reset.
static PEAK_BYTES: AtomicI64 = AtomicI64::new(0);

/// The system's allocator, which also counts.
pub struct CountingAllocator;

// `GlobalAlloc` is an unsafe trait; every call is forwarded to the system's allocator.
#[allow(unsafe_code)]
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        record_change(layout.size() as i64);
        // SAFETY: the caller upholds the contract of this method, which is that of the call.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        record_change(-(layout.size() as i64));
        // SAFETY: the caller upholds the contract of this method, which is that of the call.
        unsafe { System.dealloc(pointer, layout) }
    }
}

/// Starts to count the allocations of the current thread.
pub fn count_this_thread() {
    IS_THREAD_COUNTED.set(true);
}

/// Returns the number of allocations by counted threads so far.
pub fn allocations() -> u64 {
    ALLOCATIONS.load(Ordering::Relaxed)
}

/// Returns the bytes that counted threads have allocated, less those that they have freed.
pub fn live_bytes() -> i64 {
    LIVE_BYTES.load(Ordering::Relaxed)
}

/// Returns the maximum of [`live_bytes`] since the last [`reset_peak`].
pub fn peak_bytes() -> i64 {
    PEAK_BYTES.load(Ordering::Relaxed)
}

/// Resets the peak to the current number of bytes.
pub fn reset_peak() {
    PEAK_BYTES.store(live_bytes(), Ordering::Relaxed);
}

/// Records an allocation, or with a negative size a deallocation, if the thread is counted.
fn record_change(change_bytes: i64) {
    if !IS_THREAD_COUNTED.try_with(Cell::get).unwrap_or(false) {
        return;
    }
    if change_bytes > 0 {
        ALLOCATIONS.fetch_add(1, Ordering::Relaxed);
    }
    let live = LIVE_BYTES.fetch_add(change_bytes, Ordering::Relaxed) + change_bytes;
    PEAK_BYTES.fetch_max(live, Ordering::Relaxed);
}
