//! Loaded into one process of the program by `LD_PRELOAD`, this library makes its system calls fail as the control block says,
//! and counts each failure there. It bends what reaches the C library: `recv`, `send`, `accept4`, `read`, `write`, `fsync`,
//! `fdatasync`, `rename` and the wall clock of `clock_gettime`. What the program asks of the kernel directly (`epoll_wait`,
//! `connect` and `socket` through `rustix`) passes it by.
use libc::{c_char, c_int, c_long, c_void, clockid_t, size_t, ssize_t, timespec};
use oakhollow_faults::{FaultKind, ALWAYS, CLOCK_COUNT_WORD, CLOCK_WORD, CONTROL_VARIABLE, WORDS};
use std::sync::atomic::{AtomicPtr, AtomicU64, Ordering};

/// The longest short read or write, in bytes.
const SHORT: usize = 7;
/// Standard input, output and error are left alone.
const FIRST_DESCRIPTOR: c_int = 3;
const ACCEPT_ERRORS: [c_int; 5] =
    [libc::ECONNABORTED, libc::ENFILE, libc::ENOBUFS, libc::EPROTO, libc::ENETUNREACH];
const NANOS: i64 = 1_000_000_000;

/// The control block, once it is mapped.
static CONTROL: AtomicPtr<AtomicU64> = AtomicPtr::new(std::ptr::null_mut());
/// Draws chances; started from the process's id.
static CHANCE: AtomicU64 = AtomicU64::new(0);

/// Runs when the library is loaded, before the program's own start.
#[used]
#[link_section = ".init_array"]
static LOADED: extern "C" fn() = map_control_block;

extern "C" fn map_control_block() {
    let mut name = CONTROL_VARIABLE.as_bytes().to_vec();
    name.push(0);
    // SAFETY: the name ends with a zero; the file, if it opens, is as long as the mapping by the rig's doing.
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
        let block = libc::mmap(std::ptr::null_mut(), WORDS * 8, access, libc::MAP_SHARED, file, 0);
        libc::close(file);
        if block != libc::MAP_FAILED {
            CHANCE.store(libc::getpid() as u64, Ordering::Relaxed);
            CONTROL.store(block.cast(), Ordering::Release);
        }
    }
}

fn word(at: usize) -> Option<&'static AtomicU64> {
    let block = CONTROL.load(Ordering::Acquire);
    // SAFETY: the mapping holds `WORDS` words, lives as long as the process and is only ever used atomically.
    (!block.is_null()).then(|| unsafe { &*block.add(at) })
}

