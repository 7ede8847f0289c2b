//! Messages by which instances pass on updates of the documents in the platform's store.

use std::net::SocketAddrV4;
use std::time::Duration;

use bytes::Bytes;
use lovagespindle_decisions::dsr::peers::{
    MAX_PEERS,
    Peer, //
};
use lovagespindle_decisions::dsr::source_path::SourcePath;
use lovagespindle_decisions::dsr::store_update::{
    Document,
    DocumentUpdate,
    Revision,
    UpdateKind, //
};
use prost::Message;

use crate::error::{
    Field,
    FrameError, //
};
use crate::generated::{
    self,
    NewsPeer,
    NewsReply,
    NewsRequest, //
};

/// Maximum size of a frame in bytes, without its length prefix, and of its documents once they are
/// decompressed. The store has values of up to 1 MB.
pub const MAX_FRAME: usize = 8 << 20;

/// Size of the documents of a reply in bytes from which they are compressed.
const MIN_PACKED: usize = 4 << 10;

/// The query of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Query {
    /// Requests only the peers that the other instance knows.
    Peers,
    /// Requests the changes after a revision, or everything for revision 0, and the peers.
    Since(Revision),
}

/// A request for an update.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Request {
    pub query: Query,
    /// Maximum time that the receiver may wait for a change before it replies.
    pub max_wait: Duration,
    pub sender: Peer,
    /// Time since the store confirmed what the sender knows, if it did. The receiver replies as soon
    /// as it has a later confirmation.
    pub age: Option<Duration>,
    /// Digest of the instances of its zone that the sender knows.
    pub digest: u32,
}

/// The reply to a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Reply {
    /// The update. `None` if the request was only for peers, or if the replying instance has no data
    /// of the store.
    pub update: Option<DocumentUpdate>,
    /// The instances that the replying instance knows, including itself. Empty if the digests are
    /// equal.
    pub peers: Vec<Peer>,
    /// The instances between the replying one and the store.
    pub path: SourcePath,
    /// Time for which the request waited at the replying instance.
    pub waited: Duration,
}

/// Converts to milliseconds, saturating at `u32::MAX`.
fn millis(duration: Duration) -> u32 {
    duration.as_millis().try_into().unwrap_or(u32::MAX)
}

fn duration(millis: u32) -> Duration {
    Duration::from_millis(millis.into())
}

fn encode_peer(peer: &Peer) -> NewsPeer {
    NewsPeer {
        address: peer.address.to_string(),
        zone: (*peer.zone).to_owned(),
        age: millis(peer.age),
    }
}

fn decode_peer(peer: &NewsPeer) -> Result<Peer, FrameError> {
    let address: Result<SocketAddrV4, _> = peer.address.parse();
    Ok(Peer {
        address: address.map_err(|_| FrameError::Invalid(Field::Address))?,
        zone: peer.zone.as_str().into(),
        age: duration(peer.age),
    })
}

fn decode_path(path: &[String]) -> Result<SourcePath, FrameError> {
    let addresses: Result<Vec<_>, _> = path.iter().map(|at| at.parse()).collect();
    let addresses = addresses.map_err(|_| FrameError::Invalid(Field::Address))?;
    SourcePath::new(addresses).ok_or(FrameError::TooMany(Field::Path))
}

pub fn encode_request(request: &Request) -> Bytes {
    let known = match request.query {
        Query::Peers => Revision::default(),
        Query::Since(known) => known,
    };
    let message = NewsRequest {
        known: known.number,
        era: known.era,
        peers_only: request.query == Query::Peers,
        wait: millis(request.max_wait),
        sender: Some(encode_peer(&request.sender)),
        age: request.age.map(millis),
        digest: request.digest,
    };
    message.encode_to_vec().into()
}

