//! Encodes and decodes the platform's list of instances.

use bytes::Bytes;
use lovagespindle_decisions::event::RegistryEntry;
use lovagespindle_decisions::ids::{
    InstanceId,
    ZoneId, //
};
use lovagespindle_decisions::peer::{
    Member,
    MemberState, //
};
use prost::Message;

use crate::codec::{
    DecodeError,
    Piece, //
};
use crate::codec_value::{
    decode_address,
    encode_address, //
};
use crate::generated::lovagespindle::list::{
    InstanceList,
    InstanceState,
    ListedInstance, //
};

/// Encodes the list of one zone's instances. Dead ones are left out.
pub fn encode_list(list: &[RegistryEntry]) -> Bytes {
    let instances = list.iter().filter_map(encode).collect();
    InstanceList { instances }.encode_to_vec().into()
}

/// Decodes the list of one zone's instances.
pub fn decode_list(bytes: &[u8], zone: ZoneId) -> Result<Vec<RegistryEntry>, DecodeError> {
    let list = InstanceList::decode(bytes)?.instances;
    list.into_iter().map(|i| decode(i, zone)).collect()
}

fn encode(listed: &RegistryEntry) -> Option<ListedInstance> {
    let state = match listed.state {
        MemberState::Live => InstanceState::Live,
        MemberState::Leaving => InstanceState::Leaving,
        MemberState::Dead => return None,
    };
    Some(ListedInstance {
        id: listed.member.id.0,
        control: encode_address(listed.member.control),
        relay: encode_address(listed.member.relay),
        state: state.into(),
    })
}

fn decode(listed: ListedInstance, zone: ZoneId) -> Result<RegistryEntry, DecodeError> {
    let state = match InstanceState::try_from(listed.state) {
        Ok(InstanceState::Live) => MemberState::Live,
        Ok(InstanceState::Leaving) => MemberState::Leaving,
        _ => return Err(DecodeError::Wrong(Piece::InstanceState)),
    };
    let member = Member {
        id: InstanceId(listed.id),
        zone,
        control: decode_address(listed.control)?,
        relay: decode_address(listed.relay)?,
    };
    Ok(RegistryEntry { member, state })
}
