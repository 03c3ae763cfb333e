//! Fault proxies: every connection or datagram between two processes of a test passes one, at an address of its own.

use crate::direction::{Datagrams, Delivery, LinkConditions, Stream};
use async_executor::Executor;
use async_io::{Async, Timer};
use event_listener::Event;
use futures_lite::future::{or, pending};
use futures_lite::io::{AsyncReadExt, AsyncWriteExt};
use hazelgrade::time::{Span, Time};
use rustix::net::sockopt::set_socket_linger;
use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, LazyLock, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Bytes that are read at once.
const CHUNK_BYTES: usize = 16 * 1024;

/// Runs all proxies of this process, on two threads.
static PROXY_EXECUTOR: LazyLock<&'static Executor<'static>> = LazyLock::new(|| {
    let proxies: &'static Executor<'static> = Box::leak(Box::new(Executor::new()));
    for _ in 0..2 {
        std::thread::spawn(|| async_io::block_on(proxies.run(pending::<()>())));
    }
    proxies
});
static START: LazyLock<Instant> = LazyLock::new(Instant::now);

/// The time since the first proxy of this process.
pub fn now() -> Time {
    at(Instant::now())
}

/// An instant as time since the first proxy of this process.
pub fn at(instant: Instant) -> Time {
    Time::from_ms(instant.saturating_duration_since(*START).as_secs_f64() * 1000.0)
}

/// Waits until a time, or forever.
async fn until(at: Option<Time>) {
    match at {
        Some(at) => {
            Timer::after(Duration::from_secs_f64(at.since(now()).as_ms() / 1000.0)).await;
        }
        None => pending().await,
    }
}

/// A direction of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// Towards the process that listens behind the proxy.
    To,
    /// From it, back to who connected.
    Back,
}

struct Shared {
    target: Mutex<SocketAddr>,
    conditions: Mutex<[LinkConditions; 2]>,
    refuses: AtomicBool,
    /// Grows with each command to reset all connections.
    resets: AtomicU64,
    changed: Event,
    connections: AtomicU64,
    forwarded: [AtomicU64; 2],
}

