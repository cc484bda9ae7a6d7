//! What the kernel tells of a socket's buffers, and how much it may hold in them.
use std::mem::size_of_val;
use std::net::TcpStream;
use std::os::fd::AsRawFd;

/// The positions, in the kernel's account, of the memory that received bytes take and of its limit.
const RECEIVE_MEMORY: usize = 0;
const RECEIVE_MEMORY_LIMIT: usize = 1;
/// How many numbers the kernel's account has at the most.
const ACCOUNT_LENGTH: usize = 9;

/// Whether received bytes fill so much of a connection's buffer that the kernel may keep the peer from sending more: it
/// begins to do so at half of the limit. None if the kernel does not tell.
pub(super) fn receive_buffer_is_full(stream: &TcpStream) -> Option<bool> {
    let mut account = [0_u32; ACCOUNT_LENGTH];
    let mut length = size_of_val(&account) as libc::socklen_t;
    // SAFETY: `account` has `length` bytes, of which the kernel writes at most so many, and the descriptor is open.
    let result = unsafe {
        libc::getsockopt(
            stream.as_raw_fd(),
            libc::SOL_SOCKET,
            libc::SO_MEMINFO,
            account.as_mut_ptr().cast(),
            &mut length,
        )
    };
    let told = length as usize / size_of_val(&account[RECEIVE_MEMORY]);
    (result == 0 && told > RECEIVE_MEMORY_LIMIT)
        .then(|| account[RECEIVE_MEMORY] >= account[RECEIVE_MEMORY_LIMIT] / 2)
}

/// Lets the kernel hold so many unread bytes of a connection, as far as it allows; more arrive once some have been read.
/// Returns whether it took the request.
///
/// A low-water mark makes the kernel enlarge the buffer by itself, up to the host's limit, and without ending its own
/// adaptation as a fixed size would. The mark is taken back at once, so that reads are not held back.
pub(super) fn hold_unread(stream: &TcpStream, bytes: libc::c_int) -> bool {
    set_low_water_mark(stream, bytes) && set_low_water_mark(stream, 1)
}

fn set_low_water_mark(stream: &TcpStream, bytes: libc::c_int) -> bool {
    // SAFETY: the option is a number, whose size is given, and the descriptor is open.
    let result = unsafe {
        libc::setsockopt(
            stream.as_raw_fd(),
            libc::SOL_SOCKET,
            libc::SO_RCVLOWAT,
            (&raw const bytes).cast(),
            size_of_val(&bytes) as libc::socklen_t,
        )
    };
    result == 0
}
