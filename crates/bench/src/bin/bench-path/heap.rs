//! Counts the allocations of marked threads.

use std::alloc::GlobalAlloc;
use std::alloc::Layout;
use std::alloc::System;
use std::cell::Cell;
use std::sync::atomic::AtomicI64;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

thread_local! {
    static IS_COUNTED: Cell<bool> = const { Cell::new(false) };
}

static ALLOCATIONS: AtomicU64 = AtomicU64::new(0);
static LIVE_BYTES: AtomicI64 = AtomicI64::new(0);
static PEAK_BYTES: AtomicI64 = AtomicI64::new(0);

/// The system's allocator, with counts.
pub struct CountingAllocator;

// A global allocator can only be written as an unsafe trait; each call goes to the system's.
#[allow(unsafe_code)]
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        count(layout.size() as i64);
        // SAFETY: the caller keeps the contract of the same call.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        count(-(layout.size() as i64));
        // SAFETY: the caller keeps the contract of the same call.
        unsafe { System.dealloc(pointer, layout) }
    }
}

/// Counts the allocations of this thread from now on.
pub fn count_this_thread() {
    IS_COUNTED.set(true);
}

/// Allocations so far.
pub fn allocations() -> u64 {
    ALLOCATIONS.load(Ordering::Relaxed)
}

/// Bytes that are allocated now.
pub fn live_bytes() -> i64 {
    LIVE_BYTES.load(Ordering::Relaxed)
}

/// Most bytes that were allocated at once since the last reset.
pub fn peak_bytes() -> i64 {
    PEAK_BYTES.load(Ordering::Relaxed)
}

/// Begins a new peak.
pub fn reset_peak() {
    PEAK_BYTES.store(live_bytes(), Ordering::Relaxed);
}

fn count(bytes: i64) {
    if !IS_COUNTED.try_with(Cell::get).unwrap_or(false) {
        return;
    }
    if bytes > 0 {
        ALLOCATIONS.fetch_add(1, Ordering::Relaxed);
    }
    let live = LIVE_BYTES.fetch_add(bytes, Ordering::Relaxed) + bytes;
    PEAK_BYTES.fetch_max(live, Ordering::Relaxed);
}
