//! What goes back to a caller, as bytes.
use super::head::Fault;
use super::messages::Message;
use crate::decider::Verdict;
use oakhollow::types::Micros;

pub enum Answer {
    /// A server's answer: its body, and the headers that go on unchanged.
    Passed(Message),
    Worded {
        status: u16,
        text: &'static str,
        retry_after: Option<Micros>,
    },
}

impl Answer {
    pub fn plain(status: u16, text: &'static str) -> Answer {
        Answer::Worded { status, text, retry_after: None }
    }

    pub fn ready(ready: bool) -> Answer {
        if ready {
            Answer::plain(200, "ready")
        } else {
            Answer::plain(503, "not ready")
        }
    }

    pub fn bytes(self, lasts: bool) -> Vec<u8> {
        let (mut out, body) = match self {
            Answer::Passed(Message { head, body, .. }) => {
                let mut out = b"HTTP/1.1 200 OK\r\n".to_vec();
                head.pass_on("", &mut out);
                (out, body)
            }
            Answer::Worded { status, text, retry_after } => {
                let word = reason(status);
                let mut out = format!("HTTP/1.1 {status} {word}\r\nContent-Type: text/plain\r\n");
                if let Some(time) = retry_after {
                    out += &format!("Retry-After: {:.3}\r\n", time.secs());
                }
                (out.into_bytes(), format!("{text}\n").into_bytes())
            }
        };
        let close = if lasts { "" } else { "Connection: close\r\n" };
        out.extend_from_slice(format!("{close}Content-Length: {}\r\n\r\n", body.len()).as_bytes());
        out.extend_from_slice(&body);
        out
    }
}

impl From<Fault> for Answer {
    fn from(Fault { status, why }: Fault) -> Answer {
        Answer::plain(status, why)
    }
}

impl From<Verdict<Message>> for Answer {
    fn from(verdict: Verdict<Message>) -> Answer {
        match verdict {
            Verdict::Succeeded(answer) => Answer::Passed(answer),
            Verdict::Dismissed { cool_down } => Answer::Worded {
                status: 503,
                text: "dismissed: trying again is harmless",
                retry_after: Some(cool_down).filter(|time| time.0 > 0),
            },
            Verdict::Errored => Answer::plain(502, "errored"),
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
