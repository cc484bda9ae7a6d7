//! What goes back to a caller, as bytes.
use super::attempt::{chunk, Reply};
use super::head::{Framing, HttpError};
use crate::dispatcher::RequestOutcome;
use oakhollow::types::Micros;
use std::borrow::Cow;

pub enum Answer {
    /// A server's answer: its body, and the headers that go on unchanged.
    Passed(Reply),
    Worded {
        status: u16,
        text: Cow<'static, str>,
        retry_after: Option<Micros>,
    },
}

impl Answer {
    pub fn plain(status: u16, text: impl Into<Cow<'static, str>>) -> Answer {
        Answer::Worded { status, text: text.into(), retry_after: None }
    }

    pub fn ready(ready: bool) -> Answer {
        if ready {
            Answer::plain(200, "ready")
        } else {
            Answer::plain(503, "not ready")
        }
    }

    /// How the body's end is told to a caller; `old` ones read no chunks.
    pub fn framing(&self, old: bool) -> Framing {
        match self {
            Answer::Passed(Reply { rest: Some(rest), .. }) => match rest.length() {
                Some(length) => Framing::Length(length),
                None if old => Framing::UntilClose,
                None => Framing::Chunked,
            },
            Answer::Passed(Reply { body, .. }) => Framing::Length(body.len()),
            Answer::Worded { text, .. } => Framing::Length(text.len() + 1),
        }
    }

    /// The head, and as much of the body as there is.
    pub fn bytes(&self, lasts: bool, framing: Framing) -> Vec<u8> {
        let (mut out, body) = match self {
            Answer::Passed(Reply { head, body, .. }) => {
                let mut out = b"HTTP/1.1 200 OK\r\n".to_vec();
                head.pass_on("", &mut out);
                let chunked = framing == Framing::Chunked;
                (out, if chunked { Cow::Owned(chunk(body)) } else { Cow::Borrowed(&body[..]) })
            }
            Answer::Worded { status, text, retry_after } => {
                let (status, word) = (*status, reason(*status));
                let mut out = format!("HTTP/1.1 {status} {word}\r\nContent-Type: text/plain\r\n");
                if let Some(time) = retry_after {
                    out += &format!("Retry-After: {:.3}\r\n", time.secs());
                }
                (out.into_bytes(), Cow::Owned(format!("{text}\n").into_bytes()))
            }
        };
        let close = if lasts { "" } else { "Connection: close\r\n" };
        let framing = match framing {
            Framing::Length(length) => format!("Content-Length: {length}\r\n"),
            Framing::Chunked => "Transfer-Encoding: chunked\r\n".into(),
            Framing::UntilClose => String::new(),
        };
        out.extend_from_slice(format!("{close}{framing}\r\n").as_bytes());
        out.extend_from_slice(&body);
        out
    }
}

impl From<HttpError> for Answer {
    fn from(HttpError { status, message }: HttpError) -> Answer {
        Answer::plain(status, message)
    }
}

impl From<RequestOutcome<Reply>> for Answer {
    fn from(verdict: RequestOutcome<Reply>) -> Answer {
        match verdict {
            RequestOutcome::Served(answer) => Answer::Passed(answer),
            RequestOutcome::Refused { retry_after } => Answer::Worded {
                status: 503,
                text: "dismissed: trying again is harmless".into(),
                retry_after: Some(retry_after).filter(|time| time.0 > 0),
            },
            RequestOutcome::Failed => Answer::plain(502, "errored"),
        }
    }
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        409 => "Conflict",
        408 => "Request Timeout",
        413 => "Content Too Large",
        431 => "Request Header Fields Too Large",
        501 => "Not Implemented",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        507 => "Insufficient Storage",
        505 => "HTTP Version Not Supported",
        _ => "Answer",
    }
}
