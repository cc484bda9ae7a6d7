//! What the kernel tells of a TCP connection.
use std::mem::{offset_of, size_of, MaybeUninit};
use std::net::TcpStream;
use std::os::fd::AsRawFd;
use std::time::Duration;

/// How long ago the last bytes of a connection came, read or not, in the kernel's resolution of a few milliseconds.
/// None if the kernel does not tell.
pub(super) fn time_since_last_bytes(stream: &TcpStream) -> Option<Duration> {
    let mut info = MaybeUninit::<libc::tcp_info>::zeroed();
    let mut length = size_of::<libc::tcp_info>() as libc::socklen_t;
    // SAFETY: `info` has `length` bytes, of which the kernel writes at most so many, and the descriptor is open.
    let result = unsafe {
        libc::getsockopt(
            stream.as_raw_fd(),
            libc::IPPROTO_TCP,
            libc::TCP_INFO,
            info.as_mut_ptr().cast(),
            &mut length,
        )
    };
    let field_end = offset_of!(libc::tcp_info, tcpi_last_data_recv) + size_of::<u32>();
    if result != 0 || (length as usize) < field_end {
        return None;
    }
    // SAFETY: all fields are numbers, for which the zeros that the kernel left are valid.
    let info = unsafe { info.assume_init() };
    Some(Duration::from_millis(info.tcpi_last_data_recv.into()))
}
