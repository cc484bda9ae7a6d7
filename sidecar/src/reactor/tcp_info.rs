//! What the kernel tells of a TCP connection.
use std::mem::{offset_of, size_of, MaybeUninit};
use std::net::TcpStream;
use std::os::fd::AsRawFd;
use std::time::Duration;

/// The kernel's account of a connection, as far as it told.
struct TcpInfo {
    info: libc::tcp_info,
    length: usize,
}

impl TcpInfo {
    fn of(stream: &TcpStream) -> Option<TcpInfo> {
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
        if result != 0 {
            return None;
        }
        // SAFETY: all fields are numbers, for which the zeros that the kernel left are valid.
        Some(TcpInfo { info: unsafe { info.assume_init() }, length: length as usize })
    }

    /// A field of four bytes at this offset; none if the kernel did not tell it.
    fn field(&self, offset: usize, value: u32) -> Option<u32> {
        (offset + size_of::<u32>() <= self.length).then_some(value)
    }
}

/// How long ago the last bytes of a connection came, read or not, in the kernel's resolution of a few milliseconds.
/// None if the kernel does not tell.
pub(super) fn time_since_last_bytes(stream: &TcpStream) -> Option<Duration> {
    let told = TcpInfo::of(stream)?;
    let age_ms =
        told.field(offset_of!(libc::tcp_info, tcpi_last_data_recv), told.info.tcpi_last_data_recv)?;
    Some(Duration::from_millis(age_ms.into()))
}

/// Whether the peer's machine has acknowledged all that was written, and the end of the stream if that was sent. False
/// if the kernel does not tell.
pub(super) fn all_acknowledged(stream: &TcpStream) -> bool {
    let unacknowledged = || {
        let told = TcpInfo::of(stream)?;
        let segments = told.field(offset_of!(libc::tcp_info, tcpi_unacked), told.info.tcpi_unacked)?;
        let unsent_bytes =
            told.field(offset_of!(libc::tcp_info, tcpi_notsent_bytes), told.info.tcpi_notsent_bytes)?;
        Some((segments, unsent_bytes))
    };
    unacknowledged() == Some((0, 0))
}