/// A number that is spread over all 64 bits (splitmix64).
fn draw() -> u64 {
    let state = CHANCE.fetch_add(0x9E37_79B9_7F4A_7C15, Ordering::Relaxed);
    let mixed = (state ^ (state >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    mixed ^ (mixed >> 31)
}

/// Whether this call is struck, which is then counted.
fn strikes(kind: FaultKind) -> bool {
    let rate = word(kind.rate_word()).map_or(0, |rate| rate.load(Ordering::Relaxed));
    let struck = rate > 0 && draw() % ALWAYS < rate;
    if struck {
        count(kind);
    }
    struck
}

/// Counts a failure; returns how often it had struck before.
fn count(kind: FaultKind) -> u64 {
    word(kind.count_word()).map_or(0, |count| count.fetch_add(1, Ordering::Relaxed))
}

fn fail(error: c_int) -> ssize_t {
    // SAFETY: errno is this thread's own.
    unsafe { *libc::__errno_location() = error };
    -1
}

fn is_regular_file(descriptor: c_int) -> bool {
    if descriptor < FIRST_DESCRIPTOR || CONTROL.load(Ordering::Acquire).is_null() {
        return false;
    }
    // SAFETY: an all-zero `stat` is valid, and is filled in by the call.
    unsafe {
        let mut stat: libc::stat = std::mem::zeroed();
        libc::fstat(descriptor, &mut stat) == 0 && stat.st_mode & libc::S_IFMT == libc::S_IFREG
    }
}

/// A pair of local sockets, by which a process wakes itself or hears of signals, does not break.
fn crosses_the_network(socket: c_int) -> bool {
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

/// What befalls a transfer on a socket: an error, or fewer bytes.
fn bend_transfer(socket: c_int, length: usize, short: FaultKind) -> Result<usize, c_int> {
    if strikes(FaultKind::Interrupted) {
        return Err(libc::EINTR);
    }
    if crosses_the_network(socket) && strikes(FaultKind::BrokenConnection) {
        // SAFETY: concerns the caller's own descriptor; a failure changes nothing.
        unsafe { libc::shutdown(socket, libc::SHUT_RDWR) };
        return Err(if draw() & 1 == 0 { libc::ETIMEDOUT } else { libc::EHOSTUNREACH });
    }
    if length > 1 && strikes(short) {
        return Ok(length.min(1 + (draw() % SHORT as u64) as usize));
    }
    Ok(length)
}

/// # Safety
/// As the C library's `recv`.
#[no_mangle]
pub unsafe extern "C" fn recv(socket: c_int, buffer: *mut c_void, length: size_t, flags: c_int) -> ssize_t {
    // A peek takes nothing: it is left as it is.
    let bent = match flags & libc::MSG_PEEK {
        0 => bend_transfer(socket, length, FaultKind::ShortReceive),
        _ => Ok(length),
    };
    let length = match bent {
        Ok(length) => length,
        Err(error) => return fail(error),
    };
    let none = std::ptr::null_mut::<c_void>();
    libc::syscall(libc::SYS_recvfrom, socket, buffer, length, flags, none, none) as ssize_t
}

/// # Safety
/// As the C library's `send`.
#[no_mangle]
pub unsafe extern "C" fn send(socket: c_int, buffer: *const c_void, length: size_t, flags: c_int) -> ssize_t {
    let length = match bend_transfer(socket, length, FaultKind::ShortSend) {
        Ok(length) => length,
        Err(error) => return fail(error),
    };
    let none = std::ptr::null_mut::<c_void>();
    libc::syscall(libc::SYS_sendto, socket, buffer, length, flags, none, 0 as c_long) as ssize_t
}

/// # Safety
/// As the C library's `accept4`.
#[no_mangle]
pub unsafe extern "C" fn accept4(
    socket: c_int, address: *mut libc::sockaddr, length: *mut libc::socklen_t, flags: c_int,
) -> c_int {
    let rate = word(FaultKind::FailedAccept.rate_word()).map_or(0, |rate| rate.load(Ordering::Relaxed));
    if rate > 0 && draw() % ALWAYS < rate {
        let before = count(FaultKind::FailedAccept) as usize;
        return fail(ACCEPT_ERRORS[before % ACCEPT_ERRORS.len()]) as c_int;
    }
    libc::syscall(libc::SYS_accept4, socket, address, length, flags) as c_int
}

/// # Safety
/// As the C library's `read`.
#[no_mangle]
pub unsafe extern "C" fn read(descriptor: c_int, buffer: *mut c_void, length: size_t) -> ssize_t {
    if is_regular_file(descriptor) && strikes(FaultKind::FailedRead) {
        return fail(libc::EIO);
    }
    libc::syscall(libc::SYS_read, descriptor, buffer, length) as ssize_t
}

/// # Safety
/// As the C library's `write`.
#[no_mangle]
pub unsafe extern "C" fn write(descriptor: c_int, buffer: *const c_void, length: size_t) -> ssize_t {
    if is_regular_file(descriptor) {
        if strikes(FaultKind::KilledWrite) {
            libc::syscall(libc::SYS_write, descriptor, buffer, length / 2);
            libc::kill(libc::getpid(), libc::SIGKILL);
        }
        if strikes(FaultKind::FullDisk) {
            return fail(libc::ENOSPC);
        }
    }
    libc::syscall(libc::SYS_write, descriptor, buffer, length) as ssize_t
}

/// # Safety
/// As the C library's `fsync`.
#[no_mangle]
pub unsafe extern "C" fn fsync(descriptor: c_int) -> c_int {
    if strikes(FaultKind::FailedSync) {
        return fail(libc::EIO) as c_int;
    }
    libc::syscall(libc::SYS_fsync, descriptor) as c_int
}

/// # Safety
/// As the C library's `fdatasync`.
#[no_mangle]
pub unsafe extern "C" fn fdatasync(descriptor: c_int) -> c_int {
    if strikes(FaultKind::FailedSync) {
        return fail(libc::EIO) as c_int;
    }
    libc::syscall(libc::SYS_fdatasync, descriptor) as c_int
}

/// # Safety
/// As the C library's `rename`.
#[no_mangle]
pub unsafe extern "C" fn rename(from: *const c_char, to: *const c_char) -> c_int {
    if strikes(FaultKind::FailedRename) {
        return fail(libc::EIO) as c_int;
    }
    libc::syscall(libc::SYS_renameat2, libc::AT_FDCWD, from, libc::AT_FDCWD, to, 0 as c_long) as c_int
}

/// # Safety
/// As the C library's `clock_gettime`.
#[no_mangle]
pub unsafe extern "C" fn clock_gettime(clock: clockid_t, time: *mut timespec) -> c_int {
    let done = libc::syscall(libc::SYS_clock_gettime, clock, time) as c_int;
    let ahead = word(CLOCK_WORD).map_or(0, |ahead| ahead.load(Ordering::Relaxed) as i64);
    if done == 0 && clock == libc::CLOCK_REALTIME && ahead != 0 {
        let bent = (*time).tv_sec * NANOS + (*time).tv_nsec + ahead;
        ((*time).tv_sec, (*time).tv_nsec) = (bent.div_euclid(NANOS), bent.rem_euclid(NANOS));
        word(CLOCK_COUNT_WORD).map(|count| count.fetch_add(1, Ordering::Relaxed));
    }
    done
}
