//! Conversion of datagrams from callers to events.

use std::net::SocketAddr;

use lovagespindle_datagram::{
    Datagram,
    DecodeError,
    Ingress,
    Services, //
};
use lovagespindle_decisions::{
    Event,
    Time, //
};

/// Converts datagrams that the fabric delivers from callers to events.
pub struct CallerIngress {
    pub services: Services,
}

impl Ingress for CallerIngress {
    type Update = Services;

    fn update(&mut self, update: Services) {
        self.services = update;
    }

    /// Does not check the source address: the fabric may send from any address, and the caller's
    /// address is in the header.
    fn accept(
        &mut self,
        now: Time,
        _source: SocketAddr,
        bytes: &[u8],
    ) -> Result<Event, DecodeError> {
        let datagram = Datagram::decode(bytes, &self.services, now)?;
        datagram.from_caller().map(Event::CallerPacket)
    }
}
