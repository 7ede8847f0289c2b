//! Computation of flow identifiers.

use std::hash::Hasher;
use std::net::{
    IpAddr,
    SocketAddr, //
};

use lovagespindle_decisions::ids::FlowId;
use lovagespindle_decisions::packet::Route;
use siphasher::sip128::{
    Hasher128,
    SipHasher13, //
};

/// Keys of the hash. They are fixed because all instances must compute the same identifiers.
const HASH_KEYS: (u64, u64) = (0x6c6f_7661_6765_7370, 0x696e_646c_6566_6c77);

/// Returns the identifier of the flow with this route. It is the same on every instance.
pub fn flow_id(route: &Route) -> FlowId {
    let mut hasher = SipHasher13::new_with_keys(HASH_KEYS.0, HASH_KEYS.1);
    write_address(&mut hasher, route.caller);
    write_address(&mut hasher, route.address);
    hasher.write(&route.unique_id.to_be_bytes());
    FlowId(hasher.finish128().as_u128())
}

/// Hashes an address in network byte order, so that the result is the same on every machine.
fn write_address(hasher: &mut SipHasher13, address: SocketAddr) {
    match address.ip() {
        IpAddr::V4(ip) => hasher.write(&ip.octets()),
        IpAddr::V6(ip) => hasher.write(&ip.octets()),
    }
    hasher.write(&address.port().to_be_bytes());
}
