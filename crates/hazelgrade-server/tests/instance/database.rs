//! The pool of connections to the database: reuse of connections, and what is known of a call whose connection ended.

use crate::common::*;
use async_executor::LocalExecutor;
use async_io::{Timer, block_on};
use futures_lite::future::yield_now;
use hazelgrade_net::connection_end::ConnectionEnd;
use hazelgrade_server::transport::database::{Database, LostConnection, ReplyHandler};
use std::cell::{Cell, RefCell};
use std::net::TcpListener;
use std::rc::Rc;
use std::time::{Duration, Instant};

#[derive(Default)]
struct Received {
    log: RefCell<Vec<String>>,
    lost: Cell<Option<LostConnection>>,
}

impl ReplyHandler for Received {
    type Head = ();

    fn decode_head(&self, _: &[u8]) -> Result<(), ConnectionEnd> {
        Ok(())
    }

    fn body_length(&self, (): &()) -> Option<usize> {
        None
    }

    fn reply(&self, connection: u64, (): (), _: Vec<u8>) {
        self.log.borrow_mut().push(format!("reply on {connection}"));
    }

    fn ended(&self, lost: LostConnection) {
        self.log.borrow_mut().push(format!("{}: {:?}", lost.number, lost.end));
        self.lost.replace(Some(lost));
    }
}

#[test]
fn database_connections_are_reused_closed_when_idle_and_report_whether_anything_was_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind to a free port");
    let address = listener.local_addr().expect("read the local address");
    let database = Rc::new(Database::new(address, 32, Duration::from_millis(100)));
    let (received, tasks) = (Rc::new(Received::default()), Rc::new(LocalExecutor::new()));
    let pause = |ms| Timer::after(Duration::from_millis(ms));
    let scenario = async {
        let call = |excluded: &[u64]| database.call(&tasks, &received, b"Q\r\n", excluded, None).connection;
        assert_eq!((call(&[]), call(&[])), (1, 2));
        pause(30).await;
        let (mut one, _two) = (Peer::accept(&listener), Peer::accept(&listener));
        one.write("Q ROWS\r\n");
        pause(30).await;
        database.call_ended(1);
        assert_eq!(call(&[1]), 3);
        assert_eq!(call(&[]), 1);
        database.call_ended(1);
        pause(250).await;
        assert!(one.receive_line() == "Q\r\n" && one.receive_line() == "Q\r\n" && one.is_closed());
        database.set_address(free_address());
        assert_eq!(call(&[]), 4);
        pause(30).await;
    };
    block_on(tasks.run(scenario));
    assert_eq!(*received.log.borrow(), ["reply on 1", "1: Idle", "4: Unreachable"]);
}

/// Lets the other tasks run until a condition holds.
async fn yield_until(mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "the condition did not hold within {TIMEOUT:?}");
        yield_now().await;
    }
}

/// Guards against a second run of a call that was sent, because the cancellation of another call was still unsent when
/// their connection ended.
#[test]
fn a_call_that_was_sent_is_not_taken_for_unsent_when_a_cancellation_behind_it_is_lost() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind to a free port");
    listener.set_nonblocking(true).expect("set the blocking mode of the socket");
    let address = listener.local_addr().expect("read the local address");
    // One connection that both calls share.
    let database = Rc::new(Database::new(address, 2, Duration::from_secs(10)));
    let (received, tasks) = (Rc::new(Received::default()), Rc::new(LocalExecutor::new()));
    let scenario = async {
        let call = |message: &[u8]| database.call(&tasks, &received, message, &[], None);
        let (sent, cancelled) = (call(b"Q a\r\n"), call(b"Q b\r\n"));
        assert_eq!(sent.connection, cancelled.connection);
        let mut accepted = None;
        yield_until(|| {
            accepted = listener.accept().ok().or(accepted.take());
            accepted.is_some()
        })
        .await;
        let (peer, _) = accepted.expect("the pool has connected");
        peer.set_nonblocking(true).expect("set the blocking mode of the socket");
        let mut bytes = [0; 10];
        yield_until(|| peer.peek(&mut bytes).unwrap_or_default() == bytes.len()).await;
        // Closing with unread bytes resets the connection. The cancellation is queued before the reset is noticed.
        drop(peer);
        database.send(cancelled.connection, b"X b\r\n");
        database.call_ended(cancelled.connection);
        let unsent = call(b"Q c\r\n");
        yield_until(|| received.lost.get().is_some()).await;
        let lost = received.lost.get().expect("the connection has ended");
        assert_ne!(lost.call_end(sent), ConnectionEnd::Unsent);
        assert_ne!(lost.call_end(sent), ConnectionEnd::Unreachable);
        (lost, unsent)
    };
    let (lost, unsent) = block_on(tasks.run(scenario));
    assert_eq!(lost.number, unsent.connection);
}
