//! Background tasks of a storage instance: following configuration and endpoints, registering
//! in the metadata store, creating or joining the group, copying missing records, and handing
//! over records when the instance retires.

use std::cell::RefCell;
use std::rc::Rc;

use bytes::Bytes;
use jayreel_ledger::{
    CopyCursor, Group, LedgerRecord, Member, MemberRequest, MemberResponse, TurnDigest,
};

use crate::clock::{now_ms, pause};
use crate::config::Configuration;
use crate::directory::{MetadataError, RetirementState};
use crate::endpoint_view::{CHANGE_BATCH_MS, EndpointWatcher, MEMBER_WATCH_MS};
use crate::link::Link;
use crate::loop_monitor::monitor_loop;
use crate::membership::{
    COPY_DELAY_MS, GROUP_RECORD, MEMBER_RECORD_PREFIX, MemberMonitor, Proposal,
};
use crate::storage::node::{ConfigurationUpdate, Event};
use crate::storage::serve::StorageProcess;

/// Pause between two reads of the configuration, in milliseconds. The first member reads it
/// from the store, the other members from the first one, and entry instances from a member of
/// their zone. A change thus waits for up to three such pauses within the time in which it must
/// take effect.
const CONFIGURATION_INTERVAL_MS: u64 = 400;

/// Maximum age of a configuration from the first member, in milliseconds: the first member's
/// pause between two reads, this instance's pause, and a slow call of the store.
const MAX_SHARED_AGE_MS: u64 = 900;

/// Timeout for the configuration from the first member, in milliseconds. It responds from memory.
const CONFIGURATION_TIMEOUT_MS: u64 = 120;

/// Pause before retrying a failed call of the store, in milliseconds.
const FAILED_CALL_PAUSE_MS: u64 = 200;

/// Pause between two checks of the group, in milliseconds.
const GROUP_INTERVAL_MS: u64 = 500;

/// Time from the start until the first group may be created, in milliseconds. Instances that
/// start together register within this time, so that the group includes them.
const GROUP_CREATION_DELAY_MS: u64 = 1_800;

/// Timeout for a request to another storage instance, in milliseconds.
const REQUEST_TIMEOUT_MS: u64 = 400;

/// Timeout for copying one part of the records, in milliseconds. A part with turns may take longer
/// as long as it goes on.
const PART_TIMEOUT_MS: u64 = 2_000;

/// Number of times that a part of a copy is requested again from an instance that has no memory
/// for it at the moment.
const MAX_PART_RETRIES: usize = 50;

/// Number of turns in a request for a copy. The response contains fewer if they are large.
const MAX_COPIED_TURNS: usize = 256;

/// Pause between two attempts to copy missing records, in milliseconds.
const COPY_INTERVAL_MS: u64 = 100;

/// Pause between two removals of expired records, in milliseconds.
const EXPIRY_INTERVAL_MS: u64 = 5_000;

/// Starts all background tasks. They run until the process ends.
pub(crate) fn start(process: &Rc<StorageProcess>) {
    tokio::task::spawn_local(read_configuration(Rc::clone(process)));
    tokio::task::spawn_local(read_evacuations(Rc::clone(process)));
    tokio::task::spawn_local(follow_endpoints(Rc::clone(process)));
    tokio::task::spawn_local(copy_missing(Rc::clone(process)));
    tokio::task::spawn_local(maintain_group(Rc::clone(process)));
    tokio::task::spawn_local(monitor_loop());
    let ticking = Rc::clone(process);
    tokio::task::spawn_local(async move {
        loop {
            pause(EXPIRY_INTERVAL_MS).await;
            ticking.apply(Event::Tick);
        }
    });
}

/// Follows the endpoints in the store while the instance is a member. Entry instances request them
/// only from members, so other storage instances need not read them.
async fn follow_endpoints(process: Rc<StorageProcess>) {
    let mut watcher = EndpointWatcher::after_gap();
    loop {
        if !process.node.borrow().is_member() {
            watcher = EndpointWatcher::after_gap();
            pause(GROUP_INTERVAL_MS).await;
            continue;
        }
        match watcher.read(&*process.store, MEMBER_WATCH_MS).await {
            Ok(read) => {
                process.apply(Event::EndpointsRead(read));
                pause(CHANGE_BATCH_MS).await;
            }
            Err(_) => pause(FAILED_CALL_PAUSE_MS).await,
        }
    }
}

