//! Spawning on the one executor, without keeping it alive: its end ends every task.
use async_executor::{LocalExecutor, Task};
use std::future::Future;
use std::rc::{Rc, Weak};

#[derive(Clone)]
pub struct Tasks(Weak<LocalExecutor<'static>>);

impl Tasks {
    pub fn of(executor: &Rc<LocalExecutor<'static>>) -> Tasks {
        Tasks(Rc::downgrade(executor))
    }

    /// Dropping what this returns cancels the task.
    pub fn spawn<T: 'static>(&self, future: impl Future<Output = T> + 'static) -> Option<Task<T>> {
        self.0.upgrade().map(|executor| executor.spawn(future))
    }

    pub fn run(&self, future: impl Future<Output = ()> + 'static) {
        if let Some(task) = self.spawn(future) {
            task.detach();
        }
    }
}
