//! Communication between instances: control messages and store updates over TCP, and relayed
//! packets over UDP.

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
mod outgoing;
mod record;
pub mod relay;
pub mod sync;
pub mod sync_link;
