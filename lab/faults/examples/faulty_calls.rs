//! This library, loaded into a process by `LD_PRELOAD`, makes its system calls fail at the rates in the
//! control block, and counts each fault there. It interposes the C library's `recv`, `send`, `accept4`,
//! `read`, `write`, `fsync`, `fdatasync`, `rename` and the wall clock of `clock_gettime`. System calls that
//! bypass the C library (`epoll_wait`, `connect` and `socket` through `rustix`) are not affected.
use libc::{c_char, c_int, c_long, c_void, clockid_t, size_t, ssize_t, timespec};
use oakhollow_faults::{
    FaultKind, ALWAYS, CLOCK_OFFSET_WORD, CLOCK_READ_COUNT_WORD, CONTROL_VARIABLE, WORD_COUNT,
};
use std::sync::atomic::{AtomicPtr, AtomicU64, Ordering};

/// The longest short `recv` or `send`, in bytes.
const MAX_SHORT_LENGTH: usize = 7;
/// Lower descriptors (standard input, output and error) never fail.
const FIRST_FAULTY_DESCRIPTOR: c_int = 3;
const ACCEPT_ERRORS: [c_int; 5] =
    [libc::ECONNABORTED, libc::ENFILE, libc::ENOBUFS, libc::EPROTO, libc::ENETUNREACH];
const NANOS_PER_SECOND: i64 = 1_000_000_000;

/// The mapped control block; null until it is mapped.
static CONTROL_BLOCK: AtomicPtr<AtomicU64> = AtomicPtr::new(std::ptr::null_mut());
/// State of the random number generator, seeded with the process id.
static RNG_STATE: AtomicU64 = AtomicU64::new(0);

/// Runs when the library is loaded, before the program's `main`.
#[used]
#[link_section = ".init_array"]
static INIT: extern "C" fn() = map_control_block;

extern "C" fn map_control_block() {
    let mut name = CONTROL_VARIABLE.as_bytes().to_vec();
    name.push(0);
    // SAFETY: the name ends with a zero, and the harness makes the file as long as the mapping.
    unsafe {
        let path = libc::getenv(name.as_ptr().cast());
        if path.is_null() {
            return;
        }
        let file = libc::open(path, libc::O_RDWR | libc::O_CLOEXEC);
        if file < 0 {
            return;
        }
        let access = libc::PROT_READ | libc::PROT_WRITE;
        let block = libc::mmap(std::ptr::null_mut(), WORD_COUNT * 8, access, libc::MAP_SHARED, file, 0);
        libc::close(file);
        if block != libc::MAP_FAILED {
            RNG_STATE.store(libc::getpid() as u64, Ordering::Relaxed);
            CONTROL_BLOCK.store(block.cast(), Ordering::Release);
        }
    }
}

fn word(index: usize) -> Option<&'static AtomicU64> {
    let block = CONTROL_BLOCK.load(Ordering::Acquire);
    // SAFETY: the mapping has `WORD_COUNT` words, is never unmapped and is accessed only atomically.
    (!block.is_null()).then(|| unsafe { &*block.add(index) })
}

