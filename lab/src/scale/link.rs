//! The link from a simulated instance to one lease server: lines of JSON on a non-blocking socket, with a bounded
//! queue.
use super::count::MessageCounts;
use oakhollow_accord::Message;
use oakhollow_terms::to_json;
use rustix::event::epoll::{self, EventData, EventFlags};
use rustix::io::Errno;
use rustix::net::{self, AddressFamily, SocketFlags, SocketType};
use std::collections::VecDeque;
use std::io::Result;
use std::net::SocketAddr;
use std::os::fd::{AsFd, OwnedFd};

/// How many messages may wait for a lease server that does not read, as in a sidecar.
const MAX_QUEUED_MESSAGES: usize = 64;
/// The largest capacity that an empty buffer keeps, in bytes.
const MAX_EMPTY_CAPACITY: usize = 4_096;

#[derive(Debug, Default)]
enum State {
    #[default]
    Down,
    Connecting(OwnedFd),
    Up(OwnedFd),
}

/// A link, which may be down.
#[derive(Debug, Default)]
pub struct Link {
    state: State,
    /// The beginning of a line whose end has not arrived.
    partial_line: Vec<u8>,
    /// Lines that wait to be sent.
    queue: VecDeque<Vec<u8>>,
    /// How many bytes of the first of them are sent.
    sent: usize,
    /// Whether epoll reports when the socket is writable.
    awaits_writable: bool,
}

/// How an operation changed a link.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum LinkChange {
    /// Not at all.
    Same,
    /// It is connected.
    Up,
    /// It broke.
    Broken,
}

impl Link {
    /// Begins to connect; drops what waited on the earlier connection.
    pub fn connect(&mut self, epoll: &OwnedFd, token: u64, to: SocketAddr) -> Result<()> {
        self.close();
        let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
        let socket = net::socket_with(AddressFamily::INET, SocketType::STREAM, flags, None)?;
        let _ = net::sockopt::set_tcp_nodelay(&socket, true);
        match net::connect(&socket, &to) {
            Ok(()) | Err(Errno::INPROGRESS) => {}
            Err(error) => return Err(error.into()),
        }
        epoll::add(epoll, &socket, EventData::new_u64(token), EventFlags::IN | EventFlags::OUT)?;
        self.awaits_writable = true;
        self.state = State::Connecting(socket);
        Ok(())
    }

    /// Closes the link and drops what waits.
    pub fn close(&mut self) {
        *self = Link::default();
    }

    /// Stops reading and writing without closing the connection.
    pub fn go_silent(&mut self, epoll: &OwnedFd) {
        if let State::Connecting(socket) | State::Up(socket) = &self.state {
            let _ = epoll::delete(epoll, socket);
        }
        self.queue.clear();
    }

    /// Whether it is connected.
    pub fn is_up(&self) -> bool {
        matches!(self.state, State::Up(_))
    }

    /// Whether it is neither connected nor connecting.
    pub fn is_down(&self) -> bool {
        matches!(self.state, State::Down)
    }

    /// How many messages wait to be sent.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Queues a message for [`Link::write`]; false if the queue is full or the link is not up.
    pub fn enqueue(&mut self, message: &Message) -> bool {
        let has_room = self.is_up() && self.queue.len() < MAX_QUEUED_MESSAGES;
        if has_room {
            self.push_line(to_json(message));
        }
        has_room
    }

    fn push_line(&mut self, line: String) {
        let mut line = line.into_bytes();
        line.push(b'\n');
        self.queue.push_back(line);
    }

    /// Handles an epoll event. Once the link is up, queues the greeting first.
    pub fn handle_event(&mut self, flags: EventFlags, greeting: &str) -> LinkChange {
        match std::mem::take(&mut self.state) {
            State::Connecting(socket) => {
                if !matches!(net::sockopt::socket_error(&socket), Ok(Ok(()))) {
                    return LinkChange::Broken;
                }
                if !flags.contains(EventFlags::OUT) {
                    self.state = State::Connecting(socket);
                    return LinkChange::Same;
                }
                self.state = State::Up(socket);
                self.push_line(greeting.to_string());
                LinkChange::Up
            }
            other => {
                self.state = other;
                LinkChange::Same
            }
        }
    }

    /// Writes as much as the socket takes, and counts it.
    pub fn write(&mut self, epoll: &OwnedFd, token: u64, counts: &mut MessageCounts) -> LinkChange {
        let State::Up(socket) = &self.state else { return LinkChange::Same };
        while let Some(line) = self.queue.front() {
            match rustix::io::write(socket, &line[self.sent..]) {
                Ok(count) => {
                    self.sent += count;
                    counts.bytes_out += count as u64;
                    if self.sent == line.len() {
                        counts.messages_out += 1;
                        self.sent = 0;
                        self.queue.pop_front();
                    }
                }
                Err(Errno::AGAIN) => break,
                Err(Errno::INTR) => {}
                Err(_) => return LinkChange::Broken,
            }
        }
        let awaits_writable = !self.queue.is_empty();
        if awaits_writable != self.awaits_writable {
            let out = if awaits_writable { EventFlags::OUT } else { EventFlags::empty() };
            let data = EventData::new_u64(token);
            if epoll::modify(epoll, socket.as_fd(), data, EventFlags::IN | out).is_err() {
                return LinkChange::Broken;
            }
            self.awaits_writable = awaits_writable;
        }
        LinkChange::Same
    }

    /// Reads once into `scratch`, counts what arrived, and appends the complete messages.
    pub fn read(
        &mut self, scratch: &mut [u8], counts: &mut MessageCounts, messages: &mut Vec<Message>,
    ) -> LinkChange {
        let State::Up(socket) = &self.state else { return LinkChange::Same };
        let count = match rustix::io::read(socket, &mut *scratch) {
            Ok(0) => return LinkChange::Broken,
            Ok(count) => count,
            Err(Errno::AGAIN | Errno::INTR) => return LinkChange::Same,
            Err(_) => return LinkChange::Broken,
        };
        counts.bytes_in += count as u64;
        let mut unread = &scratch[..count];
        while let Some(end) = unread.iter().position(|byte| *byte == b'\n') {
            let (line, rest) = unread.split_at(end);
            unread = &rest[1..];
            let message = match self.partial_line.is_empty() {
                true => serde_json::from_slice(line),
                false => {
                    self.partial_line.extend_from_slice(line);
                    serde_json::from_slice(&self.partial_line)
                }
            };
            self.partial_line.clear();
            let Ok(message) = message else { return LinkChange::Broken };
            counts.messages_in += 1;
            messages.push(message);
        }
        self.partial_line.extend_from_slice(unread);
        if self.partial_line.is_empty() && self.partial_line.capacity() > MAX_EMPTY_CAPACITY {
            self.partial_line = Vec::new();
        }
        LinkChange::Same
    }
}
