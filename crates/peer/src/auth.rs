//! Mutual challenge-response authentication between instances.
//!
//! Each end proves that it knows the fleet secret with a keyed hash over its role, both
//! nonces and both names. The role is part of the hash so that a proof cannot be reflected
//! to the end that made it. Only the handshake is authenticated: the network between
//! instances is trusted not to hijack established connections.

use std::fmt;

use subtle::ConstantTimeEq;

/// Context of the key derivation. Instances with different contexts reject each other.
const KEY_CONTEXT: &str = "jayreel 2026 peer authentication";

/// Length of a nonce. The peer rejects any other.
pub(crate) const NONCE_BYTES: usize = 32;

pub(crate) type Nonce = [u8; NONCE_BYTES];

/// Key derived from the secret that all instances of a fleet share. `Debug` does not print
/// it.
#[derive(Clone)]
pub struct FleetSecret([u8; 32]);

impl FleetSecret {
    /// Derives the hash key from the text of the secret in the settings. All instances of
    /// a fleet must have the same text.
    pub fn derive(secret: &str) -> FleetSecret {
        FleetSecret(blake3::derive_key(KEY_CONTEXT, secret.as_bytes()))
    }
}

impl fmt::Debug for FleetSecret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("FleetSecret(..)")
    }
}

/// The end of the connection that a proof belongs to.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Role {
    Dialer,
    Acceptor,
}

/// The input of both proofs. Both ends know all of it after `hello`.
#[derive(Clone, Debug)]
pub(crate) struct Challenge {
    /// Name of the dialing instance, without its incarnation number.
    pub(crate) dialer: String,
    pub(crate) dialer_nonce: Nonce,
    /// Incarnation of the accepting instance.
    pub(crate) acceptor: String,
    pub(crate) acceptor_nonce: Nonce,
}

impl Challenge {
    /// The proof that the end with this role has to send.
    pub(crate) fn proof(&self, secret: &FleetSecret, role: Role) -> [u8; 32] {
        let role: &[u8] = match role {
            Role::Dialer => b"dialer",
            Role::Acceptor => b"acceptor",
        };
        let mut hasher = blake3::Hasher::new_keyed(&secret.0);
        let parts = [
            role,
            self.dialer.as_bytes(),
            &self.dialer_nonce,
            self.acceptor.as_bytes(),
            &self.acceptor_nonce,
        ];
        // The length prefixes keep different lists of parts from hashing the same bytes.
        for part in parts {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        *hasher.finalize().as_bytes()
    }

    /// Compares a received proof with the expected one in constant time.
    pub(crate) fn is_proof_valid(
        &self,
        secret: &FleetSecret,
        role: Role,
        proof: &[u8],
    ) -> bool {
        bool::from(self.proof(secret, role).as_slice().ct_eq(proof))
    }
}

pub(crate) fn new_nonce() -> Nonce {
    rand::random()
}
