//! Tells whether the peer of a connection has closed it, also while bytes that it sent before are still unread.

use rustix::event::{PollFd, PollFlags, Timespec, poll};
use std::net::TcpStream;

/// What is known of the peer's side of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerState {
    /// The peer may still send.
    Open,
    /// The peer has closed its sending side. Whether it still receives is known only once something is sent to it.
    ClosedForSending,
    /// The connection was reset, or both sides are closed: the peer receives nothing any more.
    Gone,
}

/// Returns the state of the peer as the system knows it now. An error of the system counts as an open connection.
pub fn peer_state(socket: &TcpStream) -> PeerState {
    let mut descriptors = [PollFd::new(socket, PollFlags::RDHUP)];
    let immediately = Timespec { tv_sec: 0, tv_nsec: 0 };
    if poll(&mut descriptors, Some(&immediately)).is_err() {
        return PeerState::Open;
    }
    let events = descriptors[0].revents();
    if events.intersects(PollFlags::HUP | PollFlags::ERR) {
        PeerState::Gone
    } else if events.contains(PollFlags::RDHUP) {
        PeerState::ClosedForSending
    } else {
        PeerState::Open
    }
}