/// Decodes a request.
///
/// Returns an error if the bytes are not a request, or if the sender is missing or its address is
/// invalid.
pub fn decode_request(bytes: Bytes) -> Result<Request, FrameError> {
    let message = NewsRequest::decode(bytes)?;
    let sender = message.sender.ok_or(FrameError::Missing(Field::Sender))?;
    Ok(Request {
        query: if message.peers_only {
            Query::Peers
        } else {
            Query::Since(Revision {
                era: message.era,
                number: message.known,
            })
        },
        max_wait: duration(message.wait),
        sender: decode_peer(&sender)?,
        age: message.age.map(duration),
        digest: message.digest,
    })
}

/// Encodes a reply. All revisions of an update have one era, as a delta never spans two. Leaves out peers beyond the number that a reply may carry.
pub fn encode_reply(reply: Reply) -> Bytes {
    let peers = reply
        .peers
        .iter()
        .take(MAX_PEERS)
        .map(encode_peer)
        .collect();
    let age = reply.update.as_ref().map(|update| millis(update.age));
    let update = reply.update.unwrap_or_default();
    let documents = update.documents.into_iter().map(encode_document).collect();
    let (documents, packed) = pack(documents);
    let message = NewsReply {
        at: update.revision.number,
        era: update.revision.era,
        after: match update.kind {
            // Parts are not passed on.
            UpdateKind::Snapshot | UpdateKind::Part => None,
            UpdateKind::Delta(base) => Some(base.number),
        },
        documents,
        packed,
        age,
        peers,
        path: reply.path.addresses().map(|at| at.to_string()).collect(),
        waited: millis(reply.waited),
    };
    message.encode_to_vec().into()
}

/// Compresses documents if they are worth it. Returns the documents that stay as they are, and the
/// compressed ones.
fn pack(documents: Vec<generated::Document>) -> (Vec<generated::Document>, Option<Bytes>) {
    let list = generated::DocumentList { documents };
    if list.encoded_len() < MIN_PACKED {
        return (list.documents, None);
    }
    let packed = lz4_flex::compress_prepend_size(&list.encode_to_vec());
    (Vec::new(), Some(packed.into()))
}

/// Decompresses documents. Returns an error if they are invalid or larger than [`MAX_FRAME`].
fn unpack(packed: &[u8]) -> Result<Vec<generated::Document>, FrameError> {
    let (size, block) = lz4_flex::block::uncompressed_size(packed)
        .map_err(|_| FrameError::Invalid(Field::Documents))?;
    if size > MAX_FRAME {
        return Err(FrameError::TooMany(Field::Documents));
    }
    let bytes = lz4_flex::decompress(block, size);
    let bytes = bytes.map_err(|_| FrameError::Invalid(Field::Documents))?;
    Ok(generated::DocumentList::decode(bytes.as_slice())?.documents)
}

fn encode_document(document: Document) -> generated::Document {
    generated::Document {
        key: (*document.key).to_owned(),
        revision: document.revision.number,
        value: document.value,
    }
}

/// Decodes a reply.
///
/// Returns an error if the bytes are not a reply, there are more peers or instances on the path than
/// a reply may carry, or the address of one is invalid.
pub fn decode_reply(bytes: Bytes) -> Result<Reply, FrameError> {
    let message = NewsReply::decode(bytes)?;
    if message.peers.len() > MAX_PEERS {
        return Err(FrameError::TooMany(Field::Member));
    }
    let peers = message.peers.iter().map(decode_peer);
    let mut documents = message.documents;
    if let Some(packed) = &message.packed {
        documents.append(&mut unpack(packed)?);
    }
    let era = message.era;
    let documents = documents.into_iter().map(|document| Document {
        key: document.key.into(),
        revision: Revision {
            era,
            number: document.revision,
        },
        value: document.value,
    });
    let documents = documents.collect();
    let update = message.age.map(|age| DocumentUpdate {
        documents,
        revision: Revision {
            era,
            number: message.at,
        },
        kind: message.after.map_or(UpdateKind::Snapshot, |base| {
            UpdateKind::Delta(Revision { era, number: base })
        }),
        age: duration(age),
    });
    Ok(Reply {
        update,
        peers: peers.collect::<Result<_, _>>()?,
        path: decode_path(&message.path)?,
        waited: duration(message.waited),
    })
}
