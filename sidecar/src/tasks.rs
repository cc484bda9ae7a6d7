//! Spawning on a thread's executor without keeping the executor alive: when it ends, so does every task. The
//! executor passes a panic only to the code that awaits the task, and most tasks are never awaited, so a panic is
//! also reported by [`Tasks::panicked`], which ends the thread.
use crate::oneshot::{oneshot, Receiver, Sender};
use async_executor::{LocalExecutor, Task};
use futures_lite::FutureExt;
use std::cell::Cell;
use std::future::Future;
use std::panic::{resume_unwind, AssertUnwindSafe};
use std::rc::{Rc, Weak};

/// Spawns tasks on one executor, and reports whether any of them has panicked.
#[derive(Clone)]
pub struct Tasks {
    executor: Weak<LocalExecutor<'static>>,
    panic_sender: Rc<Cell<Option<Sender<()>>>>,
    panic_receiver: Rc<Receiver<()>>,
}

impl Tasks {
    /// For tasks on that executor.
    pub fn new(executor: &Rc<LocalExecutor<'static>>) -> Tasks {
        let (panic_sender, panic_receiver) = oneshot();
        Tasks {
            executor: Rc::downgrade(executor),
            panic_sender: Rc::new(Cell::new(Some(panic_sender))),
            panic_receiver: Rc::new(panic_receiver),
        }
    }

    /// Spawns a task; none if the executor has ended. Dropping the task cancels it.
    pub fn spawn<T: 'static>(&self, future: impl Future<Output = T> + 'static) -> Option<Task<T>> {
        let panic_sender = self.panic_sender.clone();
        let reporting = async move {
            AssertUnwindSafe(future).catch_unwind().await.unwrap_or_else(|panic| {
                drop(panic_sender.take());
                resume_unwind(panic)
            })
        };
        self.executor.upgrade().map(|executor| executor.spawn(reporting))
    }

    /// Spawns a task that runs until it ends or the executor does.
    pub fn spawn_detached(&self, future: impl Future<Output = ()> + 'static) {
        if let Some(task) = self.spawn(future) {
            task.detach();
        }
    }

    /// Waits until a task has panicked. The thread should end then, instead of running on without that task.
    pub async fn panicked(&self) {
        (&*self.panic_receiver).await;
    }
}