/// Reads the configuration from the first member of the group. The first member itself, and
/// members that get no fresh one from it, read it from the store. Usually all members together
/// thus call the store only as often as one.
async fn read_configuration(process: Rc<StorageProcess>) {
    loop {
        if !process.node.borrow().is_member() {
            pause(GROUP_INTERVAL_MS).await;
            continue;
        }
        if read_configuration_from_first_member(&process).await {
            pause(CONFIGURATION_INTERVAL_MS).await;
            continue;
        }
        let read_began_ms = now_ms();
        let known = process.node.borrow().configuration_revision();
        match process.store.configuration(known).await {
            Ok(read) => {
                process.apply(configuration_event(
                    read_began_ms,
                    read.revision,
                    read.content,
                ));
                pause(CONFIGURATION_INTERVAL_MS).await;
            }
            Err(error) => {
                log::debug!("event=configuration_unread reason={error:?}");
                pause(FAILED_CALL_PAUSE_MS).await;
            }
        }
    }
}

/// Reads the evacuated zones from the store at the first member, and at members that got no recent
/// ones from the first member together with its configuration. Ends at once if the operator does
/// not evacuate zones.
async fn read_evacuations(process: Rc<StorageProcess>) {
    if process.settings.bounds.evacuation_ms.is_none() {
        return;
    }
    loop {
        let read_began_ms = now_ms();
        if !is_evacuation_read_due(&process, read_began_ms) {
            pause(CONFIGURATION_INTERVAL_MS).await;
            continue;
        }
        match process.store.evacuations().await {
            Ok(evacuations) => {
                process.apply(Event::EvacuationsRead {
                    read_began_ms,
                    evacuations,
                });
                pause(CONFIGURATION_INTERVAL_MS).await;
            }
            Err(error) => {
                log::debug!("event=evacuations_unread reason={error:?}");
                pause(FAILED_CALL_PAUSE_MS).await;
            }
        }
    }
}

fn is_evacuation_read_due(process: &StorageProcess, now_ms: u64) -> bool {
    let node = process.node.borrow();
    let first = node.group().members.first();
    let is_first = first.is_some_and(|first| first.name == process.settings.name);
    let age_ms = node.evacuations().age_ms(now_ms);
    let is_recent = age_ms.is_some_and(|age_ms| age_ms <= MAX_SHARED_AGE_MS);
    node.is_member() && (is_first || !is_recent)
}

/// Reads the configuration from the first member. Returns false if this instance is the first
/// member, or if that member does not respond, has no fresh configuration, or sends one that
/// cannot be decoded.
async fn read_configuration_from_first_member(process: &Rc<StorageProcess>) -> bool {
    let requested_ms = now_ms();
    let (group, known_revision) = {
        let node = process.node.borrow();
        (node.group().clone(), node.configuration_revision())
    };
    let first = group.members.first();
    let Some(first) = first.filter(|first| first.name != process.settings.name) else {
        return false;
    };
    let request = MemberRequest::Configuration { known_revision };
    let link = process.links.to(first);
    let response = link
        .send_request(group.version, request, CONFIGURATION_TIMEOUT_MS)
        .await;
    let Ok(MemberResponse::Configuration(shared)) = response else {
        return false;
    };
    if shared.age_ms > MAX_SHARED_AGE_MS {
        return false;
    }
    if let Some(evacuations) = shared.evacuations {
        process.apply(Event::EvacuationsRead {
            read_began_ms: requested_ms.saturating_sub(evacuations.age_ms),
            evacuations: evacuations.into(),
        });
    }
    let content = match shared.content {
        None => None,
        Some(stored) => match process.store.decode_configuration(&stored) {
            Ok(configuration) => Some((stored, configuration)),
            Err(error) => {
                log::warn!("event=configuration_unreadable reason={error:?}");
                return false;
            }
        },
    };
    let read_began_ms = requested_ms.saturating_sub(shared.age_ms);
    process.apply(configuration_event(read_began_ms, shared.revision, content));
    true
}

