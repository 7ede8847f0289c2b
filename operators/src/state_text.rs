//! Serializes optional states under the names that strum gives them.

use std::fmt::Display;
use std::str::FromStr;

use serde::de::Error;
use serde::{
    Deserialize,
    Deserializer,
    Serializer, //
};

/// Serializes the name of a state, or nothing for `None`.
pub(crate) fn serialize<S, T>(state: &Option<T>, serializer: S) -> Result<S::Ok, S::Error>
where
    S: Serializer,
    T: Display,
{
    match state {
        Some(state) => serializer.collect_str(state),
        None => serializer.serialize_none(),
    }
}

/// Parses the name of a state. Returns an error if the name is unknown.
pub(crate) fn deserialize<'de, D, T>(deserializer: D) -> Result<Option<T>, D::Error>
where
    D: Deserializer<'de>,
    T: FromStr,
{
    let text = String::deserialize(deserializer)?;
    match text.parse() {
        Ok(state) => Ok(Some(state)),
        Err(_) => Err(D::Error::custom(format_args!(
            "{text:?} is not a state of this object"
        ))),
    }
}
