//! Connections to servers: opened when none is free, kept while idle, bounded all together. One carries one
//! request at a time.
use crate::tasks::Tasks;
use crate::timers::duration;
use async_executor::Task;
use async_io::{Async, Timer};
use futures_lite::future;
use oakhollow::types::{Micros, Outcome};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io::{ErrorKind, Result};
use std::net::{SocketAddr, TcpStream};
use std::rc::{Rc, Weak};

/// One open connection; dropping it closes it.
pub struct Link {
    pub stream: Async<TcpStream>,
    open: Rc<Cell<usize>>,
}

impl Drop for Link {
    fn drop(&mut self) {
        self.open.set(self.open.get() - 1);
    }
}

impl Link {
    /// Nothing has come and the other side has not closed: between requests anything else means the end.
    fn quiet(&self) -> bool {
        let peeked = self.stream.get_ref().peek(&mut [0]);
        matches!(peeked, Err(fault) if fault.kind() == ErrorKind::WouldBlock)
    }
}

/// One stay of a connection in the pool; the longer ago it began, the lower.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
struct LinkId(u64);

struct Idle {
    link: Rc<Link>,
    id: LinkId,
    /// Retires the connection by its age, or when it turns readable.
    _guard: Option<Task<()>>,
}

pub struct Pool {
    me: Weak<Pool>,
    tasks: Tasks,
    idle: RefCell<HashMap<SocketAddr, Vec<Idle>>>,
    open: Rc<Cell<usize>>,
    parked: Cell<LinkId>,
    most: usize,
    connect_within: Micros,
    keep: Micros,
}

impl Pool {
    /// `most` connections at a time; `idle_close` is when the servers close one that has stood idle.
    pub fn new(tasks: Tasks, most: usize, connect_within: Micros, idle_close: Micros) -> Rc<Pool> {
        Rc::new_cyclic(|me| Pool {
            me: me.clone(),
            tasks,
            idle: RefCell::default(),
            open: Rc::default(),
            parked: Cell::default(),
            most,
            connect_within,
            // Guards against writing a request to a connection that the server is about to close.
            keep: idle_close.times(0.5),
        })
    }

    /// A connection that was used before, if one is free.
    pub fn idle(&self, to: SocketAddr) -> Option<Rc<Link>> {
        loop {
            let taken = self.idle.borrow_mut().get_mut(&to)?.pop()?;
            if taken.link.quiet() {
                return Some(taken.link);
            }
        }
    }

    /// Opens a connection. The outcome of a failure proves that nothing ran.
    pub async fn connect(&self, to: SocketAddr) -> std::result::Result<Rc<Link>, Outcome> {
        if self.open.get() >= self.most {
            self.drop_oldest();
        }
        if self.open.get() >= self.most {
            return Err(Outcome::NotSent);
        }
        // Counted from here on, so that connections on their way keep to the bound too.
        self.open.set(self.open.get() + 1);
        let held = Held(self.open.clone());
        let connected = async { Some(Async::<TcpStream>::connect(to).await) };
        let late = async {
            Timer::after(duration(self.connect_within)).await;
            None
        };
        match future::or(connected, late).await {
            Some(Ok(stream)) => {
                let _ = stream.get_ref().set_nodelay(true);
                std::mem::forget(held); // the link counts itself from now on
                Ok(Rc::new(Link { stream, open: self.open.clone() }))
            }
            // Our own lack of descriptors says nothing of the server.
            Some(Err(fault)) if out_of_descriptors(&fault) => Err(Outcome::NotSent),
            _ => Err(Outcome::NoConnection),
        }
    }

    /// Keeps a connection whose answer has come whole.
    pub fn park(&self, to: SocketAddr, link: Rc<Link>) {
        let id = self.parked.replace(LinkId(self.parked.get().0 + 1));
        let (pool, keep, watched) = (self.me.clone(), duration(self.keep), link.clone());
        let guard = self.tasks.spawn(async move {
            let stirred = async { drop(watched.stream.readable().await) };
            let old = async { _ = Timer::after(keep).await };
            future::or(stirred, old).await;
            if let Some(pool) = pool.upgrade() {
                let mut idle = pool.idle.borrow_mut();
                if let Some(links) = idle.get_mut(&to) {
                    links.retain(|idle| idle.id != id);
                }
            }
        });
        self.idle.borrow_mut().entry(to).or_default().push(Idle { link, id, _guard: guard });
    }

    /// Closes what stands idle to a server that wants nothing new.
    pub fn retire(&self, at: SocketAddr) {
        self.idle.borrow_mut().remove(&at);
    }

    fn drop_oldest(&self) {
        let mut idle = self.idle.borrow_mut();
        let oldest = idle.iter().filter_map(|(at, links)| Some((links.first()?.id, *at))).min();
        if let Some(links) = oldest.and_then(|(_, at)| idle.get_mut(&at)) {
            links.remove(0);
        }
    }
}

/// Counts a connection that is being opened.
struct Held(Rc<Cell<usize>>);

impl Drop for Held {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// EMFILE and ENFILE.
pub fn out_of_descriptors(fault: &std::io::Error) -> bool {
    matches!(fault.raw_os_error(), Some(23 | 24))
}

/// Ends our sending, and waits a little for the other side to end its own: a close with bytes unread would
/// reset the connection, and could take the answer with it.
pub async fn part(stream: &Async<TcpStream>) -> Result<()> {
    use futures_lite::AsyncReadExt;
    stream.get_ref().shutdown(std::net::Shutdown::Write)?;
    let drained = async {
        let (mut rest, mut buffer) = (stream, [0; 1024]);
        while rest.read(&mut buffer).await.is_ok_and(|count| count > 0) {}
    };
    let late = async { _ = Timer::after(std::time::Duration::from_millis(500)).await };
    future::or(drained, late).await;
    Ok(())
}
