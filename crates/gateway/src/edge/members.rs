//! Client of the storage group: the requests of an entry instance to the members, which are
//! storage instances.
//!
//! Requests about turns and budgets need responses from several members, all in the same version
//! of the group; those about rate limits, the configuration, endpoints and presence need one
//! member.

use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::rc::Rc;

use futures::stream::FuturesUnordered;
use futures::{FutureExt, StreamExt};
use jayreel_ledger::{
    BudgetCheck, CrashReport, Decision, EndpointCursor, EndpointLimit, Fingerprint,
    Group, Member, MemberRequest, MemberResponse, Phase, QuotaRequest, Reservation,
    SendGrant, Settlement, SharedConfiguration, SharedEndpoints, Suspect,
    SuspectsVersion, TurnDigest, TurnRecord, TurnRenewal, ZonePresence,
};
use jayreel_membership::rank;

use crate::clock::{now_ms, pause};
use crate::contact::GroupContact;
use crate::link::{LinkError, MemberClient};
use crate::membership::DECISION_TIMEOUT_MS;
use crate::renewals::RenewalQueue;
use crate::storage::MAX_RESPONSE_BYTES;

/// Timeout of a request for which a member may need its disk, in milliseconds: several disk syncs
/// and the round trip.
const DISK_TIMEOUT_MS: u64 = 250;

/// A reservation that fails sooner than this, in milliseconds, is retried once: the connections
/// were broken, or the group has changed.
const RETRY_RESERVE_WITHIN_MS: u64 = 100;

/// Members are probed if no quorum has responded for this long, in milliseconds, so that an
/// instance without traffic stays ready.
const PROBE_AFTER_SILENCE_MS: u64 = 150;

/// Timeout of a request to which a member responds from memory, in milliseconds.
const MEMORY_TIMEOUT_MS: u64 = 120;

/// If a turn has not been stored or found after this time, in milliseconds, the request is sent
/// to the remaining members as well: the time of a few disk syncs.
const HEDGE_DELAY_MS: u64 = 50;

/// Storing a short turn fails if it has too few copies after this time, in milliseconds.
const STORE_TURN_TIMEOUT_MS: u64 = 1_200;

/// A long turn gets a millisecond more for each of this many bytes: the copies of one turn on a
/// link of 30 Mbit/s.
const STORE_BYTES_PER_MS: u64 = 1_000;

/// Pause before another attempt to store a finished turn, in milliseconds.
const STORE_TURN_RETRY_MS: u64 = 50;

/// Number of members from which endpoints are requested before the metadata store is read: the
/// nearest and one more.
const MAX_ENDPOINT_SOURCES: usize = 2;

/// After a member has reported a full disk, no turns are started for this long, in milliseconds.
pub const STORAGE_FULL_PAUSE_MS: u64 = 1_000;

/// Too few members responded in one version of the group, or too late, to decide a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct NoQuorum;

/// Rejects a decision that took longer than `DECISION_TIMEOUT_MS`. A member may have responded,
/// then lost its disk, and by now vote again without its record of that response.
fn check_decision_age(began_ms: u64, decision: Decision) -> Result<Decision, NoQuorum> {
    match now_ms() < began_ms + DECISION_TIMEOUT_MS {
        true => Ok(decision),
        false => Err(NoQuorum),
    }
}

/// Time within which a turn must be stored, in milliseconds.
fn store_timeout_ms(record: &TurnRecord) -> u64 {
    let bytes = (record.input.len() + record.output.len()) as u64;
    STORE_TURN_TIMEOUT_MS + bytes / STORE_BYTES_PER_MS
}

/// Result of a search for a turn and the turns before it.
#[derive(Debug)]
pub enum ChainLookup {
    /// The turns found, newest first. They may not reach back to the first turn of the
    /// conversation.
    Turns(Vec<TurnRecord>),
    /// The turn does not exist: so many members lack it that the rest cannot hold all its copies.
    Missing,
    /// The turn alone is larger than requested.
    TurnTooLarge {
        /// Its size, in bytes. Never smaller than the turn.
        bytes: u64,
    },
}

