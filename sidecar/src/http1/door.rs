//! The door for callers: takes connections in, holds no more than it may, and closes those that stand idle when
//! room is wanted or the program leaves.
use super::callers::Caller;
use super::{Desk, Names};
use crate::tasks::Tasks;
use async_channel::{bounded, Receiver, Sender};
use async_io::{Async, Timer};
use oakhollow::types::Micros;
use slog::{info, warn, Logger};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// After a failed accept: what made it fail, such as a lack of descriptors, does not pass in an instant.
const PAUSE: Duration = Duration::from_millis(50);

/// One stay of a connection among the idle ones; the longer ago it began, the lower.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
struct StayId(u64);

/// What the connections of callers share.
pub struct Door {
    pub desk: Rc<Desk>,
    pub names: Names,
    tasks: Tasks,
    log: Logger,
    /// Connections held at a time.
    most: usize,
    open: Cell<usize>,
    stays: Cell<StayId>,
    /// Those between requests; dropping a sender closes its connection.
    idle: RefCell<BTreeMap<StayId, Sender<()>>>,
    stirred: (Sender<()>, Receiver<()>),
    /// Others wait to be taken in.
    crowded: Cell<bool>,
    able: Cell<bool>,
    closing: Cell<bool>,
    answer_by: Cell<Micros>,
}

impl Door {
    pub fn new(desk: Rc<Desk>, names: Names, tasks: Tasks, log: Logger, most: usize) -> Rc<Door> {
        Rc::new(Door {
            desk,
            names,
            tasks,
            log,
            most,
            open: Cell::new(0),
            stays: Cell::default(),
            idle: RefCell::default(),
            stirred: bounded(1),
            crowded: Cell::new(false),
            able: Cell::new(false),
            closing: Cell::new(false),
            answer_by: Cell::new(Micros::NEVER),
        })
    }

    /// Whether this phase wants callers at all.
    pub fn set_able(&self, able: bool) {
        self.able.set(able);
    }

    /// What `/ready` says.
    pub fn ready(&self) -> bool {
        self.able.get() && self.desk.listed.get()
    }

    /// Whether a connection may be kept after an answer.
    pub fn keeps(&self) -> bool {
        !self.closing.get() && !self.crowded.get()
    }

    /// No API call that comes from now on may take longer than until then.
    pub fn answer_by(&self, then: Micros) {
        self.answer_by.set(then);
    }

    pub fn latest(&self) -> Micros {
        self.answer_by.get()
    }

    /// From now on no connection outlives the answer it waits for.
    pub fn close(&self) {
        self.closing.set(true);
        self.idle.borrow_mut().clear();
    }

    pub fn closing(&self) -> bool {
        self.closing.get()
    }

    pub fn open(&self) -> usize {
        self.open.get()
    }

    /// Takes connections in until dropped.
    pub async fn welcome(self: Rc<Self>, listener: Rc<Async<TcpListener>>) {
        let mut failures = 0_u32;
        loop {
            while self.open.get() >= self.most {
                // Guards against kept connections shutting out new clients: the longest idle makes room.
                self.crowded.set(true);
                drop(self.idle.borrow_mut().pop_first());
                let _ = self.stirred.1.recv().await;
            }
            self.crowded.set(false);
            match listener.accept().await {
                Ok((stream, _)) => {
                    if std::mem::take(&mut failures) > 0 {
                        info!(self.log, "connections are taken in again, {} open", self.open.get());
                    }
                    self.take_in(stream);
                }
                Err(fault) => {
                    // Guards against spinning: the connection that can't be taken in stays readable.
                    failures += 1;
                    if failures == 1 {
                        warn!(self.log, "cannot take connections in, {} open: {}", self.open.get(), fault);
                    }
                    drop(self.idle.borrow_mut().pop_first());
                    Timer::after(PAUSE).await;
                }
            }
        }
    }

    /// Takes in what the machine has accepted already: those clients may have written their requests.
    pub fn take_rest(self: &Rc<Self>, listener: &Async<TcpListener>) {
        while let Ok((stream, _)) = listener.get_ref().accept() {
            if let Ok(stream) = Async::new(stream) {
                self.take_in(stream);
            }
        }
    }

    fn take_in(self: &Rc<Self>, stream: Async<TcpStream>) {
        let _ = stream.get_ref().set_nodelay(true);
        self.open.set(self.open.get() + 1);
        let door = self.clone();
        self.tasks.run(async move {
            Caller::new(&door, stream).serve().await;
            door.open.set(door.open.get() - 1);
            let _ = door.stirred.0.try_send(());
        });
    }

    /// Comes to an end when a connection that is idle from now on should be closed.
    pub async fn told_to_close(&self) {
        if self.closing.get() {
            return;
        }
        let stay = self.stays.replace(StayId(self.stays.get().0 + 1));
        let (sender, told) = bounded::<()>(1);
        self.idle.borrow_mut().insert(stay, sender);
        let _entry = Entry { idle: &self.idle, stay };
        if self.crowded.get() {
            // Guards against waiting for room for ever where all were busy, or not yet idle, when it was looked for.
            let _ = self.stirred.0.try_send(());
        }
        let _ = told.recv().await;
    }
}

/// A connection's place among the idle; given up when it is idle no more.
struct Entry<'a> {
    idle: &'a RefCell<BTreeMap<StayId, Sender<()>>>,
    stay: StayId,
}

impl Drop for Entry<'_> {
    fn drop(&mut self) {
        self.idle.borrow_mut().remove(&self.stay);
    }
}