/// The next random 64-bit number (splitmix64).
fn next_random() -> u64 {
    let state = RNG_STATE.fetch_add(0x9E37_79B9_7F4A_7C15, Ordering::Relaxed);
    let mixed = (state ^ (state >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    mixed ^ (mixed >> 31)
}

/// Draws whether this call fails, and counts the fault if so.
fn should_fail(kind: FaultKind) -> bool {
    let rate = word(kind.rate_word()).map_or(0, |rate| rate.load(Ordering::Relaxed));
    let fails = rate > 0 && next_random() % ALWAYS < rate;
    if fails {
        count_fault(kind);
    }
    fails
}

/// Counts a fault, and returns how often it was injected before.
fn count_fault(kind: FaultKind) -> u64 {
    word(kind.count_word()).map_or(0, |count| count.fetch_add(1, Ordering::Relaxed))
}

fn fail_with(error: c_int) -> ssize_t {
    // SAFETY: errno is this thread's own.
    unsafe { *libc::__errno_location() = error };
    -1
}

fn is_regular_file(descriptor: c_int) -> bool {
    if descriptor < FIRST_FAULTY_DESCRIPTOR || CONTROL_BLOCK.load(Ordering::Acquire).is_null() {
        return false;
    }
    // SAFETY: an all-zero `stat` is valid, and is filled in by the call.
    unsafe {
        let mut stat: libc::stat = std::mem::zeroed();
        libc::fstat(descriptor, &mut stat) == 0 && stat.st_mode & libc::S_IFMT == libc::S_IFREG
    }
}

/// Whether `BrokenConnection` is on and applies to this socket. Local socket pairs, by which a process wakes
/// itself or receives signals, must not break.
fn may_break(socket: c_int) -> bool {
    if word(FaultKind::BrokenConnection.rate_word()).is_none_or(|rate| rate.load(Ordering::Relaxed) == 0) {
        return false;
    }
    // SAFETY: an all-zero address is valid, and is filled in by the call up to the length given.
    unsafe {
        let mut address: libc::sockaddr = std::mem::zeroed();
        let mut length = std::mem::size_of::<libc::sockaddr>() as libc::socklen_t;
        let known = libc::getsockname(socket, &mut address, &mut length) == 0;
        known && matches!(c_int::from(address.sa_family), libc::AF_INET | libc::AF_INET6)
    }
}

/// Injects the faults of a transfer on a socket: returns an error, or the number of bytes to transfer.
fn inject_transfer_fault(socket: c_int, length: usize, short: FaultKind) -> Result<usize, c_int> {
    if should_fail(FaultKind::Interrupted) {
        return Err(libc::EINTR);
    }
    if may_break(socket) && should_fail(FaultKind::BrokenConnection) {
        // SAFETY: the descriptor is the caller's, and a failure has no effect.
        unsafe { libc::shutdown(socket, libc::SHUT_RDWR) };
        return Err(if next_random() & 1 == 0 { libc::ETIMEDOUT } else { libc::EHOSTUNREACH });
    }
    if length > 1 && should_fail(short) {
        return Ok(length.min(1 + (next_random() % MAX_SHORT_LENGTH as u64) as usize));
    }
    Ok(length)
}

/// # Safety
/// As the C library's `recv`.
#[no_mangle]
pub unsafe extern "C" fn recv(socket: c_int, buffer: *mut c_void, length: size_t, flags: c_int) -> ssize_t {
    // A peek consumes nothing, so it gets no faults.
    let transfer = match flags & libc::MSG_PEEK {
        0 => inject_transfer_fault(socket, length, FaultKind::ShortReceive),
        _ => Ok(length),
    };
    let length = match transfer {
        Ok(length) => length,
        Err(error) => return fail_with(error),
    };
    let null_address = std::ptr::null_mut::<c_void>();
    libc::syscall(libc::SYS_recvfrom, socket, buffer, length, flags, null_address, null_address) as ssize_t
}

/// # Safety
/// As the C library's `send`.
#[no_mangle]
pub unsafe extern "C" fn send(socket: c_int, buffer: *const c_void, length: size_t, flags: c_int) -> ssize_t {
    let length = match inject_transfer_fault(socket, length, FaultKind::ShortSend) {
        Ok(length) => length,
        Err(error) => return fail_with(error),
    };
    let null_address = std::ptr::null_mut::<c_void>();
    libc::syscall(libc::SYS_sendto, socket, buffer, length, flags, null_address, 0 as c_long) as ssize_t
}

/// # Safety
/// As the C library's `accept4`.
#[no_mangle]
pub unsafe extern "C" fn accept4(
    socket: c_int, address: *mut libc::sockaddr, length: *mut libc::socklen_t, flags: c_int,
) -> c_int {
    let rate = word(FaultKind::FailedAccept.rate_word()).map_or(0, |rate| rate.load(Ordering::Relaxed));
    if rate > 0 && next_random() % ALWAYS < rate {
        let count = count_fault(FaultKind::FailedAccept) as usize;
        return fail_with(ACCEPT_ERRORS[count % ACCEPT_ERRORS.len()]) as c_int;
    }
    libc::syscall(libc::SYS_accept4, socket, address, length, flags) as c_int
}

/// # Safety
/// As the C library's `read`.
#[no_mangle]
pub unsafe extern "C" fn read(descriptor: c_int, buffer: *mut c_void, length: size_t) -> ssize_t {
    if is_regular_file(descriptor) && should_fail(FaultKind::FailedRead) {
        return fail_with(libc::EIO);
    }
    libc::syscall(libc::SYS_read, descriptor, buffer, length) as ssize_t
}

/// # Safety
/// As the C library's `write`.
#[no_mangle]
pub unsafe extern "C" fn write(descriptor: c_int, buffer: *const c_void, length: size_t) -> ssize_t {
    if is_regular_file(descriptor) {
        if should_fail(FaultKind::KilledWrite) {
            libc::syscall(libc::SYS_write, descriptor, buffer, length / 2);
            libc::kill(libc::getpid(), libc::SIGKILL);
        }
        if should_fail(FaultKind::FullDisk) {
            return fail_with(libc::ENOSPC);
        }
    }
    libc::syscall(libc::SYS_write, descriptor, buffer, length) as ssize_t
}

/// # Safety
/// As the C library's `fsync`.
#[no_mangle]
pub unsafe extern "C" fn fsync(descriptor: c_int) -> c_int {
    if should_fail(FaultKind::FailedSync) {
        return fail_with(libc::EIO) as c_int;
    }
    libc::syscall(libc::SYS_fsync, descriptor) as c_int
}

/// # Safety
/// As the C library's `fdatasync`.
#[no_mangle]
pub unsafe extern "C" fn fdatasync(descriptor: c_int) -> c_int {
    if should_fail(FaultKind::FailedSync) {
        return fail_with(libc::EIO) as c_int;
    }
    libc::syscall(libc::SYS_fdatasync, descriptor) as c_int
}

/// # Safety
/// As the C library's `rename`.
#[no_mangle]
pub unsafe extern "C" fn rename(from: *const c_char, to: *const c_char) -> c_int {
    if should_fail(FaultKind::FailedRename) {
        return fail_with(libc::EIO) as c_int;
    }
    libc::syscall(libc::SYS_renameat2, libc::AT_FDCWD, from, libc::AT_FDCWD, to, 0 as c_long) as c_int
}

/// # Safety
/// As the C library's `clock_gettime`.
#[no_mangle]
pub unsafe extern "C" fn clock_gettime(clock: clockid_t, time: *mut timespec) -> c_int {
    let result = libc::syscall(libc::SYS_clock_gettime, clock, time) as c_int;
    let offset_ns = word(CLOCK_OFFSET_WORD).map_or(0, |offset_ns| offset_ns.load(Ordering::Relaxed) as i64);
    if result == 0 && clock == libc::CLOCK_REALTIME && offset_ns != 0 {
        let shifted_ns = (*time).tv_sec * NANOS_PER_SECOND + (*time).tv_nsec + offset_ns;
        ((*time).tv_sec, (*time).tv_nsec) =
            (shifted_ns.div_euclid(NANOS_PER_SECOND), shifted_ns.rem_euclid(NANOS_PER_SECOND));
        word(CLOCK_READ_COUNT_WORD).map(|count| count.fetch_add(1, Ordering::Relaxed));
    }
    result
}
