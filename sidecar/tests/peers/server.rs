//! Test servers: one thread for each connection, which runs what the test says.
use std::io::Read;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;

/// Starts a server that runs `serve` on each connection.
pub fn start(serve: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound socket");
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let serve = serve.clone();
            let _ = stream.set_nodelay(true);
            thread::spawn(move || serve(stream));
        }
    });
    address
}

/// Reads the next request of a connection, whole. Returns its id, or none at the end of the connection.
pub fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    let mut buffer = [0; 16 * 1024];
    loop {
        let head_length = bytes.windows(4).position(|end| end == b"\r\n\r\n").map(|at| at + 4);
        if let Some(head_length) = head_length {
            let head = String::from_utf8_lossy(&bytes[..head_length]).to_string();
            let header = |name| head.lines().find_map(|line| line.strip_prefix(name).map(str::to_string));
            let body_length = header("Content-Length: ").map_or(0, |text| text.parse().expect("a length"));
            let whole = match header("Transfer-Encoding: ") {
                Some(_) => bytes.ends_with(b"\r\n0\r\n\r\n"),
                None => bytes.len() >= head_length + body_length,
            };
            if whole {
                return header("Request-Id: ");
            }
        }
        let count = stream.read(&mut buffer).ok().filter(|count| *count > 0)?;
        bytes.extend_from_slice(&buffer[..count]);
    }
}
