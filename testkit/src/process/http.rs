//! A small HTTP client for tests, which needs no runtime.

use std::{
    io::{
        self,
        Read,
        Write, //
    },
    net::{
        SocketAddr,
        TcpStream, //
    },
    time::Duration,
};

/// How long to wait for an answer.
const TIMEOUT: Duration = Duration::from_secs(10);

/// An HTTP answer.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// The status line and the headers, in lower case.
    pub head: String,
    /// The body.
    pub body: String,
}

impl Response {
    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().find_map(|line| {
            let (key, value) = line.split_once(':')?;
            (key == name).then(|| value.trim())
        })
    }
}

/// Reads `path` at `address`.
///
/// # Errors
///
/// Fails if no whole answer comes.
pub fn get(address: SocketAddr, path: &str) -> io::Result<Response> {
    send(address, "GET", path, &[], "")
}

/// Sends a request and reads the answer.
///
/// # Errors
///
/// Fails if no whole answer comes.
pub fn send(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> io::Result<Response> {
    let mut stream = TcpStream::connect_timeout(&address, TIMEOUT)?;
    stream.set_read_timeout(Some(TIMEOUT))?;
    let mut text = format!("{method} {path} HTTP/1.1\r\nconnection: close\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if !headers.iter().any(|(name, _)| *name == "host") {
        text.push_str(&format!("host: {address}\r\n"));
    }
    text.push_str(&format!("content-length: {}\r\n\r\n{body}", body.len()));
    stream.write_all(text.as_bytes())?;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer)?;
    parse(&String::from_utf8_lossy(&answer)).ok_or_else(|| io::ErrorKind::InvalidData.into())
}

fn parse(answer: &str) -> Option<Response> {
    let (head, body) = answer.split_once("\r\n\r\n")?;
    Some(Response {
        status: head.split(' ').nth(1)?.parse().ok()?,
        head: head.to_lowercase(),
        body: body.to_owned(),
    })
}
