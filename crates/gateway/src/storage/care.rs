//! What an instance with a disk does by itself: reads the configuration, registers, founds
//! or joins the group, copies what it lacks, hands over what it holds when it is to go.

use std::cell::RefCell;
use std::rc::Rc;

use bytes::Bytes;
use jayreel_ledger::{Group, Member, MemberRequest, MemberResponse};

use crate::clock::{now_ms, pause};
use crate::config::Configuration;
use crate::directory::{MetadataError, RetirementState};
use crate::endpoint_view::{BETWEEN_CHANGES_MS, EndpointFollower, SHARED_WATCH_MS};
use crate::membership::{COPY_DELAY_MS, GROUP_RECORD, MEMBER_RECORDS, Proposal, Watcher};
use crate::storage::node::{ConfigurationFacts, Event};
use crate::storage::serve::Storage;

/// Pause between two reads of the configuration, in milliseconds. The first member reads it from
/// the store, the others from that one, and entry instances from a member of their zone, so that
/// a change goes through three of them within the time in which it must be in force.
const CONFIGURATION_INTERVAL_MS: u64 = 400;

/// Age up to which the first member's configuration is taken, in milliseconds: its pause between
/// two reads, the own, and a call of the store that takes long.
const MOST_SHARED_AGE_MS: u64 = 900;

/// Time for the first member's answer, in milliseconds. It needs no disk.
const CONFIGURATION_TIMEOUT_MS: u64 = 120;

/// Pause after a failed call of the store, in milliseconds.
const FAILED_CALL_PAUSE_MS: u64 = 200;

/// Pause between two looks at the group, in milliseconds.
const GROUP_INTERVAL_MS: u64 = 500;

/// Instances that start together register within this time, in milliseconds; then the group
/// is founded.
const FOUNDING_DELAY_MS: u64 = 1_800;

/// Time for the answer of another instance, in milliseconds.
const ASK_TIMEOUT_MS: u64 = 400;

/// Time for copying one part, in milliseconds.
const PART_TIMEOUT_MS: u64 = 2_000;

/// Pause between two rounds of copying, in milliseconds.
const COPY_INTERVAL_MS: u64 = 100;

/// Pause between two rounds of forgetting old facts, in milliseconds.
const EXPIRY_INTERVAL_MS: u64 = 5_000;

/// Starts all loops.
pub(crate) fn start(storage: &Rc<Storage>) {
    tokio::task::spawn_local(read_configuration(Rc::clone(storage)));
    tokio::task::spawn_local(follow_endpoints(Rc::clone(storage)));
    tokio::task::spawn_local(copy_missing(Rc::clone(storage)));
    tokio::task::spawn_local(tend_group(Rc::clone(storage)));
    let ticking = Rc::clone(storage);
    tokio::task::spawn_local(async move {
        loop {
            pause(EXPIRY_INTERVAL_MS).await;
            ticking.apply(Event::Tick);
        }
    });
}

/// Entry instances ask members for what these read from the store, so spare instances do not
/// read it.
async fn follow_endpoints(storage: Rc<Storage>) {
    let mut follower = EndpointFollower::after_gap();
    loop {
        if !storage.node.borrow().is_member() {
            follower = EndpointFollower::after_gap();
            pause(GROUP_INTERVAL_MS).await;
            continue;
        }
        match follower.read(&*storage.store, SHARED_WATCH_MS).await {
            Ok(read) => {
                storage.apply(Event::EndpointsRead(read));
                pause(BETWEEN_CHANGES_MS).await;
            }
            Err(_) => pause(FAILED_CALL_PAUSE_MS).await,
        }
    }
}