/// Connections to the members of the storage group, and what is known about the group.
pub struct Members {
    availability_zone: String,
    group: RefCell<Rc<Group>>,
    client: Box<dyn MemberClient>,
    contact: RefCell<GroupContact>,
    /// A member has reported a newer version of the group than this instance has.
    is_group_outdated: Cell<bool>,
    /// When a member last reported that its disk is full.
    storage_full_ms: Cell<Option<u64>>,
    renewals: RefCell<RenewalQueue>,
}

impl Members {
    /// Starts without a group. Members of `availability_zone` will be preferred.
    pub fn new(availability_zone: &str, client: Box<dyn MemberClient>) -> Members {
        Members {
            availability_zone: availability_zone.to_string(),
            group: RefCell::default(),
            client,
            contact: RefCell::default(),
            is_group_outdated: Cell::new(false),
            storage_full_ms: Cell::new(None),
            renewals: RefCell::default(),
        }
    }

    /// The newest known version of the group. Version 0, without members, if none is known.
    pub fn group(&self) -> Rc<Group> {
        Rc::clone(&self.group.borrow())
    }

    /// Switches to a version of the group if it is newer than the known one. It is sent to its
    /// members, so that they stop responding in earlier versions.
    pub fn adopt(self: &Rc<Self>, group: Group) {
        if group.version <= self.group().version || !group.is_valid() {
            return;
        }
        log::info!(
            "event=group_adopted version={} members={}",
            group.version,
            group.members.len()
        );
        *self.group.borrow_mut() = Rc::new(group);
        self.is_group_outdated.set(false);
        for member in &self.group().members {
            self.send_group(member);
        }
    }

    /// Whether a quorum responds in the known version of the group, and no member has reported a
    /// newer one.
    pub fn is_group_current(&self, now_ms: u64) -> bool {
        self.group().version > 0
            && self.contact().has_quorum(now_ms)
            && !self.is_group_outdated.get()
    }

    /// Sends a member the newest known version of the group, without waiting for the response.
    fn send_group(self: &Rc<Self>, member: &Member) {
        let group = self.group();
        let request = MemberRequest::AdoptGroup(Group::clone(&group));
        drop(self.spawn_request(group.version, member, request, MEMORY_TIMEOUT_MS));
    }

    /// All members, those of the own availability zone first. Within that, the order depends on
    /// `key`, so that load is spread.
    pub fn nearest_first(&self, key: &str) -> Vec<Member> {
        let mut members = self.group().members.clone();
        members.sort_by_cached_key(|member| {
            let is_remote = member.availability_zone != self.availability_zone;
            (is_remote, Reverse(rank(&member.name, key)))
        });
        members
    }

    /// Sends a request to a member for one version of the group. Responses given in different
    /// versions must not be counted together, since quorums of two versions need not have a
    /// member in common.
    async fn send_request(
        &self,
        group_version: u64,
        member: &Member,
        request: MemberRequest,
        timeout_ms: u64,
    ) -> Result<MemberResponse, LinkError> {
        let response = self
            .client
            .send_request(member, group_version, request, timeout_ms)
            .await;
        if response.is_ok() {
            self.contact.borrow_mut().record_member_response(now_ms());
        }
        if response == Ok(MemberResponse::StorageFull) {
            self.storage_full_ms.set(Some(now_ms()));
        }
        response
    }

    /// Whether a member has just reported that its disk is full, so that a turn that starts now
    /// may not be stored.
    pub fn is_storage_full(&self, now_ms: u64) -> bool {
        let full_ms = self.storage_full_ms.get();
        full_ms.is_some_and(|full_ms| now_ms < full_ms + STORAGE_FULL_PAUSE_MS)
    }

    /// A copy of the current state of the contact with the group.
    pub fn contact(&self) -> GroupContact {
        *self.contact.borrow()
    }

