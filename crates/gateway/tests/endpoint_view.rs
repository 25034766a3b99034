//! Endpoints as instances tell them to each other.

use std::collections::BTreeSet;

use jayreel_gateway::{
    EndpointChange, EndpointChanges, EndpointEntry, EndpointRead, EndpointSnapshot,
    EndpointView,
};
use jayreel_ledger::EndpointCursor;
use proptest::prelude::*;

fn entry(id: &str) -> EndpointEntry {
    EndpointEntry {
        id: id.to_string(),
        service: "engines".to_string(),
        address: "127.0.0.1:1".parse().expect("an address"),
        availability_zone: "a".to_string(),
        slots: 12,
        is_draining: false,
        started_unix_ms: Some(1),
    }
}

fn present(id: &str) -> EndpointChange {
    EndpointChange::Present(entry(id))
}

fn gone(id: &str) -> EndpointChange {
    EndpointChange::Gone(id.to_string())
}

fn listed(revision: u64, ids: &[&str], was_connected: bool) -> EndpointRead {
    EndpointRead::Listed {
        snapshot: EndpointSnapshot {
            revision,
            entries: ids.iter().map(|id| entry(id)).collect(),
            unreadable: 0,
        },
        was_connected,
    }
}

fn changed(revision: u64, changes: &[EndpointChange]) -> EndpointRead {
    EndpointRead::Changed(EndpointChanges {
        revision,
        changes: changes.to_vec(),
    })
}

#[test]
fn entry_that_went_while_connected_is_gone_at_once() {
    let mut view = EndpointView::new(1);
    view.apply_read(0, listed(1, &["one", "two"], true));
    assert_eq!(
        view.apply_read(10, listed(2, &["one"], true)),
        [gone("two")]
    );
}

/// The store was away and has lost leases of endpoints that are still there: those that come
/// back in time are kept.
#[test]
fn missing_entry_is_kept_for_a_while() {
    let mut view = EndpointView::new(1);
    view.apply_read(0, listed(1, &["one", "two"], true));
    assert_eq!(view.apply_read(1_000, listed(2, &[], false)), []);
    let back = view.apply_read(2_900, changed(3, &[present("one")]));
    assert_eq!(back, []);
    assert_eq!(view.apply_read(3_000, changed(3, &[])), [gone("two")]);
}

/// A member was cut off while an endpoint went, and keeps its entry for a while, since it does
/// not know whether the store was away for all. Others know, and must not hear of it again.
#[test]
fn missing_entry_is_not_shared() {
    let mut cut_off = EndpointView::new(1);
    cut_off.apply_read(0, listed(1, &["one", "two"], true));
    let mut asker = EndpointView::new(2);
    asker.apply_read(0, listed(1, &["one", "two"], true));
    asker.apply_read(500, changed(2, &[gone("one")]));
    cut_off.apply_read(1_000, listed(2, &["two"], false));
    for now_ms in (1_000..3_000).step_by(500) {
        cut_off.apply_read(now_ms, changed(2, &[]));
        assert_eq!(cut_off.update_since(now_ms, asker.update_cursor()), None);
    }
    cut_off.apply_read(3_000, changed(2, &[]));
    let told = cut_off
        .update_since(3_000, asker.update_cursor())
        .expect("news");
    assert_eq!(asker.apply_update(3_000, told), Some(Vec::new()));
}

/// A leaving endpoint must be known within two seconds, through a member too whose connection
/// to the store went silent.
#[test]
fn view_that_has_not_heard_from_the_store_is_not_shared() {
    let mut view = EndpointView::new(1);
    assert_eq!(view.update_since(0, EndpointCursor::default()), None);
    view.apply_read(0, listed(1, &["one"], true));
    assert!(
        view.update_since(1_000, EndpointCursor::default())
            .is_some()
    );
    assert_eq!(view.update_since(2_000, EndpointCursor::default()), None);
}

/// Another member may lag behind the one that was asked before.
#[test]
fn older_view_changes_nothing() {
    let (mut old, mut new) = (EndpointView::new(1), EndpointView::new(2));
    old.apply_read(0, listed(1, &["one"], true));
    new.apply_read(0, listed(2, &["one", "two"], true));
    let mut mine = EndpointView::new(3);
    let told = new
        .update_since(0, EndpointCursor::default())
        .expect("news");
    assert!(mine.apply_update(0, told).is_some());
    let told = old
        .update_since(0, EndpointCursor::default())
        .expect("news");
    assert_eq!(mine.apply_update(0, told), None);
}

/// More changes than a member keeps for those that ask.
#[test]
fn asker_that_missed_many_changes_gets_all_endpoints() {
    let mut member = EndpointView::new(1);
    member.apply_read(0, listed(1, &["one"], true));
    let mut asker = EndpointView::new(2);
    let told = member.update_since(0, EndpointCursor::default());
    asker.apply_update(0, told.expect("news"));
    for number in 0..400 {
        let id = format!("endpoint-{number}");
        member.apply_read(0, changed(2, &[present(&id), gone(&id)]));
    }
    member.apply_read(0, changed(3, &[present("two")]));
    let told = member.update_since(0, asker.update_cursor()).expect("news");
    assert!(told.is_complete);
    assert_eq!(asker.apply_update(0, told), Some(vec![present("two")]));
}

/// What happens in one step of `asker_follows_the_store`.
type Step = (u8, bool, [bool; 2], usize);

proptest! {
    /// Whichever member is asked, however far it lags, however many changes lie between two
    /// questions, and whether the asker read the store itself meanwhile: it ends up with what
    /// the store held at the revision that it was told.
    #[test]
    fn asker_follows_the_store(
        steps in proptest::collection::vec(any::<Step>(), 1..600)
    ) {
        let mut members = [EndpointView::new(1), EndpointView::new(2)];
        for member in &mut members {
            member.apply_read(0, listed(0, &[], true));
        }
        let mut asker = EndpointView::new(3);
        let mut held = BTreeSet::new();
        // What the store held at each revision, and the change to the next one.
        let mut stored = vec![BTreeSet::new()];
        let mut changes = Vec::new();
        let mut seen = [0, 0];
        for (endpoint, is_present, are_reading, asked) in steps {
            let id = format!("endpoint-{}", endpoint % 8);
            let mut next = stored.last().expect("a state").clone();
            changes.push(match is_present {
                true => present(&id),
                false => gone(&id),
            });
            match is_present {
                true => next.insert(id),
                false => next.remove(&id),
            };
            stored.push(next);
            let revision = changes.len();
            for (index, member) in members.iter_mut().enumerate() {
                if are_reading[index] {
                    let read = changed(revision as u64, &changes[seen[index]..]);
                    member.apply_read(0, read);
                    seen[index] = revision;
                }
            }
            let told = match asked % 8 {
                0 => {
                    let ids = stored[revision].iter().map(String::as_str);
                    let ids: Vec<&str> = ids.collect();
                    Some(asker.apply_read(0, listed(revision as u64, &ids, true)))
                }
                member @ 1..=2 => {
                    let member = &mut members[member - 1];
                    let told = member.update_since(0, asker.update_cursor()).expect("news");
                    asker.apply_update(0, told)
                }
                _ => continue,
            };
            for change in told.into_iter().flatten() {
                match change {
                    EndpointChange::Present(entry) => held.insert(entry.id),
                    EndpointChange::Gone(id) => held.remove(&id),
                };
            }
            let at = usize::try_from(asker.revision()).expect("a revision");
            prop_assert_eq!(&held, &stored[at]);
        }
    }
}
