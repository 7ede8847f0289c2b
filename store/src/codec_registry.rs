//! Encodes and decodes entries of the instance registry.

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
    Field, //
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

/// Encodes registry entries of one availability zone. Entries of dead instances are omitted.
pub fn encode_registry(entries: &[RegistryEntry]) -> Bytes {
    let instances = entries.iter().filter_map(encode).collect();
    InstanceList { instances }.encode_to_vec().into()
}

/// Decodes registry entries of one availability zone.
///
/// Returns an error if the bytes are not a list of entries or if a field is missing or invalid.
pub fn decode_registry(bytes: &[u8], zone: ZoneId) -> Result<Vec<RegistryEntry>, DecodeError> {
    let instances = InstanceList::decode(bytes)?.instances;
    instances.into_iter().map(|i| decode(i, zone)).collect()
}

fn encode(entry: &RegistryEntry) -> Option<ListedInstance> {
    let state = match entry.state {
        MemberState::Live => InstanceState::Live,
        MemberState::Leaving => InstanceState::Leaving,
        MemberState::Dead => return None,
    };
    Some(ListedInstance {
        id: entry.member.id.0,
        control: encode_address(entry.member.control),
        relay: encode_address(entry.member.relay),
        state: state.into(),
    })
}

fn decode(instance: ListedInstance, zone: ZoneId) -> Result<RegistryEntry, DecodeError> {
    let state = match InstanceState::try_from(instance.state) {
        Ok(InstanceState::Live) => MemberState::Live,
        Ok(InstanceState::Leaving) => MemberState::Leaving,
        _ => return Err(DecodeError::Invalid(Field::InstanceState)),
    };
    let member = Member {
        id: InstanceId(instance.id),
        zone,
        control: decode_address(instance.control)?,
        relay: decode_address(instance.relay)?,
    };
    Ok(RegistryEntry { member, state })
}