/// Builds the event for a configuration that was the newest when its read began. `content` is
/// `None` if the revision was known already.
fn configuration_event(
    read_began_ms: u64,
    revision: u64,
    content: Option<(Bytes, Configuration)>,
) -> Event {
    let content = content.map(|(stored, configuration)| {
        let customers = configuration.customers.iter();
        let limits = customers.map(|(name, customer)| (name.clone(), customer.limit));
        ConfigurationUpdate {
            stored,
            version: configuration.version,
            limits: limits.collect(),
            cold_rates: configuration.cold_rates(),
        }
    });
    Event::ConfigurationRead {
        read_began_ms,
        revision,
        content,
    }
}

/// Copies records from other members while this one lacks some.
///
/// Waits until the group has been read from the store. A group received from another instance
/// may be an older version, in which this instance had promised to vote no more before it lost
/// its disk.
async fn copy_missing(process: Rc<StorageProcess>) {
    pause(COPY_DELAY_MS).await;
    loop {
        if !process.has_read_group.get() {
            pause(COPY_INTERVAL_MS).await;
            continue;
        }
        let sources = process.node.borrow().copy_sources();
        for source in sources {
            copy_from(&process, &source).await;
        }
        pause(COPY_INTERVAL_MS).await;
    }
}

/// Copies all records of another instance. Stops early if the instance does not
/// respond, does not hold all records itself, or the group changes meanwhile; the caller then
/// starts over.
async fn copy_from(process: &Rc<StorageProcess>, source: &Member) {
    let link = process.copy_links.to(source);
    let group = process.node.borrow().group().clone();
    let version = group.version;
    let adopted = link
        .send_request(
            version,
            MemberRequest::AdoptGroup(group),
            REQUEST_TIMEOUT_MS,
        )
        .await;
    if adopted.is_err() {
        return;
    }
    let copy = Copy {
        process,
        source,
        link: &link,
        version,
    };
    if copy.run().await.is_some() {
        log::info!(
            "event=copied source={} records={}",
            source.name,
            process.copied_records.get()
        );
    }
}

/// A copy of all records of another instance. It reads the charges and the digests of all turns,
/// and those turns that this instance lacks. A copy that breaks off is therefore resumed by
/// another one, and copies from several instances share the work.
///
/// Each step waits until the records of the one before are on disk, which bounds the memory.
struct Copy<'a> {
    process: &'a Rc<StorageProcess>,
    source: &'a Member,
    link: &'a Link,
    /// Version of the group in which the source must hold all records.
    version: u64,
}

