//! The answers that clients get.
use super::attempt::encode_chunk;
use super::endpoint_answer::EndpointAnswer;
use super::head::{Framing, HttpError};
use crate::dispatcher::RequestOutcome;
use oakhollow::types::Micros;
use std::borrow::Cow;

/// An answer to a client.
pub enum Answer {
    /// An endpoint's answer: its body, and the headers that are forwarded unchanged.
    Forwarded(EndpointAnswer),
    /// An answer of the sidecar itself, in plain text.
    Generated { status: u16, text: Cow<'static, str>, retry_after: Option<Micros> },
}

impl Answer {
    /// An answer with this text.
    pub fn plain(status: u16, text: impl Into<Cow<'static, str>>) -> Answer {
        Answer::Generated { status, text: text.into(), retry_after: None }
    }

    /// The answer to `GET /ready`.
    pub fn ready(ready: bool) -> Answer {
        if ready {
            Answer::plain(200, "ready")
        } else {
            Answer::plain(503, "not ready")
        }
    }

    /// How the end of the body is marked. HTTP/1.0 clients cannot read chunks.
    pub fn framing(&self, http10: bool) -> Framing {
        match self {
            Answer::Forwarded(EndpointAnswer { rest: Some(rest), .. }) => match rest.length() {
                Some(length) => Framing::Length(length),
                None if http10 => Framing::UntilClose,
                None => Framing::Chunked,
            },
            Answer::Forwarded(EndpointAnswer { body, .. }) => Framing::Length(body.len()),
            Answer::Generated { text, .. } => Framing::Length(text.len() + 1),
        }
    }

    /// The head, and as much of the body as has been received.
    pub fn bytes(&self, keep_alive: bool, framing: Framing) -> Vec<u8> {
        let (mut out, body) = match self {
            Answer::Forwarded(EndpointAnswer { head, body, .. }) => {
                let mut out = b"HTTP/1.1 200 OK\r\n".to_vec();
                head.write_forwarded("", &mut out);
                let chunked = framing == Framing::Chunked;
                (out, if chunked { Cow::Owned(encode_chunk(body)) } else { Cow::Borrowed(&body[..]) })
            }
            Answer::Generated { status, text, retry_after } => {
                let (status, phrase) = (*status, reason_phrase(*status));
                let mut out = format!("HTTP/1.1 {status} {phrase}\r\nContent-Type: text/plain\r\n");
                if let Some(time) = retry_after {
                    out += &format!("Retry-After: {:.3}\r\n", time.secs());
                }
                (out.into_bytes(), Cow::Owned(format!("{text}\n").into_bytes()))
            }
        };
        let close = if keep_alive { "" } else { "Connection: close\r\n" };
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

impl From<RequestOutcome<EndpointAnswer>> for Answer {
    fn from(outcome: RequestOutcome<EndpointAnswer>) -> Answer {
        match outcome {
            RequestOutcome::Served(answer) => Answer::Forwarded(answer),
            RequestOutcome::Refused { retry_after } => Answer::Generated {
                status: 503,
                text: "dismissed: trying again is harmless".into(),
                retry_after: Some(retry_after).filter(|time| time.0 > 0),
            },
            RequestOutcome::Failed => Answer::plain(502, "errored"),
        }
    }
}

fn reason_phrase(status: u16) -> &'static str {
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
