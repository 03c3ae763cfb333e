//! Lines, bodies, notifications and the write queue, each at its bounds.

use async_executor::LocalExecutor;
use async_io::block_on;
use futures_lite::future::{poll_once, yield_now};
use futures_lite::io::{AsyncWrite, BufReader, Cursor};
use hazelgrade_net::connection_end::ConnectionEnd;
use hazelgrade_net::lines::{read_body, read_line};
use hazelgrade_net::notify::Notify;
use hazelgrade_net::write_queue::WriteQueue;
use std::cell::RefCell;
use std::io::{ErrorKind, Result};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

/// Keeps what is written to it.
#[derive(Clone, Default)]
struct Written(Rc<RefCell<Vec<u8>>>);

impl AsyncWrite for Written {
    fn poll_write(self: Pin<&mut Self>, _: &mut Context<'_>, bytes: &[u8]) -> Poll<Result<usize>> {
        self.0.borrow_mut().extend_from_slice(bytes);
        Poll::Ready(Ok(bytes.len()))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_close(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<Result<()>> {
        Poll::Ready(Ok(()))
    }
}

/// Accepts so many bytes, and then resets the connection.
struct Resetting {
    accepted_bytes: usize,
}

impl AsyncWrite for Resetting {
    fn poll_write(mut self: Pin<&mut Self>, _: &mut Context<'_>, bytes: &[u8]) -> Poll<Result<usize>> {
        let count = std::mem::take(&mut self.accepted_bytes).min(bytes.len());
        Poll::Ready(if count > 0 { Ok(count) } else { Err(ErrorKind::ConnectionReset.into()) })
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_close(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<Result<()>> {
        Poll::Ready(Ok(()))
    }
}

#[test]
fn lines_end_by_their_line_feed_or_at_the_bound_or_with_the_input() {
    block_on(async {
        let mut source = BufReader::new(Cursor::new("one\n1234\n12345\nrest"));
        let mut line = Vec::new();
        for expected in ["one\n", "1234\n"] {
            assert_eq!(read_line(&mut source, &mut line, 5).await, Ok(()));
            assert_eq!(line, expected.as_bytes());
        }
        assert_eq!(read_line(&mut source, &mut line, 5).await, Err(ConnectionEnd::TooLong));
        assert_eq!(read_line(&mut source, &mut line, 5).await, Ok(()));
        assert_eq!(read_line(&mut source, &mut line, 5).await, Err(ConnectionEnd::Truncated));
        assert_eq!(read_line(&mut source, &mut line, 5).await, Err(ConnectionEnd::Closed));
    });
}

#[test]
fn bodies_have_their_length_and_end_with_cr_lf() {
    block_on(async {
        let mut source = BufReader::new(Cursor::new("a\nb\r\n12345"));
        assert_eq!(read_body(&mut source, 3).await, Ok(b"a\nb".to_vec()));
        assert_eq!(read_body(&mut source, 3).await, Err(ConnectionEnd::Malformed));
        assert_eq!(read_body(&mut source, 3).await, Err(ConnectionEnd::Truncated));
    });
}

#[test]
fn notifications_before_the_wait_count_once() {
    block_on(async {
        let notify = Notify::default();
        notify.notify();
        notify.notify();
        assert!(poll_once(notify.notified()).await.is_some());
        assert!(poll_once(notify.notified()).await.is_none());
    });
}

#[test]
fn queued_messages_are_written_in_order_and_flushed() {
    let tasks = LocalExecutor::new();
    block_on(tasks.run(async {
        let queue = Rc::new(WriteQueue::new(100));
        let written = Written::default();
        queue.push(b"one ");
        queue.push_with_expiry(b"two ", Some(Instant::now() + Duration::from_secs(100)));
        let writer = queue.clone().spawn_writer_to(&tasks, written.clone());
        assert_eq!(queue.pending(), 2);
        queue.flushed().await;
        queue.push(b"three");
        queue.flushed().await;
        assert_eq!((queue.pending(), &**written.0.borrow()), (0, &b"one two three"[..]));
        assert_eq!(queue.blocked_for(), Duration::ZERO);
        assert!(!writer.is_finished());
    }));
}

#[test]
fn a_full_queue_and_an_expired_message_end_the_connection_with_nothing_written() {
    let tasks = LocalExecutor::new();
    block_on(tasks.run(async {
        let full = Rc::new(WriteQueue::new(4));
        full.push(b"1234");
        full.push(b"5");
        let expired = Rc::new(WriteQueue::new(100));
        expired.push(b"early");
        expired.push_with_expiry(b"late", Some(Instant::now()));
        let written = Written::default();
        let ends = [full, expired].map(|queue| queue.spawn_writer_to(&tasks, written.clone()));
        let [full, expired] = ends;
        assert_eq!(full.await, ConnectionEnd::WriteQueueFull);
        assert_eq!(expired.await, ConnectionEnd::Unsent);
        yield_now().await;
        assert!(written.0.borrow().is_empty());
    }));
}

/// Guards against taking a message for unsent of which the peer may have received a part or all.
#[test]
fn messages_count_as_sent_from_the_first_byte_of_their_batch_on() {
    let tasks = LocalExecutor::new();
    block_on(tasks.run(async {
        for (accepted_bytes, first_unsent) in [(0, 1), (2, 3)] {
            let queue = Rc::new(WriteQueue::new(100));
            assert_eq!((queue.push(b"one "), queue.push(b"two ")), (1, 2));
            let writer = queue.clone().spawn_writer_to(&tasks, Resetting { accepted_bytes });
            assert_eq!(writer.await, ConnectionEnd::Reset);
            assert_eq!((queue.push(b"three"), queue.first_unsent()), (3, first_unsent));
        }
    }));
}
