//! Links to other instances: control messages over TCP and relayed packets over UDP.

pub mod accept;
mod acceptor;
pub mod counter;
mod decode;
mod encode;
pub mod error;
pub mod frame;
mod generated;
mod incoming;
pub mod links;
pub mod news;
pub mod news_link;
mod outgoing;
mod record;
pub mod relay;