    /// Records that the metadata store responded to this instance.
    pub(crate) fn record_store_response(&self) {
        self.contact.borrow_mut().record_store_response(now_ms());
    }

    /// Retry-After for a request that needs the group while contact with it is lost, in
    /// milliseconds.
    pub fn retry_after_ms(&self) -> u64 {
        let group = self.group();
        let mut members = group.members.iter();
        let has_near_member =
            members.any(|member| member.availability_zone == self.availability_zone);
        self.contact().retry_after_ms(now_ms(), has_near_member)
    }

    /// Requests the status of all members, to count those that vote, if no quorum has responded
    /// recently. Also sends the group to members with an older version.
    pub async fn probe(self: &Rc<Self>) {
        let silence_ms = self.contact().silence_ms(now_ms());
        if silence_ms.is_some_and(|silence_ms| silence_ms < PROBE_AFTER_SILENCE_MS) {
            return;
        }
        let group = self.group();
        let version = group.version;
        let mut responses: FuturesUnordered<_> = group
            .members
            .iter()
            .map(|member| {
                let response = self.send_request(
                    version,
                    member,
                    MemberRequest::Status,
                    MEMORY_TIMEOUT_MS,
                );
                response.map(move |response| (member, response))
            })
            .collect();
        let mut voting = 0;
        while let Some((member, response)) = responses.next().await {
            match response {
                Ok(MemberResponse::Status { group_version, .. })
                    if group_version < group.version =>
                {
                    self.send_group(member);
                }
                Ok(MemberResponse::Status {
                    is_voting,
                    group_version,
                }) => {
                    if group_version > group.version {
                        self.is_group_outdated.set(true);
                    }
                    voting += usize::from(is_voting);
                }
                _ => {}
            }
            if voting >= group.quorum() {
                self.contact.borrow_mut().record_quorum_response(now_ms());
                return;
            }
        }
    }

    /// Sends a request to all members and adds the charges they return to `budget_check`, until
    /// a quorum has responded.
    async fn collect_charges(
        self: &Rc<Self>,
        request: &MemberRequest,
        timeout_ms: u64,
        budget_check: &mut BudgetCheck,
    ) -> Result<(), NoQuorum> {
        let group = self.group();
        let mut responses: FuturesUnordered<_> = group
            .members
            .iter()
            .map(|member| {
                self.spawn_request(group.version, member, request.clone(), timeout_ms)
            })
            .collect();
        let mut count = 0;
        while let Some(response) = responses.next().await {
            match response {
                Ok(Ok(MemberResponse::Charges(charges))) => {
                    budget_check.add(&charges);
                    count += 1;
                }
                Ok(Ok(MemberResponse::GroupSuperseded(newer))) => {
                    self.adopt(newer);
                    return Err(NoQuorum);
                }
                _ => {}
            }
            if count >= group.quorum() {
                self.contact.borrow_mut().record_quorum_response(now_ms());
                return Ok(());
            }
        }
        Err(NoQuorum)
    }

    /// Like `send_request`, but in its own task, so that the request is completed even if the
    /// caller stops waiting for the response.
    fn spawn_request(
        self: &Rc<Self>,
        group_version: u64,
        member: &Member,
        request: MemberRequest,
        timeout_ms: u64,
    ) -> tokio::task::JoinHandle<Result<MemberResponse, LinkError>> {
        let (members, member) = (Rc::clone(self), member.clone());
        tokio::task::spawn_local(async move {
            members
                .send_request(group_version, &member, request, timeout_ms)
                .await
        })
    }

    /// Reserves tokens for a turn in its program's budget of `budget_tokens`. The caller must
    /// settle the turn: with 0 tokens if the result is not `Admit`, since members may have
    /// recorded the reservation.
    pub async fn reserve(
        self: &Rc<Self>,
        reservation: &Reservation,
        budget_tokens: u64,
    ) -> Result<Decision, NoQuorum> {
        let began_ms = now_ms();
        let result = self.reserve_once(reservation, budget_tokens).await;
        match result.is_err() && now_ms() < began_ms + RETRY_RESERVE_WITHIN_MS {
            true => self.reserve_once(reservation, budget_tokens).await,
            false => result,
        }
    }

