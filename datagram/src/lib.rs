//! Codec of the datagrams that instances exchange with callers, backend servers and each other.
//!
//! A datagram is a PROXY protocol version 2 header with TLVs, followed by the payload. The package
//! also contains the clock, the receiving task, the senders and the counters for the sockets that
//! carry these datagrams.

pub mod batch;
pub mod clock;
pub mod counts;
pub mod decode;
pub mod encode;
pub mod error;
pub mod field;
pub mod flow;
pub mod receive;
pub mod send;
pub mod services;
pub mod socket;

pub use batch::BatchSender;
pub use clock::Clock;
pub use counts::Counts;
pub use decode::Datagram;
pub use encode::encode;
pub use error::{
    DecodeError,
    Defect,
    EncodeError, //
};
pub use field::Field;
pub use flow::flow_id;
pub use receive::{
    Ingress,
    Receiver, //
};
pub use send::Sender;
pub use services::Services;
pub use socket::BatchSocket;
