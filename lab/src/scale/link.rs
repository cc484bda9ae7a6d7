//! The link from a simulated instance to one lease server: a non-blocking socket that carries lines of JSON, and a
//! bounded send queue.
use super::count::TrafficCounts;
use oakhollow_config::to_json;
use oakhollow_lease::Message;
use rustix::event::epoll::{self, EventData, EventFlags};
use rustix::io::Errno;
use rustix::net::{self, AddressFamily, SocketFlags, SocketType};
use std::collections::VecDeque;
use std::io::Result;
use std::net::SocketAddr;
use std::os::fd::{AsFd, OwnedFd};

/// Messages that may be queued for a peer that does not read; the same bound as in a sidecar.
const MAX_QUEUED_MESSAGES: usize = 64;
/// Capacity that an empty read buffer may keep.
const MAX_IDLE_BUFFER_BYTES: usize = 4_096;

#[derive(Debug, Default)]
enum LinkState {
    #[default]
    Disconnected,
    Connecting(OwnedFd),
    Connected(OwnedFd),
}

/// A connection to one lease server, which may be down.
#[derive(Debug, Default)]
pub struct Link {
    state: LinkState,
    /// The received part of an incomplete line.
    read_buffer: Vec<u8>,
    /// Queued lines, and how many bytes of the first one are sent.
    write_queue: VecDeque<Vec<u8>>,
    sent_bytes: usize,
    /// Whether epoll reports when the socket is writable.
    wants_write: bool,
}

/// How an operation changed the state of a link.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum LinkChange {
    Unchanged,
    Connected,
    Broken,
}

impl Link {
    /// Starts to connect and drops what was queued for an earlier connection.
    pub fn connect(&mut self, epoll: &OwnedFd, token: u64, address: SocketAddr) -> Result<()> {
        self.close();
        let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
        let socket = net::socket_with(AddressFamily::INET, SocketType::STREAM, flags, None)?;
        let _ = net::sockopt::set_tcp_nodelay(&socket, true);
        match net::connect(&socket, &address) {
            Ok(()) | Err(Errno::INPROGRESS) => {}
            Err(error) => return Err(error.into()),
        }
        epoll::add(epoll, &socket, EventData::new_u64(token), EventFlags::IN | EventFlags::OUT)?;
        self.wants_write = true;
        self.state = LinkState::Connecting(socket);
        Ok(())
    }

    pub fn close(&mut self) {
        *self = Link::default();
    }

    /// Stops reading and writing without closing the socket, so that the peer does not notice.
    pub fn go_silent(&mut self, epoll: &OwnedFd) {
        if let LinkState::Connecting(socket) | LinkState::Connected(socket) = &self.state {
            let _ = epoll::delete(epoll, socket);
        }
        self.write_queue.clear();
    }

    pub fn is_connected(&self) -> bool {
        matches!(self.state, LinkState::Connected(_))
    }

    pub fn is_disconnected(&self) -> bool {
        matches!(self.state, LinkState::Disconnected)
    }

    /// Number of messages that wait to be sent.
    pub fn queue_len(&self) -> usize {
        self.write_queue.len()
    }

    /// Queues a message, which [`Link::write`] sends. Returns false if the queue is full or the link is not connected.
    pub fn enqueue(&mut self, message: &Message) -> bool {
        let accepted = self.is_connected() && self.write_queue.len() < MAX_QUEUED_MESSAGES;
        if accepted {
            self.push_line(to_json(message));
        }
        accepted
    }

    fn push_line(&mut self, line: String) {
        let mut line = line.into_bytes();
        line.push(b'\n');
        self.write_queue.push_back(line);
    }

    /// Handles an epoll event of the socket. Queues the greeting as soon as the connection is established.
    pub fn handle_event(&mut self, flags: EventFlags, greeting: &str) -> LinkChange {
        match std::mem::take(&mut self.state) {
            LinkState::Connecting(socket) => {
                if !matches!(net::sockopt::socket_error(&socket), Ok(Ok(()))) {
                    return LinkChange::Broken;
                }
                if !flags.contains(EventFlags::OUT) {
                    self.state = LinkState::Connecting(socket);
                    return LinkChange::Unchanged;
                }
                self.state = LinkState::Connected(socket);
                self.push_line(greeting.to_string());
                LinkChange::Connected
            }
            other => {
                self.state = other;
                LinkChange::Unchanged
            }
        }
    }

    /// Sends as much as the socket takes, and counts it.
    pub fn write(&mut self, epoll: &OwnedFd, token: u64, traffic: &mut TrafficCounts) -> LinkChange {
        let LinkState::Connected(socket) = &self.state else { return LinkChange::Unchanged };
        while let Some(line) = self.write_queue.front() {
            match rustix::io::write(socket, &line[self.sent_bytes..]) {
                Ok(count) => {
                    self.sent_bytes += count;
                    traffic.bytes_out += count as u64;
                    if self.sent_bytes == line.len() {
                        traffic.messages_out += 1;
                        self.sent_bytes = 0;
                        self.write_queue.pop_front();
                    }
                }
                Err(Errno::AGAIN) => break,
                Err(Errno::INTR) => {}
                Err(_) => return LinkChange::Broken,
            }
        }
        let wants_write = !self.write_queue.is_empty();
        if wants_write != self.wants_write {
            let out = if wants_write { EventFlags::OUT } else { EventFlags::empty() };
            let data = EventData::new_u64(token);
            if epoll::modify(epoll, socket.as_fd(), data, EventFlags::IN | out).is_err() {
                return LinkChange::Broken;
            }
            self.wants_write = wants_write;
        }
        LinkChange::Unchanged
    }

    /// Reads once, at most as much as `buffer` holds, and appends the complete messages to `messages`.
    pub fn read(
        &mut self, buffer: &mut [u8], traffic: &mut TrafficCounts, messages: &mut Vec<Message>,
    ) -> LinkChange {
        let LinkState::Connected(socket) = &self.state else { return LinkChange::Unchanged };
        let count = match rustix::io::read(socket, &mut *buffer) {
            Ok(0) => return LinkChange::Broken,
            Ok(count) => count,
            Err(Errno::AGAIN | Errno::INTR) => return LinkChange::Unchanged,
            Err(_) => return LinkChange::Broken,
        };
        traffic.bytes_in += count as u64;
        let mut unread = &buffer[..count];
        while let Some(end) = unread.iter().position(|byte| *byte == b'\n') {
            let (line, rest) = unread.split_at(end);
            unread = &rest[1..];
            let message = match self.read_buffer.is_empty() {
                true => serde_json::from_slice(line),
                false => {
                    self.read_buffer.extend_from_slice(line);
                    serde_json::from_slice(&self.read_buffer)
                }
            };
            self.read_buffer.clear();
            let Ok(message) = message else { return LinkChange::Broken };
            traffic.messages_in += 1;
            messages.push(message);
        }
        self.read_buffer.extend_from_slice(unread);
        if self.read_buffer.is_empty() && self.read_buffer.capacity() > MAX_IDLE_BUFFER_BYTES {
            self.read_buffer = Vec::new();
        }
        LinkChange::Unchanged
    }
}