/// A proxy that forwards until its process ends. Clones are the same one.
#[derive(Clone)]
pub struct FaultProxy {
    shared: Arc<Shared>,
    /// Where it listens.
    pub address: SocketAddr,
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl FaultProxy {
    fn new(target: SocketAddr, address: SocketAddr) -> FaultProxy {
        let shared = Shared {
            target: Mutex::new(target),
            conditions: Mutex::default(),
            refuses: AtomicBool::new(false),
            resets: AtomicU64::new(0),
            changed: Event::new(),
            connections: AtomicU64::new(0),
            forwarded: Default::default(),
        };
        FaultProxy { shared: Arc::new(shared), address }
    }

    /// A proxy for connections.
    ///
    /// # Errors
    ///
    /// If no port can be bound.
    pub fn tcp(target: SocketAddr) -> io::Result<FaultProxy> {
        let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0))?;
        rustix::net::listen(&listener, 4096)?;
        let proxy = FaultProxy::new(target, listener.get_ref().local_addr()?);
        let shared = proxy.shared.clone();
        PROXY_EXECUTOR.spawn(accept(listener, shared)).detach();
        Ok(proxy)
    }

    /// A proxy for datagrams that nobody answers; `seed` draws which are lost, duplicated or reordered.
    ///
    /// # Errors
    ///
    /// If no port can be bound.
    pub fn udp(target: SocketAddr, seed: u64) -> io::Result<FaultProxy> {
        let socket = Async::<UdpSocket>::bind(([127, 0, 0, 1], 0))?;
        let proxy = FaultProxy::new(target, socket.get_ref().local_addr()?);
        let shared = proxy.shared.clone();
        PROXY_EXECUTOR.spawn(forward(socket, shared, seed)).detach();
        Ok(proxy)
    }

    /// Forwards new connections elsewhere from now on.
    pub fn set_target(&self, target: SocketAddr) {
        *lock(&self.shared.target) = target;
    }

    /// Changes the conditions of a direction, also for what is queued in it.
    pub fn set_conditions(&self, direction: Direction, change: impl FnOnce(&mut LinkConditions)) {
        change(&mut lock(&self.shared.conditions)[direction as usize]);
        self.shared.changed.notify(usize::MAX);
    }

    /// Changes the conditions of both directions.
    pub fn set_both_conditions(&self, change: impl Fn(&mut LinkConditions)) {
        [Direction::To, Direction::Back]
            .into_iter()
            .for_each(|direction| self.set_conditions(direction, &change));
    }

    /// Holds both directions: connections stay open and nothing is forwarded.
    pub fn cut(&self) {
        self.set_both_conditions(|conditions| conditions.held = true);
    }

    /// Ends every fault; what was held is forwarded.
    pub fn heal(&self) {
        self.shared.refuses.store(false, Ordering::SeqCst);
        self.set_both_conditions(|conditions| *conditions = LinkConditions::default());
    }

    /// Whether any fault is in effect.
    pub fn is_faulty(&self) -> bool {
        self.shared.refuses.load(Ordering::SeqCst)
            || *lock(&self.shared.conditions) != [LinkConditions::default(); 2]
    }

    /// Whether new connections are reset at once.
    pub fn set_refusing(&self, refuses: bool) {
        self.shared.refuses.store(refuses, Ordering::SeqCst);
    }

    /// Resets all open connections.
    pub fn reset(&self) {
        self.shared.resets.fetch_add(1, Ordering::SeqCst);
        self.shared.changed.notify(usize::MAX);
    }

    /// Connections, or datagrams, that came so far.
    pub fn connections(&self) -> u64 {
        self.shared.connections.load(Ordering::SeqCst)
    }

    /// Bytes that were forwarded in a direction so far.
    pub fn forwarded_bytes(&self, direction: Direction) -> u64 {
        self.shared.forwarded[direction as usize].load(Ordering::SeqCst)
    }
}

/// The two ends of a connection, and whether it is to be reset, whoever found that out.
struct Ends {
    near: Async<TcpStream>,
    far: Async<TcpStream>,
    resets: u64,
    broken: AtomicBool,
}

impl Ends {
    fn is_broken(&self, shared: &Shared) -> bool {
        self.broken.load(Ordering::SeqCst) || shared.resets.load(Ordering::SeqCst) != self.resets
    }

    fn mark_broken(&self, shared: &Shared) {
        self.broken.store(true, Ordering::SeqCst);
        shared.changed.notify(usize::MAX);
    }
}

/// Has it close with a reset.
fn reset(stream: &Async<TcpStream>) {
    let _ = set_socket_linger(stream, Some(Duration::ZERO));
}

async fn accept(listener: Async<TcpListener>, shared: Arc<Shared>) {
    loop {
        let Ok((near, _)) = listener.accept().await else {
            Timer::after(Duration::from_millis(5)).await;
            continue;
        };
        shared.connections.fetch_add(1, Ordering::SeqCst);
        if shared.refuses.load(Ordering::SeqCst) {
            reset(&near);
            continue;
        }
        PROXY_EXECUTOR.spawn(connection(near, shared.clone())).detach();
    }
}

