//! The scenario language: one instruction a line, `#` starts a comment.

use std::path::Path;

use winnow::ascii::float;
use winnow::ascii::multispace0;
use winnow::combinator::alt;
use winnow::combinator::eof;
use winnow::combinator::opt;
use winnow::combinator::peek;
use winnow::combinator::preceded;
use winnow::combinator::repeat;
use winnow::combinator::terminated;
use winnow::prelude::*;
use winnow::token::take_while;

use crate::prelude::*;

/// One word of a line.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Word<'a> {
    Name(&'a str),
    /// A number, a span of time in seconds, or a share of one.
    Number(f64),
}

/// The properties of a path: one-way delay, the mean of its exponential jitter, and packet loss.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Link {
    pub(crate) delay: Duration,
    pub(crate) jitter: Duration,
    pub(crate) loss: f64,
}

/// Which paths a link describes.
#[derive(Clone, Copy, Debug, strum::EnumString)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum Reach {
    Zones,
    Local,
    Callers,
}

/// What callers ask of one service.
#[derive(Clone, Debug)]
pub(crate) struct Load {
    pub(crate) service: String,
    /// New flows per second.
    pub(crate) rate: f64,
    /// Share of flows that download answers of many parts.
    pub(crate) long: f64,
    /// Share of requests that are not idempotent, and of flows that repeat even these.
    pub(crate) unrepeatable: f64,
    pub(crate) insistent: f64,
    /// Mean time until the first part of an answer.
    pub(crate) work: Duration,
    /// How long a caller waits for an answer of one part.
    pub(crate) deadline: Duration,
    /// Parts of a long answer, and the time between them.
    pub(crate) parts: u32,
    pub(crate) every: Duration,
    /// Requests of a long flow, and the pause between them.
    pub(crate) requests: u32,
    pub(crate) pause: Duration,
}

impl Load {
    /// Creates a load of short flows, changed by pairs of option and number.
    pub(crate) fn new(service: &str, rate: f64, words: &[Word<'_>]) -> Option<Load> {
        let shares = ["long", "unrepeatable", "insistent"];
        let sizes = ["work", "deadline", "parts", "every", "requests", "pause"];
        check(words, &[&shares[..], &sizes[..]].concat())?;
        Some(Load {
            service: service.into(),
            rate,
            long: option(words, "long", 0.0),
            unrepeatable: option(words, "unrepeatable", 0.0),
            insistent: option(words, "insistent", 0.0),
            work: span(option(words, "work", 0.04)),
            deadline: span(option(words, "deadline", 4.0)),
            parts: option(words, "parts", 50.0) as u32,
            every: span(option(words, "every", 0.1)),
            requests: option(words, "requests", 3.0) as u32,
            pause: span(option(words, "pause", 2.0)),
        })
    }
}

/// Returns nothing unless the words are pairs of one of the names and a number.
pub(crate) fn check(words: &[Word<'_>], names: &[&str]) -> Option<()> {
    let known = |pair: &[Word<'_>]| match *pair {
        [Word::Name(name), Word::Number(_)] => names.contains(&name),
        _ => false,
    };
    words.chunks(2).all(known).then_some(())
}

/// Returns the number that follows a name.
pub(crate) fn option(words: &[Word<'_>], name: &str, default: f64) -> f64 {
    let found = words.windows(2).find_map(|pair| match *pair {
        [Word::Name(found), Word::Number(n)] if found == name => Some(n),
        _ => None,
    });
    found.unwrap_or(default)
}

/// Returns a number of seconds as a span of time.
pub(crate) fn span(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// Why a scenario cannot be played.
#[derive(Debug, thiserror::Error)]
pub enum SceneError {
    /// A file could not be read.
    #[error("cannot read {0}: {1}")]
    Read(String, std::io::Error),
    /// A line is not part of the language, or names something that does not exist.
    #[error("line not understood: {0}")]
    Line(String),
}

/// A scenario.
pub struct Scene {
    pub(crate) lines: Vec<String>,
    /// Feeds all random numbers.
    pub seed: u64,
}

impl Scene {
    /// Reads a scenario and the files that it names, which lie beside or above it.
    pub fn load(path: &Path) -> Result<Scene, SceneError> {
        let mut scene = Scene {
            lines: Vec::new(),
            seed: 1,
        };
        scene.read(path)?;
        if let Some(seed) = std::env::var("SCENE_SEED")
            .ok()
            .and_then(|s| s.parse().ok())
        {
            scene.seed = seed;
        }
        Ok(scene)
    }

    fn read(&mut self, path: &Path) -> Result<(), SceneError> {
        let text = std::fs::read_to_string(path)
            .map_err(|e| SceneError::Read(path.display().to_string(), e))?;
        for line in text
            .lines()
            .map(|l| l.split('#').next().unwrap_or_default())
        {
            match words(line)?[..] {
                [] => {}
                [Word::Name("seed"), Word::Number(n)] => self.seed = n as u64,
                [Word::Name("place"), Word::Name(place)] => {
                    let file = format!("{place}.place");
                    let mut files = path.ancestors().map(|above| above.join(&file));
                    self.read(&files.find(|f| f.exists()).unwrap_or(file.into()))?;
                }
                _ => self.lines.push(line.into()),
            }
        }
        Ok(())
    }
}

/// Splits a line into words.
pub(crate) fn words(line: &str) -> Result<Vec<Word<'_>>, SceneError> {
    let word = preceded(multispace0, alt((number, name)));
    let mut words = terminated(repeat(0.., word), (multispace0, eof));
    words.parse(line).map_err(|_| SceneError::Line(line.into()))
}

fn name<'a>(i: &mut &'a str) -> ModalResult<Word<'a>> {
    take_while(1.., |c: char| !c.is_whitespace())
        .map(Word::Name)
        .parse_next(i)
}

fn number<'a>(i: &mut &'a str) -> ModalResult<Word<'a>> {
    let unit = alt((
        "us".value(1e-6),
        "ms".value(1e-3),
        "/s".value(1.0),
        "s".value(1.0),
        "%".value(1e-2),
    ));
    let end = peek(alt((winnow::ascii::multispace1, eof)));
    let number = terminated((float::<_, f64, _>, opt(unit)), end);
    number
        .map(|(n, unit)| Word::Number(n * unit.unwrap_or(1.0)))
        .parse_next(i)
}