/// Reads the configuration from the first member of the group, and from the store as that member
/// or while it has no fresh one. All members together then call the store as often as one.
async fn read_configuration(storage: Rc<Storage>) {
    loop {
        if !storage.node.borrow().is_member() {
            pause(GROUP_INTERVAL_MS).await;
            continue;
        }
        if take_first_member_configuration(&storage).await {
            pause(CONFIGURATION_INTERVAL_MS).await;
            continue;
        }
        let read_began_ms = now_ms();
        let known = storage.node.borrow().configuration_revision();
        match storage.store.configuration(known).await {
            Ok(read) => {
                storage.apply(configured(read_began_ms, read.revision, read.content));
                pause(CONFIGURATION_INTERVAL_MS).await;
            }
            Err(error) => {
                log::debug!("event=configuration_unread reason={error:?}");
                pause(FAILED_CALL_PAUSE_MS).await;
            }
        }
    }
}

/// Takes the configuration that the first member read. Returns false if this instance is the
/// first member, or that one has none that is fresh.
async fn take_first_member_configuration(storage: &Rc<Storage>) -> bool {
    let asked_ms = now_ms();
    let (group, known_revision) = {
        let node = storage.node.borrow();
        (node.group().clone(), node.configuration_revision())
    };
    let first = group.members.first();
    let Some(first) = first.filter(|first| first.name != storage.settings.name) else {
        return false;
    };
    let ask = MemberRequest::Configuration { known_revision };
    let link = storage.links.to(first);
    let answer = link.ask(group.version, ask, CONFIGURATION_TIMEOUT_MS).await;
    let Ok(MemberResponse::Configuration(shared)) = answer else {
        return false;
    };
    if shared.age_ms > MOST_SHARED_AGE_MS {
        return false;
    }
    let content = match shared.content {
        None => None,
        Some(stored) => match storage.store.decode_configuration(&stored) {
            Ok(configuration) => Some((stored, configuration)),
            Err(error) => {
                log::warn!("event=configuration_unreadable reason={error:?}");
                return false;
            }
        },
    };
    let read_began_ms = asked_ms.saturating_sub(shared.age_ms);
    storage.apply(configured(read_began_ms, shared.revision, content));
    true
}

/// The event of a configuration that was the newest when its read began.
fn configured(
    read_began_ms: u64,
    revision: u64,
    content: Option<(Bytes, Configuration)>,
) -> Event {
    let content = content.map(|(stored, configuration)| {
        let customers = configuration.customers.iter();
        let limits = customers.map(|(name, customer)| (name.clone(), customer.limit));
        ConfigurationFacts {
            stored,
            version: configuration.version,
            limits: limits.collect(),
        }
    });
    Event::Configured {
        read_began_ms,
        revision,
        content,
    }
}

/// Copies the facts of other members while this one lacks some.
///
/// The newest group must have been read from the store: another instance may have told of an
/// older one, whose end this one promised to others before its disk was lost.
async fn copy_missing(storage: Rc<Storage>) {
    pause(COPY_DELAY_MS).await;
    loop {
        if !storage.has_read_group.get() {
            pause(COPY_INTERVAL_MS).await;
            continue;
        }
        let sources = storage.node.borrow().copy_sources();
        for source in sources {
            copy_from(&storage, &source).await;
        }
        pause(COPY_INTERVAL_MS).await;
    }
}

async fn copy_from(storage: &Storage, source: &Member) {
    let link = storage.links.to(source);
    let group = storage.node.borrow().group().clone();
    let version = group.version;
    let adopted = link
        .ask(version, MemberRequest::AdoptGroup(group), ASK_TIMEOUT_MS)
        .await;
    if adopted.is_err() {
        return;
    }
    let mut cursor = Some(0);
    while let Some(next) = cursor {
        let ask = MemberRequest::CopyPart { cursor: next };
        let answer = link.ask(version, ask, PART_TIMEOUT_MS).await;
        if let Ok(MemberResponse::GroupSuperseded(newer)) = answer {
            storage.apply(Event::GroupLearned(newer));
            return;
        }
        let Ok(MemberResponse::Part {
            records: facts,
            next,
            is_complete: true,
        }) = answer
        else {
            return;
        };
        if storage.node.borrow().group().version != version {
            return;
        }
        storage.apply(Event::Copied {
            source: source.name.clone(),
            facts,
            is_last: next.is_none(),
        });
        cursor = next;
    }
    log::info!("event=copied source={}", source.name);
}