impl Copy<'_> {
    /// `None` if the copy broke off.
    async fn run(&self) -> Option<()> {
        let mut cursor = Some(CopyCursor::START);
        let mut first_start = None;
        let mut parts = 0;
        while let Some(next) = cursor {
            let request = MemberRequest::CopyPart { cursor: next };
            let MemberResponse::Part {
                start,
                charges,
                turns,
                next,
                is_complete: true,
            } = self.send(request).await?
            else {
                return None;
            };
            if *first_start.get_or_insert(start) != start {
                return None;
            }
            self.store(charges, false).await;
            let missing = self.process.node.borrow().missing_turns(turns);
            parts += 1;
            log::info!(
                "event=copying source={} part={parts} missing_turns={}",
                self.source.name,
                missing.len()
            );
            self.copy_turns(&missing).await?;
            cursor = next;
        }
        self.store(Vec::new(), true).await;
        Some(())
    }

    /// Copies these turns. Those that the source no longer holds have expired.
    async fn copy_turns(&self, turns: &[TurnDigest]) -> Option<()> {
        let mut left = turns;
        while !left.is_empty() {
            let requested = &left[..left.len().min(MAX_COPIED_TURNS)];
            let request = MemberRequest::CopyTurns(requested.to_vec());
            let MemberResponse::Turns { turns, covered } =
                self.send_when_available(request).await?
            else {
                return None;
            };
            let covered = usize::try_from(covered).ok()?;
            left = left.get(covered.max(1)..).unwrap_or_default();
            let records = turns.into_iter().map(LedgerRecord::Turn).collect();
            self.store(records, false).await;
        }
        Some(())
    }

    /// Like `send`, but repeats the request while the source has no memory for the response.
    async fn send_when_available(
        &self,
        request: MemberRequest,
    ) -> Option<MemberResponse> {
        for _ in 0..MAX_PART_RETRIES {
            match self.send(request.clone()).await? {
                MemberResponse::Unavailable => pause(COPY_INTERVAL_MS).await,
                response => return Some(response),
            }
        }
        None
    }

    /// Sends a request. `None` if there was no usable response, or the group has changed.
    async fn send(&self, request: MemberRequest) -> Option<MemberResponse> {
        let response = self
            .link
            .send_request(self.version, request, PART_TIMEOUT_MS)
            .await;
        if let Ok(MemberResponse::GroupSuperseded(newer)) = response {
            self.process.apply(Event::GroupReceived(newer));
            return None;
        }
        let is_current = self.process.node.borrow().group().version == self.version;
        response.ok().filter(|_| is_current)
    }

    /// Stores copied records and waits until they are on disk. `is_last` says that there are no
    /// more.
    async fn store(&self, records: Vec<LedgerRecord>, is_last: bool) {
        let copied = &self.process.copied_records;
        copied.set(copied.get() + records.len() as u64);
        self.process.apply(Event::RecordsCopied {
            source: self.source.name.clone(),
            records,
            is_last,
        });
        self.process.wait_synced().await;
    }
}

/// Registers the instance, then checks the group periodically: creates, joins or leaves it as
/// needed.
async fn maintain_group(process: Rc<StorageProcess>) {
    let creation_ms = now_ms() + GROUP_CREATION_DELAY_MS;
    tokio::task::spawn_local(register(Rc::clone(&process)));
    let monitor = RefCell::new(MemberMonitor::default());
    let mut reported = None;
    loop {
        if let Err(error) =
            check_group(&process, creation_ms, &monitor, &mut reported).await
        {
            log::debug!("event=group_check_failed reason={error:?}");
        }
        pause(GROUP_INTERVAL_MS).await;
    }
}

/// Writes this instance's record as a candidate for the first group. Retries until it succeeds.
async fn register(process: Rc<StorageProcess>) {
    let own_member = process.as_member();
    let name = format!("{MEMBER_RECORD_PREFIX}{}", own_member.name);
    loop {
        let content = encode(&own_member);
        match process
            .store
            .write_internal_record(name.clone(), content, None)
            .await
        {
            Ok(()) => return,
            Err(error) => {
                log::info!("event=registration_failed reason={error:?}");
                pause(FAILED_CALL_PAUSE_MS).await;
            }
        }
    }
}

/// Encodes the content of a record for the metadata store.
fn encode<T: serde::Serialize>(value: &T) -> Bytes {
    match postcard::to_stdvec(value) {
        Ok(content) => Bytes::from(content),
        Err(error) => {
            log::error!("event=record_unwritable reason={error:?}");
            Bytes::new()
        }
    }
}