    async fn reserve_once(
        self: &Rc<Self>,
        reservation: &Reservation,
        budget_tokens: u64,
    ) -> Result<Decision, NoQuorum> {
        let began_ms = now_ms();
        let mut budget_check = BudgetCheck::new(&reservation.turn);
        let request = MemberRequest::Reserve(reservation.clone());
        let version = self.group().version;
        self.collect_charges(&request, DISK_TIMEOUT_MS, &mut budget_check)
            .await?;
        let max_turn_tokens = reservation.max_turn_tokens;
        let decision =
            budget_check.decide(Phase::Reserved, budget_tokens, max_turn_tokens);
        if decision != Decision::Reread {
            return check_decision_age(began_ms, decision);
        }
        let request = MemberRequest::Charges(reservation.program.clone());
        self.collect_charges(&request, MEMORY_TIMEOUT_MS, &mut budget_check)
            .await?;
        match self.group().version == version {
            true => {
                let decision =
                    budget_check.decide(Phase::Reread, budget_tokens, max_turn_tokens);
                check_decision_age(began_ms, decision)
            }
            false => Err(NoQuorum),
        }
    }

    /// Reports the tokens that a turn actually used, without waiting for responses. If the
    /// message is lost, the reservation stays, so the budget is charged too much but never too
    /// little.
    pub fn settle(self: &Rc<Self>, settlement: &Settlement) {
        let group = self.group();
        for member in &group.members {
            let request = MemberRequest::Settle(settlement.clone());
            drop(self.spawn_request(group.version, member, request, DISK_TIMEOUT_MS));
        }
    }

    /// Stores a finished turn. Returns once enough members have it on disk. The request is
    /// idempotent, so it is retried while the group changes or members are unreachable.
    pub async fn store_turn(
        self: &Rc<Self>,
        record: &TurnRecord,
    ) -> Result<(), NoQuorum> {
        self.store_turn_in(None, record).await
    }

    /// Whether there are as many members in these zones as a turn needs copies. `None` stands for
    /// all zones.
    pub fn can_store_in(&self, zones: Option<&BTreeSet<String>>) -> bool {
        let Some(zones) = zones else {
            return true;
        };
        let group = self.group();
        let members = group.members.iter();
        let allowed = members.filter(|one| zones.contains(&one.availability_zone));
        allowed.count() >= group.copies().max(1)
    }

    /// Like `store_turn`, but sends the turn only to members in these zones. Fails if they are too
    /// few.
    pub async fn store_turn_in(
        self: &Rc<Self>,
        zones: Option<&BTreeSet<String>>,
        record: &TurnRecord,
    ) -> Result<(), NoQuorum> {
        let until_ms = now_ms() + store_timeout_ms(record);
        loop {
            let version = self.group().version;
            let stored = self.store_turn_once(zones, record).await;
            if stored.is_ok() {
                let turn = TurnDigest::of(&record.turn);
                self.renewals.borrow_mut().record_stored(now_ms(), turn);
            }
            if stored.is_ok() || now_ms() >= until_ms {
                return stored;
            }
            if self.group().version == version {
                pause(STORE_TURN_RETRY_MS).await;
            }
        }
    }

