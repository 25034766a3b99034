# RPC protocol between the instances of one fleet. After a change, regenerate
# src/peer_capnp.rs from this directory with
#   capnp compile --src-prefix=. -orust:../src peer.capnp
#
# Quota, configuration and program payloads are JSON in a Data field, next to typed fields for
# routing. Their types are defined once, with serde, in the crates that use them. A second
# definition in this schema would have to be kept in step with every change to them.

@0xd3a1f6c04b5e8d17;

interface Peer {
  # Bootstrap interface of a new connection, open to unauthenticated clients.

  hello @0 (instance :Text, nonce :Data) -> (incarnation :Text, nonce :Data, proof :Data);
  # First step of mutual authentication. The acceptor's proof is a keyed hash over both nonces
  # and both names.

  login @1 (proof :Data) -> (session :Session);
  # Second step: the dialer's proof. Each `hello` allows one attempt.
}

interface Session {
  # Interface for authenticated peers.

  ping @0 () -> ();
  # Keepalive. The acceptor closes a connection that sends no pings.

  notify @1 (message :Message) -> ();
  # Delivers a message. Returns once the message is queued at the receiver, before it is handled.

  forward @2 (call :Call, sink :AnswerSink) -> (outcome :Outcome);
  # Runs a call and streams its response to `sink`. Dropping the returned promise cancels the call.
}

interface AnswerSink {
  # Receives the response to a forwarded call. Each method returns once the receiver has queued
  # the data, which is the flow control: the sender waits for it before it sends more.

  head @0 (status :UInt16, headers :List(Header)) -> ();
  chunk @1 (data :Data) -> ();
}

struct Header {
  name @0 :Text;
  value @1 :Text;
}

struct Call {
  to @0 :Text;            # only this incarnation may run the call
  method @1 :Text;
  path @2 :Text;
  headers @3 :List(Header);
  body @4 :Data;
  facts @5 :Data;         # JSON of the caller's key hash and Jayreel headers; opaque here
}

struct Outcome {
  union {
    complete @0 :Void;
    notStarted @1 :Text;  # rejected by the peer network; the text says why
    broken @2 :Void;      # the response ended early; the call may have run
    refused @3 :Data;     # JSON of a Refusal, sent instead of head and chunks
  }
}

struct Message {
  id @0 :UInt64;          # unique within the sender's incarnation; never 0
  replyTo @1 :UInt64;     # id of the message that this replies to, or 0
  union {
    heartbeat @2 :Heartbeat;
    heartbeatAnswer @3 :Heartbeat;
    loanRequest @4 :Loan;
    loanGrant @5 :Loan;
    loanReturn @6 :Loan;
    withdrawals @7 :List(Data);
    withdrawalsApplied @8 :Void;
    snapshotRequest @9 :UInt64;   # reply only with a newer revision than this
    snapshot @10 :Snapshot;
    cacheTagQuery @11 :List(Text);
    cacheTagsOwned @12 :List(Text);
    handover @13 :Handover;
    handoverTaken @14 :Void;
    takeover @15 :Takeover;
    peersRequest @16 :Void;
    peers @17 :List(PeerAddress);   # every peer whose address the sender knows
    keyedHandover @18 :Handover;        # body: JSON of KeyedHandover, the idempotency keys
    keyedHandoverTaken @19 :UInt32;     # number of the imported part
  }
}

struct Heartbeat {
  incarnation @0 :Text;
  availabilityZone @1 :Text;
  configRevision @2 :UInt64;
  storeContactAgeMs @3 :UInt64;   # time since the last store contact behind the configuration
  hasStoreContact @4 :Bool;       # false: no contact yet, and the age is unset
  state @5 :State;
  runningCalls @6 :UInt32;
  waitingCalls @7 :UInt32;
  peerAddress @8 :Text;           # IP address and port where the sender accepts peers

  enum State {
    starting @0;
    serving @1;
    leaving @2;
  }
}

struct Loan {
  customer @0 :Text;
  body @1 :Data;          # JSON of the quota crate's type
}

struct Snapshot {
  revision @0 :UInt64;
  body @1 :Data;          # JSON of the configuration
}

struct Handover {
  from @0 :Text;          # the incarnation that is shutting down
  body @1 :Data;          # JSON of the programs crate's type
}

struct Takeover {
  of @0 :Text;            # the incarnation that no longer runs
  successor @1 :Text;     # the incarnation that took over its programs
}

struct PeerAddress {
  instance @0 :Text;
  address @1 :Text;       # IP address and port where it accepts peers
}
