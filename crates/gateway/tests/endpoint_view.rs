//! Replication of the endpoint registry from the store to members and from those to entry
//! instances.

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
        cold_left_ms: 0,
    }
}

fn present(id: &str) -> EndpointChange {
    EndpointChange::Present(entry(id))
}

fn removed(id: &str) -> EndpointChange {
    EndpointChange::Removed(id.to_string())
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
fn entry_deleted_while_connected_is_removed_at_once() {
    let mut view = EndpointView::new(1);
    view.apply_read(0, listed(1, &["one", "two"], true));
    assert_eq!(
        view.apply_read(10, listed(2, &["one"], true)),
        [removed("two")]
    );
}

/// During a store outage the leases of running endpoints expire. Endpoints that register again
/// within the grace time are kept without interruption.
#[test]
fn entry_missing_after_an_outage_is_kept_for_the_grace_time() {
    let mut view = EndpointView::new(1);
    view.apply_read(0, listed(1, &["one", "two"], true));
    assert_eq!(view.apply_read(1_000, listed(2, &[], false)), []);
    let returned = view.apply_read(2_900, changed(3, &[present("one")]));
    assert_eq!(returned, []);
    assert_eq!(view.apply_read(3_000, changed(3, &[])), [removed("two")]);
}

/// An endpoint is deleted while a member is partitioned from the store. The member keeps the
/// entry for the grace time, since the store may have been down for all instances. It must not
/// send the entry to an instance that knows of the deletion.
#[test]
fn missing_entry_is_not_sent_to_other_instances() {
    let mut partitioned = EndpointView::new(1);
    partitioned.apply_read(0, listed(1, &["one", "two"], true));
    let mut reader = EndpointView::new(2);
    reader.apply_read(0, listed(1, &["one", "two"], true));
    reader.apply_read(500, changed(2, &[removed("one")]));
    partitioned.apply_read(1_000, listed(2, &["two"], false));
    for now_ms in (1_000..3_000).step_by(500) {
        partitioned.apply_read(now_ms, changed(2, &[]));
        assert_eq!(
            partitioned.update_since(now_ms, reader.update_cursor()),
            None
        );
    }
    partitioned.apply_read(3_000, changed(2, &[]));
    let update = partitioned
        .update_since(3_000, reader.update_cursor())
        .expect("an update");
    assert_eq!(reader.apply_update(3_000, update), Some(Vec::new()));
}

/// The removal of an endpoint must be known within two seconds, also if the connection of a
/// member to the store goes silent. The member must stop sending its outdated view.
#[test]
fn outdated_view_is_not_sent_to_other_instances() {
    let mut view = EndpointView::new(1);
    assert_eq!(view.update_since(0, EndpointCursor::default()), None);
    view.apply_read(0, listed(1, &["one"], true));
    assert!(
        view.update_since(1_000, EndpointCursor::default())
            .is_some()
    );
    assert_eq!(view.update_since(2_000, EndpointCursor::default()), None);
}

/// The next update may come from a member that lags behind the one that sent the update before.
#[test]
fn update_from_an_older_view_is_rejected() {
    let (mut old, mut new) = (EndpointView::new(1), EndpointView::new(2));
    old.apply_read(0, listed(1, &["one"], true));
    new.apply_read(0, listed(2, &["one", "two"], true));
    let mut reader = EndpointView::new(3);
    let update = new
        .update_since(0, EndpointCursor::default())
        .expect("an update");
    assert!(reader.apply_update(0, update).is_some());
    let update = old
        .update_since(0, EndpointCursor::default())
        .expect("an update");
    assert_eq!(reader.apply_update(0, update), None);
}

/// A member keeps a limited number of changes. A reader that missed more gets the complete list.
#[test]
fn reader_that_missed_many_changes_gets_all_endpoints() {
    let mut member = EndpointView::new(1);
    member.apply_read(0, listed(1, &["one"], true));
    let mut reader = EndpointView::new(2);
    let update = member.update_since(0, EndpointCursor::default());
    reader.apply_update(0, update.expect("an update"));
    for number in 0..400 {
        let id = format!("endpoint-{number}");
        member.apply_read(0, changed(2, &[present(&id), removed(&id)]));
    }
    member.apply_read(0, changed(3, &[present("two")]));
    let update = member
        .update_since(0, reader.update_cursor())
        .expect("an update");
    assert!(update.is_complete);
    assert_eq!(reader.apply_update(0, update), Some(vec![present("two")]));
}

/// One step of `reader_follows_the_store`: the endpoint, whether it is added or removed, which
/// members read the store then, and from whom the reader gets an update, if at all.
type Step = (u8, bool, [bool; 2], usize);

proptest! {
    /// A reader holds exactly the endpoints that the store had at the reader's revision. This is
    /// independent of the member that sent the update, of how far that member lags, of the number
    /// of changes since the last update, and of reads of the store by the reader itself.
    #[test]
    fn reader_follows_the_store(
        steps in proptest::collection::vec(any::<Step>(), 1..600)
    ) {
        let mut members = [EndpointView::new(1), EndpointView::new(2)];
        for member in &mut members {
            member.apply_read(0, listed(0, &[], true));
        }
        let mut reader = EndpointView::new(3);
        let mut known = BTreeSet::new();
        // Content of the store at each revision, and the change that leads to the next one.
        let mut stored = vec![BTreeSet::new()];
        let mut changes = Vec::new();
        let mut seen = [0, 0];
        for (endpoint, is_present, are_reading, source) in steps {
            let id = format!("endpoint-{}", endpoint % 8);
            let mut next = stored.last().expect("a state").clone();
            changes.push(match is_present {
                true => present(&id),
                false => removed(&id),
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
            let update = match source % 8 {
                0 => {
                    let ids = stored[revision].iter().map(String::as_str);
                    let ids: Vec<&str> = ids.collect();
                    Some(reader.apply_read(0, listed(revision as u64, &ids, true)))
                }
                member @ 1..=2 => {
                    let member = &mut members[member - 1];
                    let update = member.update_since(0, reader.update_cursor()).expect("an update");
                    reader.apply_update(0, update)
                }
                _ => continue,
            };
            for change in update.into_iter().flatten() {
                match change {
                    EndpointChange::Present(entry) => known.insert(entry.id),
                    EndpointChange::Removed(id) => known.remove(&id),
                };
            }
            let at = usize::try_from(reader.revision()).expect("a revision");
            prop_assert_eq!(&known, &stored[at]);
        }
    }
}

fn cold(id: &str, cold_left_ms: u64) -> EndpointChange {
    EndpointChange::Present(EndpointEntry {
        cold_left_ms,
        ..entry(id)
    })
}

/// A cold endpoint rewrites its entry again and again with the time left. Each of these would be
/// sent to all entry instances. Entries arrive up to a batch of changes late.
#[test]
fn counting_down_of_a_cold_time_is_no_change() {
    let mut view = EndpointView::new(1);
    view.apply_read(0, listed(1, &["one"], true));
    let first = view.apply_read(1_000, changed(2, &[cold("one", 3_000)]));
    assert_eq!(first, [cold("one", 3_000)]);
    let mut changes = 0;
    for (revision, now_ms) in (3..).zip((1_200..6_000).step_by(200)) {
        let left_ms = 4_000_u64.saturating_sub(now_ms) + now_ms % 3 * 100;
        let left_ms = if now_ms < 4_000 { left_ms } else { 0 };
        let read = changed(revision, &[cold("one", left_ms)]);
        changes += view.apply_read(now_ms, read).len();
    }
    assert_eq!(changes, 0);
    let again = view.apply_read(9_000, changed(99, &[cold("one", 2_500)]));
    assert_eq!(again, [cold("one", 2_500)], "it is cold again");
}

/// An instance that starts or reconnects later learns how long the endpoint is cold from then on.
/// Otherwise it would count the whole cold time again.
#[test]
fn cold_time_in_an_update_has_aged() {
    let mut view = EndpointView::new(1);
    view.apply_read(0, listed(1, &["one"], true));
    let known = view.update_since(0, EndpointCursor::default());
    let known = known.expect("the store was read").cursor;
    view.apply_read(1_000, changed(2, &[cold("one", 3_000)]));
    let mut changes_at = |now_ms, since| {
        view.apply_read(now_ms, changed(2, &[]));
        view.update_since(now_ms, since).expect("an update").changes
    };
    assert_eq!(changes_at(1_800, known), [cold("one", 2_200)]);
    let all = EndpointCursor::default();
    assert_eq!(changes_at(2_500, all), [cold("one", 1_500)]);
    assert_eq!(changes_at(4_500, known), [cold("one", 0)]);
}

/// A restart under the same identifier is another endpoint, and so is one that registers again.
#[test]
fn cold_time_ends_with_the_run_and_with_the_entry() {
    let mut view = EndpointView::new(1);
    view.apply_read(0, changed(1, &[cold("one", 10_000)]));
    let restarted = EndpointEntry {
        started_unix_ms: Some(2),
        cold_left_ms: 500,
        ..entry("one")
    };
    let restarted = EndpointChange::Present(restarted);
    let changes = view.apply_read(100, changed(2, std::slice::from_ref(&restarted)));
    assert_eq!(changes, [restarted]);
    view.apply_read(200, changed(3, &[removed("one")]));
    let returned = view.apply_read(300, changed(4, &[present("one")]));
    assert_eq!(returned, [present("one")]);
}
