//! A database for the calls of jobs: answers each call after a fixed time.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// Answers each call `after` this time, until the process ends; returns its address.
///
/// # Errors
///
/// If no port can be bound.
pub fn start(after: Duration) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            std::thread::spawn(move || answer(stream, after));
        }
    });
    Ok(address)
}

/// Calls on one connection are answered one by one: there are several connections.
fn answer(mut stream: TcpStream, after: Duration) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let words: Vec<&str> = line.split_whitespace().collect();
        if let ["Q", id, _, length] = words[..] {
            let mut body = vec![0; length.parse::<usize>().ok()? + 2];
            reader.read_exact(&mut body).ok()?;
            std::thread::sleep(after);
            stream.write_all(format!("{id} ROWS 4\r\nrows\r\n").as_bytes()).ok()?;
        }
    }
}
