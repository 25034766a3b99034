//! Places requests at endpoints: tells the balancer what is known about a request, and remembers
//! where the programs ran.

use jayreel_placement::AffinityKey;
use rand::RngExt;

use crate::balance::{MemoryBound, Pick, PickRequest};
use crate::edge::Edge;
use crate::edge::call::AdmittedCall;

/// Number of programs whose last endpoint is remembered. All entries are dropped when it is
/// reached; a program lasts only a few seconds.
const MAX_AFFINITIES: usize = 4_096;

/// Number of turns whose endpoint is remembered. All entries are dropped when it is reached.
const MAX_TURNS: usize = 8_192;

impl Edge {
    /// Chooses the endpoint for the next send of a request, and takes a token for it if it needs
    /// one. Endpoints in `tried` are left out.
    pub(crate) async fn place(
        &self,
        admitted: &AdmittedCall,
        tried: &[String],
    ) -> Option<Pick> {
        let program = admitted.program();
        let last_endpoint =
            program.and_then(|program| self.affinity.borrow().get(program).cloned());
        let object = admitted.call.object.as_deref();
        let object = object.filter(|_| admitted.route.is_sticky);
        let previous_turn = admitted.call.previous_turn.as_deref();
        let previous_turn = previous_turn.and_then(|turn| {
            let turns = self.turn_endpoints.borrow();
            turns.get(&AffinityKey::turn(turn)).copied()
        });
        let request = PickRequest {
            previous_turn,
            last_endpoint: last_endpoint.as_deref(),
            program: program.map(AffinityKey::program),
            object: object.map(|object| AffinityKey::object(&admitted.service, object)),
            memory: admitted
                .engine_memory_tokens
                .map(|capacity_tokens| MemoryBound {
                    tokens: admitted.outgoing.memory_tokens,
                    capacity_tokens,
                }),
            random: Some(rand::rng().random()),
            ..PickRequest::new(admitted.target(), tried)
        };
        let pick = self.pick_within_limits(&request).await;
        if let Some(pick) = &pick {
            self.metrics.placed(pick.reason);
        }
        pick
    }

    /// Records that a program's turn runs at an endpoint, which then holds the program's history.
    pub(crate) fn record_affinity(&self, program: &str, turn: &str, pick: &Pick) {
        let mut affinity = self.affinity.borrow_mut();
        if affinity.len() >= MAX_AFFINITIES {
            affinity.clear();
        }
        affinity.insert(program.to_string(), pick.id.clone());
        let mut turns = self.turn_endpoints.borrow_mut();
        if turns.len() >= MAX_TURNS {
            turns.clear();
        }
        turns.insert(AffinityKey::turn(turn), pick.key);
    }
}