    /// Sends a turn to as many members as it needs copies, and to further ones if these fail or are
    /// slow.
    async fn store_turn_once(
        self: &Rc<Self>,
        zones: Option<&BTreeSet<String>>,
        record: &TurnRecord,
    ) -> Result<(), NoQuorum> {
        let group = self.group();
        let key = record.previous.as_deref().unwrap_or(&record.turn);
        if !self.can_store_in(zones) {
            return Err(NoQuorum);
        }
        let is_allowed = |member: &Member| {
            zones.is_none_or(|zones| zones.contains(&member.availability_zone))
        };
        let mut candidates = self.nearest_first(key).into_iter().filter(is_allowed);
        let copies = group.copies().max(1);
        let timeout_ms = store_timeout_ms(record);
        let send_next = |member: Member| {
            let request = MemberRequest::StoreTurn(record.clone());
            self.spawn_request(group.version, &member, request, timeout_ms)
        };
        let mut pending = FuturesUnordered::new();
        pending.extend(candidates.by_ref().take(copies).map(&send_next));
        let hedge = pause(HEDGE_DELAY_MS);
        tokio::pin!(hedge);
        let mut sent_to_all = false;
        let mut stored = 0;
        while stored < copies {
            tokio::select! {
                response = pending.next() => match response {
                    Some(Ok(Ok(MemberResponse::Done))) => stored += 1,
                    Some(Ok(Ok(MemberResponse::GroupSuperseded(newer)))) => {
                        self.adopt(newer);
                        return Err(NoQuorum);
                    }
                    Some(_) => pending.extend(candidates.next().map(&send_next)),
                    None => return Err(NoQuorum),
                },
                () = &mut hedge, if !sent_to_all => {
                    sent_to_all = true;
                    pending.extend(candidates.by_ref().map(&send_next));
                }
            }
        }
        Ok(())
    }

    /// Finds a turn and up to `max_chain_turns - 1` turns before it, of `max_bytes` together.
    /// Retried once if the group changed in the meantime.
    pub async fn chain(
        self: &Rc<Self>,
        turn: &str,
        max_chain_turns: u32,
        max_bytes: u64,
    ) -> Result<ChainLookup, NoQuorum> {
        let version = self.group().version;
        match self.chain_once(turn, max_chain_turns, max_bytes).await {
            Err(NoQuorum) if self.group().version > version => {
                self.chain_once(turn, max_chain_turns, max_bytes).await
            }
            result => result,
        }
    }

    /// Sends the request to the members one after another, or to all after a delay, until one
    /// has the turn or so many lack it that it cannot exist. Only one member at a time is asked for
    /// a long turn, as there may not be enough memory for several copies.
    async fn chain_once(
        self: &Rc<Self>,
        turn: &str,
        max_chain_turns: u32,
        max_bytes: u64,
    ) -> Result<ChainLookup, NoQuorum> {
        let group = self.group();
        let mut candidates = self.nearest_first(turn).into_iter();
        let send_next = |member: Member| {
            let request = MemberRequest::Chain {
                turn: turn.to_string(),
                max_chain_turns,
                max_bytes,
            };
            self.spawn_request(group.version, &member, request, DISK_TIMEOUT_MS)
        };
        let mut pending = FuturesUnordered::new();
        pending.extend(candidates.next().map(&send_next));
        let hedge = pause(HEDGE_DELAY_MS);
        tokio::pin!(hedge);
        let mut sent_to_all = max_bytes > MAX_RESPONSE_BYTES;
        let mut missing_at = 0;
        let needed_misses = group.misses_to_prove_absence();
        loop {
            tokio::select! {
                response = pending.next() => match response {
                    Some(Ok(Ok(MemberResponse::Chain(turns)))) if !turns.is_empty() => {
                        return Ok(ChainLookup::Turns(turns));
                    }
                    Some(Ok(Ok(MemberResponse::TurnTooLarge { frame_bytes }))) => {
                        return Ok(ChainLookup::TurnTooLarge { bytes: frame_bytes });
                    }
                    Some(Ok(Ok(MemberResponse::GroupSuperseded(newer)))) => {
                        self.adopt(newer);
                        return Err(NoQuorum);
                    }
                    Some(response) => {
                        missing_at += usize::from(matches!(response, Ok(Ok(MemberResponse::Chain(_)))));
                        if missing_at >= needed_misses && !group.members.is_empty() {
                            return Ok(ChainLookup::Missing);
                        }
                        // The request goes to one member at a time, since each that has
                        // the turn sends its full content.
                        pending.extend(candidates.next().map(&send_next));
                    }
                    None => return Err(NoQuorum),
                },
                () = &mut hedge, if !sent_to_all => {
                    sent_to_all = true;
                    pending.extend(candidates.by_ref().map(&send_next));
                }
            }
        }
    }