async fn tend_group(storage: Rc<Storage>) {
    let founding_ms = now_ms() + FOUNDING_DELAY_MS;
    tokio::task::spawn_local(register(Rc::clone(&storage)));
    let watcher = RefCell::new(Watcher::default());
    let mut retired = None;
    loop {
        if let Err(error) =
            look_after(&storage, founding_ms, &watcher, &mut retired).await
        {
            log::debug!("event=group_untended reason={error:?}");
        }
        pause(GROUP_INTERVAL_MS).await;
    }
}

async fn register(storage: Rc<Storage>) {
    let me = storage.me();
    let name = format!("{MEMBER_RECORDS}{}", me.name);
    loop {
        let content = encode(&me);
        match storage
            .store
            .write_own_record(name.clone(), content, None)
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

fn encode<T: serde::Serialize>(value: &T) -> Bytes {
    match postcard::to_stdvec(value) {
        Ok(content) => Bytes::from(content),
        Err(error) => {
            log::error!("event=record_unwritable reason={error:?}");
            Bytes::new()
        }
    }
}

async fn look_after(
    storage: &Rc<Storage>,
    founding_ms: u64,
    watcher: &RefCell<Watcher>,
    retired: &mut Option<RetirementState>,
) -> Result<(), MetadataError> {
    // What this instance promised before its disk was lost is in a record that was the newest
    // after its start. From then on an older one does no harm: it is ignored, and a change that
    // rests on it fails.
    let is_stale_allowed =
        storage.node.borrow().has_voted() || storage.has_read_group.get();
    let records = storage
        .store
        .own_records(GROUP_RECORD, is_stale_allowed)
        .await?;
    let record = records
        .into_iter()
        .find(|record| record.name == GROUP_RECORD);
    let Some(record) = record else {
        return match now_ms() < founding_ms {
            true => Ok(()),
            false => found(storage).await,
        };
    };
    let group = decode::<Group>(&record.content)?;
    storage.apply(Event::GroupLearned(group.clone()));
    storage.has_read_group.set(true);
    let retiring = storage.store.retirements().await?;
    let retiring: Vec<String> = retiring.into_iter().map(|one| one.instance).collect();
    let me = storage.me();
    let is_spare = !group.contains(&me.name);
    let is_retiring = retiring.contains(&me.name);
    if !is_spare && !is_retiring {
        return Ok(());
    }
    let voting = ask_status(storage, &group, watcher).await;
    let proposal = watcher
        .borrow_mut()
        .propose(now_ms(), &group, &me, &retiring, voting);
    match proposal {
        Some(proposal) => propose(storage, &group, record.revision, proposal).await?,
        None if is_retiring => retire(storage, &group, voting, retired).await?,
        None => {}
    }
    Ok(())
}

fn decode<T: serde::de::DeserializeOwned>(content: &[u8]) -> Result<T, MetadataError> {
    postcard::from_bytes(content)
        .map_err(|error| MetadataError::Unreadable(format!("{error:?}")))
}

/// Founds the group of the instances that have registered.
async fn found(storage: &Storage) -> Result<(), MetadataError> {
    let records = storage.store.own_records(MEMBER_RECORDS, false).await?;
    let candidates: Vec<Member> = records
        .iter()
        .map(|record| decode(&record.content))
        .collect::<Result<_, _>>()?;
    let group = Group::first(&candidates, storage.settings.tolerated_losses);
    let written = write_group(storage, &group, 0).await;
    match written {
        Ok(()) => {
            log::info!("event=group_founded members={}", group.members.len());
            storage.apply(Event::GroupLearned(group));
            Ok(())
        }
        Err(MetadataError::Conflict) => Ok(()),
        Err(error) => Err(error),
    }
}

async fn write_group(
    storage: &Storage,
    group: &Group,
    expected_revision: u64,
) -> Result<(), MetadataError> {
    let name = GROUP_RECORD.to_string();
    let content = encode(group);
    let store = &storage.store;
    store
        .write_own_record(name, content, Some(expected_revision))
        .await
}

/// Asks all members for their state. Returns how many vote in this version.
async fn ask_status(
    storage: &Storage,
    group: &Group,
    watcher: &RefCell<Watcher>,
) -> usize {
    let me = &storage.settings.name;
    let others = group.members.iter().filter(|member| member.name != *me);
    let answers = futures::future::join_all(others.map(|member| async move {
        let link = storage.links.to(member);
        let answer = link
            .ask(group.version, MemberRequest::Status, ASK_TIMEOUT_MS)
            .await;
        (member.name.clone(), answer)
    }))
    .await;
    let mut voting = usize::from(storage.node.borrow().is_voting());
    for (name, answer) in answers {
        watcher.borrow_mut().note(now_ms(), &name, answer.is_ok());
        if let Ok(MemberResponse::Status {
            is_voting: true, ..
        }) = answer
        {
            voting += 1;
        }
    }
    voting
}

async fn propose(
    storage: &Storage,
    group: &Group,
    revision: u64,
    proposal: Proposal,
) -> Result<(), MetadataError> {
    let me = storage.me();
    let next = match &proposal {
        Proposal::Join { leaving } => group.replace(leaving.as_deref(), Some(me)),
        Proposal::Leave => group.replace(Some(&me.name), None),
    };
    log::info!(
        "event=group_proposed version={} change={proposal:?}",
        next.version
    );
    match write_group(storage, &next, revision).await {
        Ok(()) => {}
        Err(MetadataError::Conflict) => return Ok(()),
        Err(error) => return Err(error),
    }
    storage.apply(Event::GroupLearned(next.clone()));
    let told = next.members.iter().chain(&next.previous);
    let me = &storage.settings.name;
    futures::future::join_all(told.filter(|member| member.name != *me).map(|member| {
        let (link, next) = (storage.links.to(member), next.clone());
        async move {
            link.ask(
                next.version,
                MemberRequest::AdoptGroup(next),
                ASK_TIMEOUT_MS,
            )
            .await
        }
    }))
    .await;
    Ok(())
}

/// Goes on with a retirement: reports it, and reports its end once the group holds all.
async fn retire(
    storage: &Rc<Storage>,
    group: &Group,
    voting: usize,
    retired: &mut Option<RetirementState>,
) -> Result<(), MetadataError> {
    let name = storage.settings.name.clone();
    let store = &storage.store;
    if retired.is_none() {
        store
            .report_retirement(name.clone(), RetirementState::InProgress)
            .await?;
        *retired = Some(RetirementState::InProgress);
    }
    let is_done = *retired == Some(RetirementState::Completed);
    if group.contains(&name) || is_done || voting < group.members.len() {
        return Ok(());
    }
    if !hand_over(storage, group).await {
        return Ok(());
    }
    store
        .report_retirement(name, RetirementState::Completed)
        .await?;
    *retired = Some(RetirementState::Completed);
    log::info!("event=retired group_version={}", group.version);
    Ok(())
}

/// Sends all facts to the members, if the group became smaller: some had a copy only here.
/// A member that joined in the place of this one has copied them already.
async fn hand_over(storage: &Storage, group: &Group) -> bool {
    if group.members.len() >= group.previous.len() {
        return true;
    }
    let mut cursor = Some(0);
    while let Some(next) = cursor {
        let (facts, following) = storage.node.borrow().part(next);
        let sends = group.members.iter().map(|member| {
            let (link, facts) = (storage.links.to(member), facts.clone());
            async move {
                let ask = MemberRequest::StoreRecords(facts);
                link.ask(group.version, ask, PART_TIMEOUT_MS).await
            }
        });
        let answers = futures::future::join_all(sends).await;
        if !answers
            .iter()
            .all(|answer| matches!(answer, Ok(MemberResponse::Done)))
        {
            return false;
        }
        cursor = following;
    }
    true
}