async fn connection(near: Async<TcpStream>, shared: Arc<Shared>) {
    let resets = shared.resets.load(Ordering::SeqCst);
    // The first packet is held as all others are.
    loop {
        let changed = shared.changed.listen();
        if shared.resets.load(Ordering::SeqCst) != resets {
            return reset(&near);
        }
        if !lock(&shared.conditions)[Direction::To as usize].held {
            break;
        }
        changed.await;
    }
    let target = *lock(&shared.target);
    let Ok(far) = Async::<TcpStream>::connect(target).await else { return reset(&near) };
    let _ = near.get_ref().set_nodelay(true);
    let _ = far.get_ref().set_nodelay(true);
    let ends = Arc::new(Ends { near, far, resets, broken: AtomicBool::new(false) });
    let to = PROXY_EXECUTOR.spawn(pump(ends.clone(), shared.clone(), Direction::To));
    let back = PROXY_EXECUTOR.spawn(pump(ends.clone(), shared.clone(), Direction::Back));
    // An orderly end of one direction leaves the other open.
    to.await;
    back.await;
    if ends.is_broken(&shared) {
        reset(&ends.near);
        reset(&ends.far);
    }
}

/// Forwards one direction of a connection until it ends there, or is to be reset.
async fn pump(ends: Arc<Ends>, shared: Arc<Shared>, direction: Direction) {
    let (from, to) = match direction {
        Direction::To => (&ends.near, &ends.far),
        Direction::Back => (&ends.far, &ends.near),
    };
    let (mut queue, mut source_ended, mut chunk) = (Stream::default(), false, vec![0; CHUNK_BYTES]);
    let broken = async || loop {
        let changed = shared.changed.listen();
        if ends.is_broken(&shared) {
            break;
        }
        changed.await;
    };
    loop {
        let changed = shared.changed.listen();
        if ends.is_broken(&shared) {
            return;
        }
        let conditions = lock(&shared.conditions)[direction as usize];
        match queue.next(now(), &conditions) {
            Delivery::Reset => return ends.mark_broken(&shared),
            Delivery::Pass(bytes) => {
                let mut sink = to;
                let written = async { sink.write_all(&bytes).await.is_ok() };
                let stopped = async {
                    broken().await;
                    false
                };
                if !or(written, stopped).await {
                    return ends.mark_broken(&shared);
                }
                shared.forwarded[direction as usize].fetch_add(bytes.len() as u64, Ordering::SeqCst);
            }
            Delivery::Wait(_) if source_ended && queue.is_empty() => {
                let _ = to.get_ref().shutdown(Shutdown::Write);
                return;
            }
            Delivery::Wait(at) => {
                let (reads, mut source) = (!source_ended && queue.has_room(), from);
                let read =
                    async { if reads { Some(source.read(&mut chunk).await) } else { pending().await } };
                let woken = async {
                    or(until(at), changed).await;
                    None
                };
                match or(read, woken).await {
                    Some(Ok(0)) => source_ended = true,
                    Some(Ok(count)) => {
                        // As they are now: they may have changed while this waited.
                        let conditions = lock(&shared.conditions)[direction as usize];
                        queue.put(now(), &conditions, &chunk[..count]);
                    }
                    Some(Err(_)) => return ends.mark_broken(&shared),
                    None => {}
                }
            }
        }
    }
}

async fn forward(socket: Async<UdpSocket>, shared: Arc<Shared>, seed: u64) {
    let (mut queue, mut datagram) = (Datagrams::new(seed), [0; 2048]);
    loop {
        let next = queue.next(now());
        if let Delivery::Pass(bytes) = next {
            let target = *lock(&shared.target);
            // What can't be sent is lost, as datagrams are.
            let _ = socket.send_to(&bytes, target).await;
            shared.forwarded[Direction::To as usize].fetch_add(bytes.len() as u64, Ordering::SeqCst);
            continue;
        }
        let Delivery::Wait(at) = next else { continue };
        let read = async { socket.recv_from(&mut datagram).await.ok().map(|(count, _)| count) };
        let woken = async {
            until(at).await;
            None
        };
        if let Some(count) = or(read, woken).await {
            let conditions = lock(&shared.conditions)[Direction::To as usize];
            queue.put(now(), &conditions, &datagram[..count]);
            shared.connections.fetch_add(1, Ordering::SeqCst);
        }
    }
}

/// A span in milliseconds, for conditions.
pub fn ms(ms: f64) -> Span {
    Span::from_ms(ms)
}
