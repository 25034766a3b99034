//! Conversion between the types of this crate and their Cap'n Proto encoding.

use std::net::SocketAddr;

use capnp::{data_list, struct_list, text, text_list};
use jayreel_model::{Incarnation, KeyHash};

use crate::message::{
    ForwardedCall, Heartbeat, HeartbeatState, MessageBody, PeerMessage,
};
use crate::peer_capnp::{call, handover, header, heartbeat, loan, message, peer_address};

/// Maximum size of an RPC message in bytes. It bounds what an unauthenticated client can make this
/// process allocate for one connection. Larger content, such as a handover, has to be sent
/// in parts.
pub(crate) const MAX_MESSAGE_BYTES: usize = 16 * 1_024 * 1_024;

/// Maximum size in bytes of a body in an RPC message. The other half is left for headers and
/// other fields.
pub(crate) const MAX_BODY_BYTES: usize = MAX_MESSAGE_BYTES / 2;

fn check_body_size(body: &[u8]) -> capnp::Result<()> {
    match body.len() > MAX_BODY_BYTES {
        true => Err(invalid("the body is too large for one message")),
        false => Ok(()),
    }
}

pub(crate) fn read_text(text: capnp::Result<text::Reader<'_>>) -> capnp::Result<String> {
    Ok(text?.to_str()?.to_string())
}

pub(crate) fn read_incarnation(
    text: capnp::Result<text::Reader<'_>>,
) -> capnp::Result<Incarnation> {
    let text = read_text(text)?;
    text.parse().map_err(|_| invalid("expected an incarnation"))
}

/// An error for malformed or rejected input. Its text reaches the peer if an RPC method
/// returns it.
pub(crate) fn invalid(message: &str) -> capnp::Error {
    capnp::Error::failed(message.to_string())
}

fn list_length(len: usize) -> capnp::Result<u32> {
    u32::try_from(len).map_err(|_| invalid("the list is too long"))
}

pub(crate) fn write_headers(
    headers: &[(String, String)],
    mut list: struct_list::Builder<'_, header::Owned>,
) {
    for (index, (name, value)) in (0..).zip(headers) {
        let mut header = list.reborrow().get(index);
        header.set_name(name.as_str());
        header.set_value(value.as_str());
    }
}

pub(crate) fn read_headers(
    list: struct_list::Reader<'_, header::Owned>,
) -> capnp::Result<Vec<(String, String)>> {
    list.iter()
        .map(|header| {
            Ok((
                read_text(header.get_name())?,
                read_text(header.get_value())?,
            ))
        })
        .collect()
}

pub(crate) fn write_call(
    call: &ForwardedCall,
    to: &Incarnation,
    mut builder: call::Builder<'_>,
) -> capnp::Result<()> {
    check_body_size(&call.body)?;
    builder.set_to(to.to_string().as_str());
    builder.set_method(call.method.as_str());
    builder.set_path(call.path.as_str());
    builder.set_body(&call.body);
    builder.set_facts(&call.params);
    write_headers(
        &call.headers,
        builder.init_headers(list_length(call.headers.len())?),
    );
    Ok(())
}

pub(crate) fn read_call(
    reader: call::Reader<'_>,
) -> capnp::Result<(Incarnation, ForwardedCall)> {
    let call = ForwardedCall {
        method: read_text(reader.get_method())?,
        path: read_text(reader.get_path())?,
        headers: read_headers(reader.get_headers()?)?,
        body: reader.get_body()?.to_vec(),
        params: reader.get_facts()?.to_vec(),
    };
    Ok((read_incarnation(reader.get_to())?, call))
}

