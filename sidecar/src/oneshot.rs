//! A channel for one value between two tasks of the same thread.
use std::cell::Cell;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};

struct Slot<T> {
    value: Cell<Option<T>>,
    closed: Cell<bool>,
    waiting: Cell<Option<Waker>>,
}

impl<T> Slot<T> {
    fn close(&self) {
        self.closed.set(true);
        if let Some(waker) = self.waiting.take() {
            waker.wake();
        }
    }
}

/// The sending end. If it is dropped without a value, the receiver gets none.
pub struct Sender<T>(Rc<Slot<T>>);

/// The receiving end. `&Receiver` is a future of the value, or of none.
pub struct Receiver<T>(Rc<Slot<T>>);

/// Creates a channel.
pub fn oneshot<T>() -> (Sender<T>, Receiver<T>) {
    let slot = Rc::new(Slot { value: Cell::new(None), closed: Cell::new(false), waiting: Cell::new(None) });
    (Sender(slot.clone()), Receiver(slot))
}

impl<T> Sender<T> {
    /// Sends the value.
    pub fn send(self, value: T) {
        self.0.value.set(Some(value));
    }
}

impl<T> Drop for Sender<T> {
    fn drop(&mut self) {
        self.0.close();
    }
}

impl<T> Future for &Receiver<T> {
    type Output = Option<T>;

    fn poll(self: Pin<&mut Self>, context: &mut Context) -> Poll<Option<T>> {
        if self.0.closed.get() {
            return Poll::Ready(self.0.value.take());
        }
        self.0.waiting.set(Some(context.waker().clone()));
        Poll::Pending
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use futures_lite::future;

    #[test]
    fn the_receiver_gets_the_value_or_none() {
        let (sender, receiver) = oneshot();
        assert!(future::block_on(future::poll_once(&receiver)).is_none());
        sender.send(5);
        assert_eq!(future::block_on(&receiver), Some(5));
        let (sender, receiver) = oneshot::<u8>();
        drop(sender);
        assert_eq!(future::block_on(&receiver), None);
    }
}
