use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// Makes one HTTP call and returns the status and the body.
pub fn call(
    addr: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
) -> Result<(u16, String), String> {
    let run = || -> std::io::Result<(u16, String)> {
        let mut stream = TcpStream::connect(addr)?;
        stream.set_read_timeout(Some(Duration::from_secs(3)))?;
        write!(
            stream,
            "{method} {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Type: application/json\r\n\
             Content-Length: {}\r\n\r\n{body}",
            body.len()
        )?;
        let mut text = String::new();
        stream.read_to_string(&mut text)?;
        let status = text.split(' ').nth(1).and_then(|word| word.parse().ok()).unwrap_or(0);
        let body = text.split_once("\r\n\r\n").map_or(String::new(), |(_, body)| body.to_owned());
        Ok((status, body))
    };
    run().map_err(|error| format!("{method} {path}: {error}"))
}

/// A request as a server reads it.
pub struct Request {
    pub head: String,
    pub body: String,
}

/// Reads the next request of a connection; `None` at its end.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut head = String::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        if line == "\r\n" {
            break;
        }
        head.push_str(&line);
    }
    let length = header(&head, "content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(Request { head, body: String::from_utf8(body).ok()? })
}

/// Value of a header.
pub fn header(head: &str, name: &str) -> Option<String> {
    head.lines().skip(1).find_map(|line| {
        let (key, value) = line.split_once(':')?;
        key.eq_ignore_ascii_case(name).then(|| value.trim().to_owned())
    })
}

/// Value of a text field of a flat JSON object.
pub fn text_field(body: &str, name: &str) -> Option<String> {
    let (_, rest) = body.split_once(&format!("\"{name}\""))?;
    let (_, rest) = rest.split_once('"')?;
    Some(rest.split_once('"')?.0.to_owned())
}

/// Base64, as the store keeps values.
pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let value = chunk.iter().fold(0_u32, |value, byte| value << 8 | u32::from(*byte));
        let value = value << (8 * (3 - chunk.len()));
        for index in 0..4 {
            let digit = (value >> (18 - 6 * index) & 63) as usize;
            text.push(if index <= chunk.len() { char::from(DIGITS[digit]) } else { '=' });
        }
    }
    text
}