/// Reads the group and proposes a change of it if this instance should join or leave.
/// `creation_ms` is when the first group may be created; `reported` is the state of this
/// instance's retirement that was last reported to the store.
async fn check_group(
    process: &Rc<StorageProcess>,
    creation_ms: u64,
    monitor: &RefCell<MemberMonitor>,
    reported: &mut Option<RetirementState>,
) -> Result<(), MetadataError> {
    // The first read after a start must return the newest record: an instance that lost its
    // disk may have promised to vote in no older version. Later a stale read does no harm,
    // because an older group is ignored and a change that is based on it fails.
    let allow_stale = process.has_read_group.get() || {
        let node = process.node.borrow();
        node.has_voted() && node.has_recorded_votes()
    };
    let records = process
        .store
        .internal_records(GROUP_RECORD, allow_stale)
        .await?;
    let record = records
        .into_iter()
        .find(|record| record.name == GROUP_RECORD);
    let Some(record) = record else {
        return match now_ms() < creation_ms {
            true => Ok(()),
            false => create_group(process).await,
        };
    };
    let group = decode::<Group>(&record.content)?;
    if !group.is_valid() {
        return Err(MetadataError::Unreadable("group out of range".to_string()));
    }
    process.apply(match allow_stale {
        true => Event::GroupReceived(group.clone()),
        false => Event::NewestGroupRead(group.clone()),
    });
    process.has_read_group.set(true);
    let retiring = process.store.retirements().await?;
    let retiring: Vec<String> = retiring
        .into_iter()
        .map(|retirement| retirement.instance)
        .collect();
    let own_member = process.as_member();
    let is_spare = !group.contains(&own_member.name);
    let is_retiring = retiring.contains(&own_member.name);
    if !is_spare && !is_retiring {
        return Ok(());
    }
    let voting = count_voting(process, &group, monitor).await;
    let proposal =
        monitor
            .borrow_mut()
            .propose(now_ms(), &group, &own_member, &retiring, voting);
    match proposal {
        Some(proposal) => {
            propose_group(process, &group, record.revision, proposal).await?
        }
        None if is_retiring => {
            retire(process, &group, record.revision, voting, reported).await?
        }
        None => {}
    }
    Ok(())
}

/// Decodes the content of a record from the metadata store.
fn decode<T: serde::de::DeserializeOwned>(content: &[u8]) -> Result<T, MetadataError> {
    postcard::from_bytes(content)
        .map_err(|error| MetadataError::Unreadable(format!("{error:?}")))
}

/// Creates the first group from the instances that have registered. Does nothing if another
/// instance was faster.
async fn create_group(process: &Rc<StorageProcess>) -> Result<(), MetadataError> {
    let records = process
        .store
        .internal_records(MEMBER_RECORD_PREFIX, false)
        .await?;
    let candidates: Vec<Member> = records
        .iter()
        .filter_map(|record| match decode::<Member>(&record.content) {
            Ok(member) => Some(member),
            Err(error) => {
                let name = &record.name;
                log::warn!("event=record_unreadable record={name} reason={error:?}");
                None
            }
        })
        .collect();
    let group = Group::first(&candidates, process.settings.tolerated_losses);
    let written = write_group(process, &group, 0).await;
    match written {
        Ok(()) => {
            log::info!("event=group_founded members={}", group.members.len());
            process.apply(Event::GroupReceived(group));
            Ok(())
        }
        Err(MetadataError::Conflict) => Ok(()),
        Err(error) => Err(error),
    }
}

/// Writes the group's record if its store revision is still `expected_revision`, 0 for no record.
async fn write_group(
    process: &Rc<StorageProcess>,
    group: &Group,
    expected_revision: u64,
) -> Result<(), MetadataError> {
    let name = GROUP_RECORD.to_string();
    let content = encode(group);
    let store = &process.store;
    store
        .write_internal_record(name, content, Some(expected_revision))
        .await
}

/// Requests the status of all members, and records in `monitor` which of them respond. Returns how
/// many vote.
async fn count_voting(
    process: &StorageProcess,
    group: &Group,
    monitor: &RefCell<MemberMonitor>,
) -> usize {
    let own_name = &process.settings.name;
    let others = group
        .members
        .iter()
        .filter(|member| member.name != *own_name);
    let responses = futures::future::join_all(others.map(|member| async move {
        let link = process.links.to(member);
        let response = link
            .send_request(group.version, MemberRequest::Status, REQUEST_TIMEOUT_MS)
            .await;
        (member.name.clone(), response)
    }))
    .await;
    let mut voting = usize::from(process.node.borrow().is_voting());
    for (name, response) in responses {
        monitor
            .borrow_mut()
            .record_status(now_ms(), &name, response.is_ok());
        if let Ok(MemberResponse::Status {
            is_voting: true, ..
        }) = response
        {
            voting += 1;
        }
    }
    voting
}

