//! Bounds, seeded faults and properties of the model.

/// A protocol rule to break, to show that the search finds the resulting violation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// No rule is broken.
    None,
    /// A process admits a call as if it named the epoch of this process.
    NoEpochCheck,
    /// A forwarding instance sends a call to other instances although it may have been sent
    /// before.
    RetryAfterSending,
    /// A call whose connection broke after it was sent is reported as not run.
    NotRunAfterSending,
    /// A process that was paused beyond the dispatch deadline reports the call as not run but
    /// dispatches it.
    DispatchAfterDeadline,
    /// A handover replaces the state that the successor has built up since its takeover.
    HandoverReplaces,
    /// A call whose outcome is unknown is treated as one that did not run.
    ForgetUnknown,
}

/// A safety property.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Property {
    /// A non-repeatable call runs at most once under the epoch that it names.
    AtMostOnce,
    /// A request that was refused as not run never runs.
    NotRun,
    /// For a caller that waits, no call runs after a later one.
    Order,
}

/// What a search covers.
#[derive(Clone, Copy, Debug)]
pub struct CallsModel {
    /// Number of processes. The third is a restart of the first.
    pub processes: usize,
    /// Number of actions of the caller. Each action is one call, which may take several
    /// requests.
    pub actions: usize,
    /// Number of requests that the caller may send.
    pub max_requests: usize,
    /// Whether the calls may run more than once, such as calls to a language model.
    pub repeatable: bool,
    /// Whether each call names its turn.
    pub names_turns: bool,
    /// Whether the calls carry an idempotency key.
    pub has_idempotency_key: bool,
    /// Whether the caller waits for each response. Otherwise it may give up and repeat.
    pub caller_waits: bool,
    /// Whether process 0 may stop as planned and hand over to process 1.
    pub has_handover: bool,
    /// The rule to break.
    pub fault: Fault,
    /// The only property to check. All are checked if absent.
    pub property: Option<Property>,
}