pub(crate) fn write_message(
    message: &PeerMessage,
    mut builder: message::Builder<'_>,
) -> capnp::Result<()> {
    builder.set_id(message.id);
    builder.set_reply_to(message.reply_to.unwrap_or(0));
    match &message.body {
        MessageBody::CacheTagsOwned { tags } => {
            write_texts(
                tags,
                builder.init_cache_tags_owned(list_length(tags.len())?),
            );
        }
        MessageBody::CacheTagQuery { tags } => {
            write_texts(tags, builder.init_cache_tag_query(list_length(tags.len())?));
        }
        MessageBody::Heartbeat(heartbeat) => {
            write_heartbeat(heartbeat, builder.init_heartbeat())
        }
        MessageBody::HeartbeatAnswer(heartbeat) => {
            write_heartbeat(heartbeat, builder.init_heartbeat_answer());
        }
        MessageBody::Handover { from, body } => {
            write_handover(from, body, builder.init_handover())?;
        }
        MessageBody::HandoverTaken => builder.set_handover_taken(()),
        MessageBody::KeyedHandover { from, body } => {
            write_handover(from, body, builder.init_keyed_handover())?;
        }
        MessageBody::KeyedHandoverTaken { part } => {
            builder.set_keyed_handover_taken(*part);
        }
        MessageBody::Takeover { of, successor } => {
            let mut takeover = builder.init_takeover();
            takeover.set_of(of.to_string().as_str());
            takeover.set_successor(successor.to_string().as_str());
        }
        MessageBody::LoanGrant { customer, body } => {
            write_loan(customer, body, builder.init_loan_grant());
        }
        MessageBody::LoanRequest { customer, body } => {
            write_loan(customer, body, builder.init_loan_request());
        }
        MessageBody::LoanReturn { customer, body } => {
            write_loan(customer, body, builder.init_loan_return());
        }
        MessageBody::Peers { peers } => {
            write_peers(peers, builder.init_peers(list_length(peers.len())?));
        }
        MessageBody::PeersRequest => builder.set_peers_request(()),
        MessageBody::Snapshot { revision, body } => {
            check_body_size(body)?;
            let mut snapshot = builder.init_snapshot();
            snapshot.set_revision(*revision);
            snapshot.set_body(body);
        }
        MessageBody::SnapshotRequest {
            newer_than_revision,
        } => {
            builder.set_snapshot_request(*newer_than_revision);
        }
        MessageBody::Withdrawals { keys } => {
            write_keys(keys, builder.init_withdrawals(list_length(keys.len())?));
        }
        MessageBody::WithdrawalsApplied => builder.set_withdrawals_applied(()),
    }
    Ok(())
}

pub(crate) fn read_message(reader: message::Reader<'_>) -> capnp::Result<PeerMessage> {
    let reply_to = reader.get_reply_to();
    Ok(PeerMessage {
        id: reader.get_id(),
        reply_to: (reply_to != 0).then_some(reply_to),
        body: read_body(reader)?,
    })
}

fn read_body(reader: message::Reader<'_>) -> capnp::Result<MessageBody> {
    Ok(match reader.which()? {
        message::CacheTagsOwned(tags) => MessageBody::CacheTagsOwned {
            tags: read_texts(tags?)?,
        },
        message::CacheTagQuery(tags) => MessageBody::CacheTagQuery {
            tags: read_texts(tags?)?,
        },
        message::Heartbeat(heartbeat) => {
            MessageBody::Heartbeat(read_heartbeat(heartbeat?)?)
        }
        message::HeartbeatAnswer(heartbeat) => {
            MessageBody::HeartbeatAnswer(read_heartbeat(heartbeat?)?)
        }
        message::Handover(handover) => {
            let (from, body) = read_handover(handover?)?;
            MessageBody::Handover { from, body }
        }
        message::HandoverTaken(()) => MessageBody::HandoverTaken,
        message::KeyedHandover(handover) => {
            let (from, body) = read_handover(handover?)?;
            MessageBody::KeyedHandover { from, body }
        }
        message::KeyedHandoverTaken(part) => MessageBody::KeyedHandoverTaken { part },
        message::Takeover(takeover) => {
            let takeover = takeover?;
            MessageBody::Takeover {
                of: read_incarnation(takeover.get_of())?,
                successor: read_incarnation(takeover.get_successor())?,
            }
        }
        message::LoanGrant(loan) => {
            let (customer, body) = read_loan(loan?)?;
            MessageBody::LoanGrant { customer, body }
        }
        message::LoanRequest(loan) => {
            let (customer, body) = read_loan(loan?)?;
            MessageBody::LoanRequest { customer, body }
        }
        message::LoanReturn(loan) => {
            let (customer, body) = read_loan(loan?)?;
            MessageBody::LoanReturn { customer, body }
        }
        message::Peers(peers) => MessageBody::Peers {
            peers: read_peers(peers?)?,
        },
        message::PeersRequest(()) => MessageBody::PeersRequest,
        message::Snapshot(snapshot) => {
            let snapshot = snapshot?;
            let body = snapshot.get_body()?.to_vec();
            MessageBody::Snapshot {
                revision: snapshot.get_revision(),
                body,
            }
        }
        message::SnapshotRequest(newer_than_revision) => MessageBody::SnapshotRequest {
            newer_than_revision,
        },
        message::Withdrawals(keys) => MessageBody::Withdrawals {
            keys: read_keys(keys?)?,
        },
        message::WithdrawalsApplied(()) => MessageBody::WithdrawalsApplied,
    })
}

