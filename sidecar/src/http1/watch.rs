//! The watch of the list: followed while the module has asked for it, told to the module as it comes.
use super::chunks::Chunks;
use super::head::{Framing, Head};
use crate::accord::Accord;
use crate::board::{lock, Shared};
use crate::workers::{Order, Orders};
use async_channel::Receiver;
use async_io::{Async, Timer};
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use oakhollow::types::ListKind;
use oakhollow_terms::{read, List, Version};
use slog::{info, Logger};
use std::convert::Infallible;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::Duration;

/// Discovery sends an empty line every 2 s while nothing changes: two of them have failed to come.
const SILENCE: Duration = Duration::from_millis(5_000);

pub struct Watch {
    discovery: SocketAddr,
    /// The version of the list that was told last.
    told: Version,
    /// All workers.
    told_to: Orders,
    /// What the program knows by name.
    board: Shared,
    /// The other instances, where instances agree.
    accord: Option<Accord>,
    /// One for each time that the module asks.
    asks: Receiver<()>,
    /// Where discovery is from now on.
    moves: Receiver<SocketAddr>,
    log: Logger,
    /// The longest line that is taken, in bytes.
    most_line: usize,
}

/// Why a watch is begun, or no more.
enum Turn {
    Asked,
    Moved(SocketAddr),
    Ended(String),
    Over,
}

async fn within<T>(work: impl std::future::Future<Output = std::io::Result<T>>) -> Result<T, String> {
    let late = async {
        Timer::after(SILENCE).await;
        Err(std::io::ErrorKind::TimedOut.into())
    };
    future::or(work, late).await.map_err(|fault| fault.to_string())
}

impl Watch {
    pub fn new(
        discovery: SocketAddr, told: Version, told_to: (Orders, Shared, Option<Accord>),
        words: (Receiver<()>, Receiver<SocketAddr>), log: Logger, most_line: usize,
    ) -> Watch {
        let ((asks, moves), (told_to, board, accord)) = (words, told_to);
        Watch { discovery, told, told_to, board, accord, asks, moves, log, most_line }
    }

    pub async fn run(mut self) {
        let (asks, moves) = (self.asks.clone(), self.moves.clone());
        // The module asks again only if it has heard nothing: what is under way is given up then.
        let word = || {
            let asked = async { asks.recv().await.map_or(Turn::Over, |()| Turn::Asked) };
            future::or(asked, async { moves.recv().await.map_or(Turn::Over, Turn::Moved) })
        };
        let mut turn = word().await;
        loop {
            match turn {
                Turn::Over => return,
                Turn::Asked => {}
                // Guards against following another service by the first one's versions: the whole list is asked for.
                Turn::Moved(to) => (self.discovery, self.told) = (to, Version::default()),
                Turn::Ended(why) => {
                    info!(self.log, "watch of the list ended: {}", why);
                    lock(&self.board).settled = true;
                    self.told_to.tell(Order::Listed(ListKind::Failed, Arc::default())).await;
                    if let Some(accord) = &self.accord {
                        accord.list_fails().await;
                    }
                    turn = word().await;
                    continue;
                }
            }
            let ended = async {
                match self.follow().await {
                    Err(why) => Turn::Ended(why),
                    Ok(never) => match never {},
                }
            };
            turn = future::or(word(), ended).await;
        }
    }

    async fn follow(&mut self) -> Result<Infallible, String> {
        let stream = within(Async::<TcpStream>::connect(self.discovery)).await?;
        let ask = format!(
            "GET /v1/endpoints?stream=1&index={} HTTP/1.1\r\nHost: {}\r\nAccept: application/json\r\n\r\n",
            self.told.0, self.discovery
        );
        within((&stream).write_all(ask.as_bytes())).await?;
        let (mut bytes, mut lines, mut chunks, mut framing) =
            (Vec::new(), Vec::new(), Chunks::default(), None);
        let mut buffer = vec![0; 16 * 1024];
        let mut heard = false;
        loop {
            let count = within((&stream).read(&mut buffer)).await?;
            if count == 0 {
                return Err("discovery closed the connection".into());
            }
            bytes.extend_from_slice(&buffer[..count]);
            if framing.is_none() {
                let Some((head, taken)) = Head::parse(&bytes).map_err(|fault| fault.why)? else { continue };
                bytes.drain(..taken);
                match head.status().map_err(|fault| fault.why)? {
                    100..=199 => continue,
                    200 => framing = Some(head.answer_framing().map_err(|fault| fault.why)?),
                    other => return Err(format!("discovery answered {other}")),
                }
            }
            match framing {
                Some(Framing::Chunked) => {
                    let fed = chunks.feed(&bytes, &mut lines, self.most_line).map_err(|fault| fault.why)?;
                    bytes.drain(..fed);
                }
                _ => lines.append(&mut bytes),
            }
            while let Some(end) = lines.iter().position(|&byte| byte == b'\n') {
                let line: Vec<u8> = lines.drain(..=end).collect();
                self.tell(line.trim_ascii(), !std::mem::replace(&mut heard, true)).await?;
            }
            if chunks.done() {
                return Err("discovery ended the watch".into());
            }
            if lines.len() >= self.most_line {
                return Err("a line without an end".into());
            }
        }
    }

    async fn tell(&mut self, line: &[u8], first: bool) -> Result<(), String> {
        let list: Result<List, String> = match line {
            // Guards against asking again and again where nothing has changed: the module waits for an answer.
            b"" if first => Ok(List { index: self.told, ..List::default() }),
            b"" => {
                if let Some(accord) = &self.accord {
                    accord.listed(Arc::new(List { index: self.told, ..List::default() })).await;
                }
                return Ok(());
            }
            _ => read(line),
        };
        let list = list.map_err(|fault| {
            // What a line that can't be read would have told is unknown: the next watch starts from the whole list.
            self.told = Version::default();
            info!(self.log, "a line of the list makes no sense: {}", fault);
            fault
        })?;
        self.told = list.index;
        {
            let mut board = lock(&self.board);
            board.take(&list);
            board.settled = true;
        }
        let kind = if list.snapshot { ListKind::Whole } else { ListKind::Changes };
        let list = Arc::new(list);
        self.told_to.tell(Order::Listed(kind, list.clone())).await;
        if let Some(accord) = &self.accord {
            accord.listed(list).await;
        }
        Ok(())
    }
}