    /// Records that a conversation uses all turns of `chain`, which must then be kept for
    /// `retention_ms`. The members are told by [`Members::send_renewals`].
    pub fn record_use(&self, chain: &[TurnDigest], retention_ms: u64) {
        let group = self.group();
        let mut renewals = self.renewals.borrow_mut();
        renewals.record_use(now_ms(), &group, chain, retention_ms);
    }

    /// Tells the members which turns are still used. What a member does not confirm is sent to it
    /// again by the next call.
    pub async fn send_renewals(&self) {
        let group = self.group();
        let batches = self.renewals.borrow_mut().next_batches(&group);
        let sends = batches.iter().map(|(name, renewals)| {
            let member = group.members.iter().find(|member| member.name == *name);
            self.send_renewals_to(group.version, member, renewals)
        });
        futures::future::join_all(sends).await;
    }

    async fn send_renewals_to(
        &self,
        group_version: u64,
        member: Option<&Member>,
        renewals: &[TurnRenewal],
    ) {
        let Some(member) = member else { return };
        let request = MemberRequest::RenewTurns(renewals.to_vec());
        let sent = self.send_request(group_version, member, request, MEMORY_TIMEOUT_MS);
        if let Ok(MemberResponse::Done) = sent.await {
            self.renewals.borrow_mut().confirm(&member.name, renewals);
        }
    }

    /// Requests rate-limit tokens from one member. Returns the number granted for each entry of
    /// `quota_requests`, or `None` without a usable response.
    pub async fn take_quota(
        self: &Rc<Self>,
        member: &Member,
        configuration_version: u64,
        quota_requests: Vec<QuotaRequest>,
    ) -> Option<Vec<u32>> {
        let request = MemberRequest::TakeQuota {
            configuration_version,
            quota_requests,
        };
        let group_version = self.group().version;
        match self
            .send_request(group_version, member, request, MEMORY_TIMEOUT_MS)
            .await
        {
            Ok(MemberResponse::Quota(granted)) => Some(granted),
            Ok(MemberResponse::GroupSuperseded(newer)) => {
                self.adopt(newer);
                None
            }
            _ => None,
        }
    }

    /// Requests a token to send a request to one of `limits`, the best endpoint first, from one
    /// member. `None` without a usable response.
    pub async fn take_send(
        self: &Rc<Self>,
        member: &Member,
        limits: Vec<EndpointLimit>,
    ) -> Option<SendGrant> {
        let request = MemberRequest::TakeSend(limits);
        let group_version = self.group().version;
        match self
            .send_request(group_version, member, request, MEMORY_TIMEOUT_MS)
            .await
        {
            Ok(MemberResponse::Send(grant)) => Some(grant),
            Ok(MemberResponse::GroupSuperseded(newer)) => {
                self.adopt(newer);
                None
            }
            _ => None,
        }
    }

    /// Tells all members what an endpoint said about its limit, without waiting for responses.
    pub fn report_limit(self: &Rc<Self>, limit: EndpointLimit) {
        self.notify_all(&MemberRequest::ReportLimits(vec![limit]));
    }

    /// Reports a crash to all members. Returns the largest number of crashes that a member has
    /// counted for each request of the report, then for each family.
    pub async fn report_crash(self: &Rc<Self>, report: &CrashReport) -> Vec<u32> {
        let group = self.group();
        let request = MemberRequest::ReportCrash(report.clone());
        let responses = group.members.iter().map(|member| {
            self.spawn_request(group.version, member, request.clone(), MEMORY_TIMEOUT_MS)
        });
        let mut most = vec![0; report.requests.len() + report.families.len()];
        for response in futures::future::join_all(responses).await {
            if let Ok(Ok(MemberResponse::Crashes(crashes))) = response {
                for (most, crashes) in most.iter_mut().zip(crashes) {
                    *most = crashes.max(*most);
                }
            }
        }
        most
    }