fn write_texts(texts: &[String], mut list: text_list::Builder<'_>) {
    for (index, text) in (0..).zip(texts) {
        list.set(index, text.as_str());
    }
}

fn read_texts(list: text_list::Reader<'_>) -> capnp::Result<Vec<String>> {
    list.iter().map(read_text).collect()
}

fn write_keys(keys: &[KeyHash], mut list: data_list::Builder<'_>) {
    for (index, key) in (0..).zip(keys) {
        list.set(index, &key.0);
    }
}

fn read_keys(list: data_list::Reader<'_>) -> capnp::Result<Vec<KeyHash>> {
    list.iter()
        .map(|key| match <[u8; 32]>::try_from(key?) {
            Ok(hash) => Ok(KeyHash(hash)),
            Err(_) => Err(invalid("expected a key hash of 32 bytes")),
        })
        .collect()
}

fn write_handover(
    from: &Incarnation,
    body: &[u8],
    mut builder: handover::Builder<'_>,
) -> capnp::Result<()> {
    check_body_size(body)?;
    builder.set_from(from.to_string().as_str());
    builder.set_body(body);
    Ok(())
}

fn read_handover(reader: handover::Reader<'_>) -> capnp::Result<(Incarnation, Vec<u8>)> {
    Ok((
        read_incarnation(reader.get_from())?,
        reader.get_body()?.to_vec(),
    ))
}

fn write_peers(
    peers: &[(String, SocketAddr)],
    mut list: struct_list::Builder<'_, peer_address::Owned>,
) {
    for (index, (name, address)) in (0..).zip(peers) {
        let mut peer = list.reborrow().get(index);
        peer.set_instance(name.as_str());
        peer.set_address(address.to_string().as_str());
    }
}

fn read_peers(
    list: struct_list::Reader<'_, peer_address::Owned>,
) -> capnp::Result<Vec<(String, SocketAddr)>> {
    list.iter()
        .map(|peer| {
            let address = read_text(peer.get_address())?;
            let address = address
                .parse()
                .map_err(|_| invalid("expected an IP address with a port"))?;
            Ok((read_text(peer.get_instance())?, address))
        })
        .collect()
}

fn write_loan(customer: &str, body: &[u8], mut builder: loan::Builder<'_>) {
    builder.set_customer(customer);
    builder.set_body(body);
}

fn read_loan(reader: loan::Reader<'_>) -> capnp::Result<(String, Vec<u8>)> {
    Ok((
        read_text(reader.get_customer())?,
        reader.get_body()?.to_vec(),
    ))
}

fn write_heartbeat(heartbeat: &Heartbeat, mut builder: heartbeat::Builder<'_>) {
    builder.set_incarnation(heartbeat.incarnation.to_string().as_str());
    builder.set_availability_zone(heartbeat.availability_zone.as_str());
    builder.set_config_revision(heartbeat.config_revision);
    builder.set_has_store_contact(heartbeat.store_contact_age_ms.is_some());
    builder.set_store_contact_age_ms(heartbeat.store_contact_age_ms.unwrap_or(0));
    builder.set_state(match heartbeat.state {
        HeartbeatState::Starting => heartbeat::State::Starting,
        HeartbeatState::Serving => heartbeat::State::Serving,
        HeartbeatState::Leaving => heartbeat::State::Leaving,
    });
    builder.set_running_calls(heartbeat.running_calls);
    builder.set_waiting_calls(heartbeat.waiting_calls);
    builder.set_peer_address(&heartbeat.peer_address);
}

fn read_heartbeat(reader: heartbeat::Reader<'_>) -> capnp::Result<Heartbeat> {
    let age_ms = reader.get_store_contact_age_ms();
    Ok(Heartbeat {
        incarnation: read_incarnation(reader.get_incarnation())?,
        availability_zone: read_text(reader.get_availability_zone())?,
        config_revision: reader.get_config_revision(),
        store_contact_age_ms: reader.get_has_store_contact().then_some(age_ms),
        state: match reader.get_state()? {
            heartbeat::State::Starting => HeartbeatState::Starting,
            heartbeat::State::Serving => HeartbeatState::Serving,
            heartbeat::State::Leaving => HeartbeatState::Leaving,
        },
        running_calls: reader.get_running_calls(),
        waiting_calls: reader.get_waiting_calls(),
        peer_address: reader.get_peer_address()?.to_string()?,
    })
}