/// Changes the group as proposed, if the version at `revision` is still the newest.
async fn propose_group(
    process: &Rc<StorageProcess>,
    group: &Group,
    revision: u64,
    proposal: Proposal,
) -> Result<(), MetadataError> {
    let own_member = process.as_member();
    let own_name = &process.settings.name;
    let next = match &proposal {
        Proposal::Join { leaving } => group.replace(leaving.as_deref(), Some(own_member)),
        Proposal::Leave => group.replace(Some(own_name), None),
    };
    log::info!(
        "event=group_proposed version={} change={proposal:?}",
        next.version
    );
    change_group(process, next, revision).await
}

/// Writes the next version of the group, if the one at `revision` is still the newest, and
/// announces it to the members of both versions. Instances that miss the announcement read the
/// record later.
async fn change_group(
    process: &Rc<StorageProcess>,
    next: Group,
    revision: u64,
) -> Result<(), MetadataError> {
    let own_name = &process.settings.name;
    match write_group(process, &next, revision).await {
        Ok(()) => {}
        Err(MetadataError::Conflict) => return Ok(()),
        Err(error) => return Err(error),
    }
    process.apply(Event::GroupReceived(next.clone()));
    let recipients = next.members.iter().chain(&next.previous);
    let recipients = recipients.filter(|member| member.name != *own_name);
    futures::future::join_all(recipients.map(|member| {
        let (link, next) = (process.links.to(member), next.clone());
        async move {
            link.send_request(
                next.version,
                MemberRequest::AdoptGroup(next),
                REQUEST_TIMEOUT_MS,
            )
            .await
        }
    }))
    .await;
    Ok(())
}

/// Advances the retirement of this instance. Reports that it is in progress, and that it is
/// completed once the instance has left the group, all members vote and the group is settled.
/// `revision` is that of `group`, and `reported` the state that was last reported to the store.
async fn retire(
    process: &Rc<StorageProcess>,
    group: &Group,
    revision: u64,
    voting: usize,
    reported: &mut Option<RetirementState>,
) -> Result<(), MetadataError> {
    let name = process.settings.name.clone();
    let store = &process.store;
    if reported.is_none() {
        store
            .report_retirement(name.clone(), RetirementState::InProgress)
            .await?;
        *reported = Some(RetirementState::InProgress);
    }
    let is_completed = *reported == Some(RetirementState::Completed);
    if group.contains(&name) || is_completed || voting < group.members.len() {
        return Ok(());
    }
    if !group.is_settled() {
        return match hand_over(process, group).await {
            true => change_group(process, group.settle(), revision).await,
            false => Ok(()),
        };
    }
    store
        .report_retirement(name, RetirementState::Completed)
        .await?;
    *reported = Some(RetirementState::Completed);
    log::info!("event=retired group_version={}", group.version);
    Ok(())
}

/// Sends all shared records to every member, and returns whether all of them stored these.
///
/// Needed only if the group became smaller, because some records may have a copy only here. A
/// member that took the place of this one has copied all records already.
async fn hand_over(process: &StorageProcess, group: &Group) -> bool {
    let mut cursor = Some(CopyCursor::START);
    while let Some(next) = cursor {
        let part = process.node.borrow().copy_part(&next);
        if !send_records(process, group, part.charges).await {
            return false;
        }
        let mut left = part.turns.as_slice();
        while !left.is_empty() {
            let (locations, covered) = process.next_locations(left);
            left = &left[covered..];
            let Some(turns) = process.read_turns(locations).await else {
                return false;
            };
            let records = turns.into_iter().map(LedgerRecord::Turn).collect();
            if !send_records(process, group, records).await {
                return false;
            }
        }
        cursor = part.next;
    }
    true
}

/// Sends records to every member, and returns whether all of them stored these.
async fn send_records(
    process: &StorageProcess,
    group: &Group,
    records: Vec<LedgerRecord>,
) -> bool {
    if records.is_empty() {
        return true;
    }
    let sends = group.members.iter().map(|member| {
        let (link, records) = (process.links.to(member), records.clone());
        async move {
            let request = MemberRequest::StoreRecords(records);
            link.send_request(group.version, request, PART_TIMEOUT_MS)
                .await
        }
    });
    let responses = futures::future::join_all(sends).await;
    responses
        .iter()
        .all(|response| matches!(response, Ok(MemberResponse::Done)))
}