    /// Tells all members that suspects have ended well.
    pub fn clear_suspects(self: &Rc<Self>, suspects: Vec<Fingerprint>) {
        self.notify_all(&MemberRequest::ClearSuspects(suspects));
    }

    /// Gives requests that were given up back to members that have forgotten them.
    pub fn restore_suspects(self: &Rc<Self>, suspects: Vec<Suspect>) {
        self.notify_all(&MemberRequest::RestoreSuspects(suspects));
    }

    /// Sends a request to all members, without waiting for responses.
    fn notify_all(self: &Rc<Self>, request: &MemberRequest) {
        let group = self.group();
        for member in &group.members {
            let request = request.clone();
            drop(self.spawn_request(group.version, member, request, MEMORY_TIMEOUT_MS));
        }
    }

    /// Reads the configuration from the nearest member. Its content is included if it differs from
    /// `known_revision`.
    pub async fn nearest_configuration(
        &self,
        known_revision: u64,
    ) -> Option<SharedConfiguration> {
        let member = self.nearest_first("configuration").into_iter().next()?;
        self.configuration_of(&member, known_revision).await
    }

    /// Reads the configuration from all members, one after another. Contains the responses
    /// received.
    pub async fn configuration(&self, known_revision: u64) -> Vec<SharedConfiguration> {
        let mut found = Vec::new();
        for member in self.nearest_first("configuration") {
            found.extend(self.configuration_of(&member, known_revision).await);
        }
        found
    }

    async fn configuration_of(
        &self,
        member: &Member,
        known_revision: u64,
    ) -> Option<SharedConfiguration> {
        let version = self.group().version;
        let request = MemberRequest::Configuration { known_revision };
        match self
            .send_request(version, member, request, MEMORY_TIMEOUT_MS)
            .await
        {
            Ok(MemberResponse::Configuration(found)) => Some(found),
            _ => None,
        }
    }

    /// Reports the presence of this instance to the first member of its availability zone. Returns
    /// how many entry instances of the zone the member knows and how many are present, or `None`
    /// if no member of the zone responds.
    pub async fn zone_presence(&self, instance: &str) -> Option<ZonePresence> {
        let member = self.nearest_first("presence").into_iter().next();
        let member =
            member.filter(|one| one.availability_zone == self.availability_zone)?;
        let request = MemberRequest::Presence {
            instance: instance.to_string(),
        };
        let version = self.group().version;
        match self
            .send_request(version, &member, request, MEMORY_TIMEOUT_MS)
            .await
        {
            Ok(MemberResponse::Presence(presence)) => Some(presence),
            _ => None,
        }
    }

    /// Reads the changes of endpoints since `known`, and the suspects if they are not
    /// `known_suspects`, from the nearest members, until one has heard of the changes. Contains
    /// the responses received.
    pub async fn endpoints(
        &self,
        known: EndpointCursor,
        known_suspects: SuspectsVersion,
    ) -> Vec<SharedEndpoints> {
        let mut found = Vec::new();
        let nearest = self
            .nearest_first("endpoints")
            .into_iter()
            .take(MAX_ENDPOINT_SOURCES);
        for member in nearest {
            let version = self.group().version;
            let response = self.send_request(
                version,
                &member,
                MemberRequest::Endpoints {
                    known,
                    known_suspects,
                },
                MEMORY_TIMEOUT_MS,
            );
            if let Ok(MemberResponse::Endpoints(endpoints)) = response.await {
                let has_changes = endpoints.changes.is_some();
                found.push(*endpoints);
                if has_changes {
                    break;
                }
            }
        }
        found
    }
}
