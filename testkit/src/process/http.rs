//! A blocking HTTP client for tests, which needs no async runtime.

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

/// The timeout of the connection attempt and of each read.
const IO_TIMEOUT: Duration = Duration::from_secs(10);

/// An HTTP response.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// The status line and the headers, in lower case.
    pub head: String,
    /// The body, with invalid UTF-8 replaced.
    pub body: String,
}

impl Response {
    /// Returns the first value of the header `name`, in lower case. `name` must
    /// be in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().find_map(|line| {
            let (key, value) = line.split_once(':')?;
            (key == name).then(|| value.trim())
        })
    }
}

/// Sends a GET request and reads the response until the server closes the
/// connection.
///
/// # Errors
///
/// Fails if an I/O operation fails or the response has no valid head.
pub fn get(address: SocketAddr, path: &str) -> io::Result<Response> {
    send(address, "GET", path, &[], "")
}

/// Sends a request and reads the response until the server closes the
/// connection. A `host` header is added unless `headers` has one.
///
/// # Errors
///
/// Fails if an I/O operation fails or the response has no valid head.
pub fn send(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> io::Result<Response> {
    let mut stream = TcpStream::connect_timeout(&address, IO_TIMEOUT)?;
    stream.set_read_timeout(Some(IO_TIMEOUT))?;
    let mut request = format!("{method} {path} HTTP/1.1\r\nconnection: close\r\n");
    for (name, value) in headers {
        request.push_str(&format!("{name}: {value}\r\n"));
    }
    if !headers.iter().any(|(name, _)| *name == "host") {
        request.push_str(&format!("host: {address}\r\n"));
    }
    request.push_str(&format!("content-length: {}\r\n\r\n{body}", body.len()));
    stream.write_all(request.as_bytes())?;
    let mut response = Vec::new();
    stream.read_to_end(&mut response)?;
    parse_response(&String::from_utf8_lossy(&response))
        .ok_or_else(|| io::ErrorKind::InvalidData.into())
}

fn parse_response(response: &str) -> Option<Response> {
    let (head, body) = response.split_once("\r\n\r\n")?;
    Some(Response {
        status: head.split(' ').nth(1)?.parse().ok()?,
        head: head.to_lowercase(),
        body: body.to_owned(),
    })
}
