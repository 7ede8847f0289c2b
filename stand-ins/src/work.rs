//! Payloads of requests and answers.

use std::fmt::Write;
use std::time::Duration;

use bytes::Bytes;
use lovagespindle_decisions::ids::{
    BackendServerId,
    FlowId,
    RequestId, //
};
use lovagespindle_decisions::packet::MAX_PAYLOAD;

/// The payload of a request, which describes the work for the backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Work {
    /// Time that the request runs before the first part of its answer, in whole milliseconds.
    pub run: Duration,
    /// Number of parts of the answer; at least 1.
    pub parts: u32,
    /// Time between two parts, in whole milliseconds.
    pub pace: Duration,
    /// Size of a part in bytes; at most [`MAX_PAYLOAD`].
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
    /// Returns work that runs for `millis` milliseconds and has an answer of one part.
    pub fn for_millis(millis: u64) -> Work {
        Work {
            run: Duration::from_millis(millis),
            ..Work::default()
        }
    }

    /// Returns work with an answer of several full-size parts, `pace` milliseconds apart.
    pub fn download(parts: u32, pace: u64) -> Work {
        Work {
            parts,
            pace: Duration::from_millis(pace),
            size: MAX_PAYLOAD as u32,
            ..Work::default()
        }
    }

    /// Encodes the work as a payload.
    pub fn encode(&self) -> Bytes {
        let (run, pace) = (self.run.as_millis(), self.pace.as_millis());
        format!("{run} {} {pace} {}", self.parts, self.size).into()
    }

    /// Decodes the work from a payload, or returns `None` if the payload is malformed.
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

/// The payload of one part of an answer. It identifies the request, so that a caller can detect
/// parts of other answers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Body {
    /// Name of the service.
    pub service: String,
    pub flow: FlowId,
    pub request: RequestId,
    /// Index of the part.
    pub part: u32,
    /// Number of parts of the answer.
    pub parts: u32,
    /// Backend server that ran the request.
    pub server: BackendServerId,
}

impl Body {
    /// Encodes the body as a payload, padded with spaces to `size` bytes.
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

    /// Decodes the body from a payload, or returns `None` if the payload is malformed.
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
