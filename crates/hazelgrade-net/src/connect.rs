//! Opens a connection, or gives up in time.

use async_io::{Async, Timer};
use futures_lite::future::or;
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

const WITHIN: Duration = Duration::from_secs(1);

pub async fn connect(address: SocketAddr) -> io::Result<Async<TcpStream>> {
    let late = async {
        Timer::after(WITHIN).await;
        Err(ErrorKind::TimedOut.into())
    };
    let stream = or(Async::<TcpStream>::connect(address), late).await?;
    stream.get_ref().set_nodelay(true)?;
    Ok(stream)
}
