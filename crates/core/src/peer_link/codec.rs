//! Converts messages between the reducer and the peer protocol.

use jayreel_fleet::PeerMessage;
use jayreel_membership::{Heartbeat, InstanceState};
use jayreel_peer::{HeartbeatState, MessageBody};
use jayreel_programs::TakeoverRecord;

/// Converts a message of the reducer to the peer protocol.
///
/// # Errors
///
/// If a nested body cannot be encoded as JSON.
pub(super) fn encode(message: &PeerMessage) -> Result<MessageBody, serde_json::Error> {
    Ok(match message {
        PeerMessage::CacheTagsOwned(tags) => {
            MessageBody::CacheTagsOwned { tags: tags.clone() }
        }
        PeerMessage::CacheTagQuery(tags) => {
            MessageBody::CacheTagQuery { tags: tags.clone() }
        }
        PeerMessage::Handover(handover) => MessageBody::Handover {
            from: handover.record.incarnation.clone(),
            body: serde_json::to_vec(handover)?,
        },
        PeerMessage::HandoverTaken => MessageBody::HandoverTaken,
        PeerMessage::KeyedHandover(handover) => MessageBody::KeyedHandover {
            from: handover.claim.of().clone(),
            body: serde_json::to_vec(handover)?,
        },
        PeerMessage::KeyedHandoverTaken { part } => {
            MessageBody::KeyedHandoverTaken { part: *part }
        }
        PeerMessage::Heartbeat(heartbeat) => {
            MessageBody::Heartbeat(encode_heartbeat(heartbeat))
        }
        PeerMessage::HeartbeatAnswer(heartbeat) => {
            MessageBody::HeartbeatAnswer(encode_heartbeat(heartbeat))
        }
        PeerMessage::LoanGrant(grant) => MessageBody::LoanGrant {
            customer: grant.customer.clone(),
            body: serde_json::to_vec(grant)?,
        },
        PeerMessage::LoanRequest(request) => MessageBody::LoanRequest {
            customer: request.customer.clone(),
            body: serde_json::to_vec(request)?,
        },
        PeerMessage::Takeover { of, record } => MessageBody::Takeover {
            of: of.clone(),
            successor: record.successor.clone(),
        },
        PeerMessage::LoanReturn(returned) => MessageBody::LoanReturn {
            customer: returned.customer.clone(),
            body: serde_json::to_vec(returned)?,
        },
    })
}

/// Converts a message of the peer protocol to one of the reducer. The receiver must have
/// handled the kinds that are not for the reducer.
///
/// # Errors
///
/// If a nested JSON body cannot be decoded.
pub(super) fn decode(body: MessageBody) -> Result<PeerMessage, serde_json::Error> {
    Ok(match body {
        MessageBody::CacheTagsOwned { tags } => PeerMessage::CacheTagsOwned(tags),
        MessageBody::CacheTagQuery { tags } => PeerMessage::CacheTagQuery(tags),
        MessageBody::Handover { body, .. } => {
            PeerMessage::Handover(Box::new(serde_json::from_slice(&body)?))
        }
        MessageBody::Heartbeat(heartbeat) => {
            PeerMessage::Heartbeat(decode_heartbeat(heartbeat))
        }
        MessageBody::HeartbeatAnswer(heartbeat) => {
            PeerMessage::HeartbeatAnswer(decode_heartbeat(heartbeat))
        }
        MessageBody::KeyedHandover { body, .. } => {
            PeerMessage::KeyedHandover(Box::new(serde_json::from_slice(&body)?))
        }
        MessageBody::KeyedHandoverTaken { part } => {
            PeerMessage::KeyedHandoverTaken { part }
        }
        MessageBody::LoanGrant { body, .. } => {
            PeerMessage::LoanGrant(serde_json::from_slice(&body)?)
        }
        MessageBody::LoanRequest { body, .. } => {
            PeerMessage::LoanRequest(serde_json::from_slice(&body)?)
        }
        MessageBody::LoanReturn { body, .. } => {
            PeerMessage::LoanReturn(serde_json::from_slice(&body)?)
        }
        MessageBody::Takeover { of, successor } => PeerMessage::Takeover {
            of,
            record: TakeoverRecord {
                successor,
                is_planned: true,
            },
        },
        // `HandoverTaken`. The receiver has handled all other kinds before.
        _ => PeerMessage::HandoverTaken,
    })
}

fn encode_heartbeat(heartbeat: &Heartbeat) -> jayreel_peer::Heartbeat {
    jayreel_peer::Heartbeat {
        incarnation: heartbeat.incarnation.clone(),
        availability_zone: heartbeat.availability_zone.clone(),
        config_revision: heartbeat.config_revision,
        store_contact_age_ms: heartbeat.store_contact_age_ms,
        state: match heartbeat.state {
            InstanceState::Leaving => HeartbeatState::Leaving,
            InstanceState::Serving => HeartbeatState::Serving,
            InstanceState::Starting => HeartbeatState::Starting,
        },
        running_calls: heartbeat.running_calls,
        waiting_calls: heartbeat.waiting_calls,
        peer_address: heartbeat.peer_address.clone(),
    }
}

fn decode_heartbeat(heartbeat: jayreel_peer::Heartbeat) -> Heartbeat {
    Heartbeat {
        incarnation: heartbeat.incarnation,
        availability_zone: heartbeat.availability_zone,
        config_revision: heartbeat.config_revision,
        store_contact_age_ms: heartbeat.store_contact_age_ms,
        state: match heartbeat.state {
            HeartbeatState::Leaving => InstanceState::Leaving,
            HeartbeatState::Serving => InstanceState::Serving,
            HeartbeatState::Starting => InstanceState::Starting,
        },
        running_calls: heartbeat.running_calls,
        waiting_calls: heartbeat.waiting_calls,
        peer_address: heartbeat.peer_address.clone(),
    }
}
