//! Many clients at once on one thread, each of which writes and reads so many bytes at a time.
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// How often each client writes and reads.
const STEP: Duration = Duration::from_millis(20);
/// How many clients of a crowd connect in one step.
const NEW_CLIENTS_PER_STEP: usize = 50;

/// What each client of a crowd does.
#[derive(Clone)]
pub struct Habit {
    /// What it writes on its connection before it falls silent.
    pub bytes: Arc<Vec<u8>>,
    /// How much it writes and reads at a step.
    pub written_per_step: usize,
    pub read_per_step: usize,
}

/// A crowd of clients. One whose connection ends comes again. Dropping it closes all connections.
pub struct Crowd {
    stop: Arc<AtomicBool>,
    /// How many connections it has opened.
    pub connections: Arc<AtomicUsize>,
    thread: Option<JoinHandle<()>>,
}

impl Crowd {
    /// Starts a client for each of these habits.
    pub fn start(address: SocketAddr, habits: Vec<Habit>) -> Crowd {
        let (stop, connections) = (Arc::<AtomicBool>::default(), Arc::<AtomicUsize>::default());
        let (stopped, counter) = (stop.clone(), connections.clone());
        let thread = thread::spawn(move || {
            let mut clients: Vec<Option<Client>> = habits.iter().map(|_| None).collect();
            while !stopped.load(Ordering::Relaxed) {
                let mut may_connect = NEW_CLIENTS_PER_STEP;
                for (client, habit) in clients.iter_mut().zip(&habits) {
                    if client.is_none() && may_connect > 0 {
                        may_connect -= 1;
                        *client = Client::connect(address, habit);
                        counter.fetch_add(1, Ordering::Relaxed);
                    }
                    if client.as_mut().is_some_and(|client| !client.step()) {
                        *client = None;
                    }
                }
                thread::sleep(STEP);
            }
        });
        Crowd { stop, connections, thread: Some(thread) }
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

struct Client {
    stream: TcpStream,
    habit: Habit,
    written: usize,
}

impl Client {
    fn connect(address: SocketAddr, habit: &Habit) -> Option<Client> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_millis(100)).ok()?;
        stream.set_nonblocking(true).ok()?;
        Some(Client { stream, habit: habit.clone(), written: 0 })
    }

    /// Writes and reads once. Returns false if the connection has ended.
    fn step(&mut self) -> bool {
        let rest = &self.habit.bytes[self.written..];
        let part = &rest[..rest.len().min(self.habit.written_per_step)];
        if !part.is_empty() {
            match self.stream.write(part) {
                Ok(count) => self.written += count,
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                Err(_) => return false,
            }
        }
        if self.habit.read_per_step == 0 {
            return self.stream.take_error().is_ok_and(|error| error.is_none());
        }
        match self.stream.read(&mut vec![0; self.habit.read_per_step]) {
            Ok(count) => count > 0,
            Err(error) => error.kind() == ErrorKind::WouldBlock,
        }
    }
}
