//! Thousands of fake endpoints on one listener. Each has an address of its own in the loopback range, so that the
//! local address of a connection says which endpoint it goes to.
use crate::fakes::{read_head, serve_connections};
use crate::harness::lock;
use std::io::{BufReader, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// The number of an endpoint, in the order in which they were created.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct EndpointNumber(pub usize);

/// A request that an endpoint received.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Received {
    /// When its head had arrived.
    pub received_at: Instant,
    /// Which endpoint received it.
    pub endpoint: EndpointNumber,
}

/// All endpoints of a run. Each answers until the end, also after the list has removed it.
pub struct Endpoints {
    port: u16,
    received: Arc<Mutex<Vec<Received>>>,
}

/// The endpoints' addresses begin at 127.64.0.0.
const FIRST_HOST: u32 = u32::from_be_bytes([127, 64, 0, 0]);

impl Endpoints {
    /// Starts to accept requests.
    pub fn start() -> std::io::Result<Endpoints> {
        // One socket listens on all addresses, instead of one socket for each endpoint.
        let listener = TcpListener::bind((Ipv4Addr::UNSPECIFIED, 0))?;
        let port = listener.local_addr()?.port();
        let received = Arc::<Mutex<Vec<Received>>>::default();
        let records = received.clone();
        serve_connections(listener, move |stream| {
            let endpoint = match stream.local_addr().map(|address| address.ip()) {
                Ok(IpAddr::V4(host)) => EndpointNumber(u32::from(host).wrapping_sub(FIRST_HOST) as usize),
                _ => return,
            };
            let _ = stream.set_nodelay(true);
            let mut stream = BufReader::new(stream);
            while read_head(&mut stream).is_some() {
                lock(&records).push(Received { received_at: Instant::now(), endpoint });
                let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
                if stream.get_mut().write_all(answer).is_err() {
                    return;
                }
            }
        });
        Ok(Endpoints { port, received })
    }

    /// The address of an endpoint.
    pub fn address(&self, endpoint: EndpointNumber) -> SocketAddr {
        SocketAddr::from((Ipv4Addr::from(FIRST_HOST + endpoint.0 as u32), self.port))
    }

    /// All requests that endpoints received so far.
    pub fn received(&self) -> Vec<Received> {
        lock(&self.received).clone()
    }
}
