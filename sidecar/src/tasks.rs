//! Spawning on the one executor of a thread, without keeping it alive: its end ends every task. The executor keeps a panic
//! for whoever awaits the task, and mostly nobody does: it dooms the thread here instead.
use crate::oneshot::{oneshot, Receiver, Sender};
use async_executor::{LocalExecutor, Task};
use futures_lite::FutureExt;
use std::cell::Cell;
use std::future::Future;
use std::panic::{resume_unwind, AssertUnwindSafe};
use std::rc::{Rc, Weak};

#[derive(Clone)]
pub struct Tasks {
    executor: Weak<LocalExecutor<'static>>,
    doom: Rc<Cell<Option<Sender<()>>>>,
    doomed: Rc<Receiver<()>>,
}

impl Tasks {
    pub fn new(executor: &Rc<LocalExecutor<'static>>) -> Tasks {
        let (doom, doomed) = oneshot();
        Tasks {
            executor: Rc::downgrade(executor),
            doom: Rc::new(Cell::new(Some(doom))),
            doomed: Rc::new(doomed),
        }
    }

    /// Dropping what this returns cancels the task.
    pub fn spawn<T: 'static>(&self, future: impl Future<Output = T> + 'static) -> Option<Task<T>> {
        let doom = self.doom.clone();
        let watched = async move {
            AssertUnwindSafe(future).catch_unwind().await.unwrap_or_else(|panic| {
                drop(doom.take());
                resume_unwind(panic)
            })
        };
        self.executor.upgrade().map(|executor| executor.spawn(watched))
    }

    pub fn spawn_detached(&self, future: impl Future<Output = ()> + 'static) {
        if let Some(task) = self.spawn(future) {
            task.detach();
        }
    }

    /// Ends when a task has panicked. Guards against a thread that goes on half alive.
    pub async fn panicked(&self) {
        (&*self.doomed).await;
    }
}
