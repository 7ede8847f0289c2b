//! What callers ask for and what backend servers answer.

use std::fmt::Write;
use std::time::Duration;

use bytes::Bytes;
use lovagespindle_decisions::ids::{
    BackendServerId,
    FlowId,
    RequestId, //
};
use lovagespindle_decisions::packet::MAX_PAYLOAD;

/// The payload of a request: what the backend server shall do.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Work {
    /// How long the request runs before the first part of its answer. Whole milliseconds.
    pub run: Duration,
    /// How many parts the answer has; at least 1.
    pub parts: u32,
    /// The time between two parts. Whole milliseconds.
    pub pace: Duration,
    /// The size of a part in bytes; at most [`MAX_PAYLOAD`].
    pub size: u32,
}

impl Default for Work {
    fn default() -> Work {
        Work {
            run: Duration::ZERO,
            parts: 1,
            pace: Duration::ZERO,
            size: 0,
        }
    }
}

impl Work {
    /// Returns work that runs for some milliseconds and has an answer of one part.
    pub fn for_millis(millis: u64) -> Work {
        Work {
            run: Duration::from_millis(millis),
            ..Work::default()
        }
    }

    /// Returns work with an answer of several parts, some milliseconds apart.
    pub fn download(parts: u32, pace: u64) -> Work {
        Work {
            parts,
            pace: Duration::from_millis(pace),
            size: MAX_PAYLOAD as u32,
            ..Work::default()
        }
    }

    /// Returns the payload that asks for the work.
    pub fn encode(&self) -> Bytes {
        let (run, pace) = (self.run.as_millis(), self.pace.as_millis());
        format!("{run} {} {pace} {}", self.parts, self.size).into()
    }

    /// Reads the work from a payload.
    pub fn decode(payload: &[u8]) -> Option<Work> {
        let text = std::str::from_utf8(payload).ok()?;
        let mut words = text.split_ascii_whitespace();
        let work = Work {
            run: Duration::from_millis(words.next()?.parse().ok()?),
            parts: words.next()?.parse::<u32>().ok()?.max(1),
            pace: Duration::from_millis(words.next()?.parse().ok()?),
            size: words.next()?.parse::<u32>().ok()?,
        };
        Some(work)
    }
}

/// The payload of one part of an answer. Names what it answers, so that a caller can tell a part
/// of its own answer from any other.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Body {
    /// The name of the service.
    pub service: String,
    /// The flow.
    pub flow: FlowId,
    /// The request.
    pub request: RequestId,
    /// The index of the part.
    pub part: u32,
    /// How many parts the answer has.
    pub parts: u32,
    /// The backend server that ran the request.
    pub server: BackendServerId,
}

impl Body {
    /// Returns the payload, filled up with spaces to `size` bytes.
    pub fn encode(&self, size: u32) -> Bytes {
        let mut text = String::with_capacity(MAX_PAYLOAD);
        let (service, flow, request) = (&self.service, self.flow.0, self.request);
        let (part, parts, server) = (self.part, self.parts, self.server);
        // Writing to a string cannot fail.
        let _ = write!(text, "{service} {flow:x} {request} {part} {parts} {server}");
        let size = (size as usize).min(MAX_PAYLOAD);
        while text.len() < size {
            text.push(' ');
        }
        text.into()
    }

    /// Reads the body from a payload.
    pub fn decode(payload: &[u8]) -> Option<Body> {
        let text = std::str::from_utf8(payload).ok()?;
        let mut words = text.split_ascii_whitespace();
        let body = Body {
            service: words.next()?.to_owned(),
            flow: FlowId(u128::from_str_radix(words.next()?, 16).ok()?),
            request: RequestId(words.next()?.parse().ok()?),
            part: words.next()?.parse().ok()?,
            parts: words.next()?.parse().ok()?,
            server: BackendServerId(words.next()?.parse().ok()?),
        };
        Some(body)
    }
}
