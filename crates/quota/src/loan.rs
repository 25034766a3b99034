//! The messages by which instances lend each other parts of their shares.

use serde::{Deserialize, Serialize};

/// Identifies one loan. Unique across the fleet, because incarnations are.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LoanId {
    /// Incarnation of the borrower.
    pub borrower: String,
    /// Sequence number of the request in that incarnation.
    pub sequence: u64,
}

/// Requests a part of another instance's share of a customer's contract.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LoanRequest {
    /// The id that the loan will have.
    pub id: LoanId,
    /// Name of the customer.
    pub customer: String,
    /// The borrower's present weight, in parts per million of the contract.
    pub weight_ppm: u32,
    /// The additional weight that it requests, in parts per million.
    pub wanted_ppm: u32,
    /// Tokens that the borrower lacks for its next call, in thousandths of a request.
    pub wanted_tokens_mreq: u64,
}

/// The response to a [`LoanRequest`]. The lender has already reduced its own share by this
/// much.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LoanGrant {
    /// The id from the request.
    pub id: LoanId,
    /// Name of the customer.
    pub customer: String,
    /// Incarnation of the lender.
    pub lender: String,
    /// The lent part of the contract's rate and burst, in parts per million. 0 if nothing
    /// is lent.
    pub weight_ppm: u32,
    /// Tokens that move to the borrower, in thousandths of a request.
    pub tokens_mreq: u64,
}

/// Ends a loan before the end of its term. The borrower has already stopped using it.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LoanReturn {
    /// The id of the loan.
    pub id: LoanId,
    /// Name of the customer.
    pub customer: String,
    /// Incarnation of the lender, to which this message goes.
    pub lender: String,
    /// Unused tokens that move back to the lender, in thousandths of a request.
    pub tokens_mreq: u64,
}
