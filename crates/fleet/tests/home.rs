//! When home weight that was read from the store comes into force: at once if no earlier
//! holder can have lent it, otherwise only after possible loans have ended.

use jayreel_fleet::{
    FleetEffect, FleetEvent, FleetSettings, FleetState, RegisteredInstance,
};
use jayreel_model::{Configuration, Customer, Incarnation};
use jayreel_programs::TokenKey;
use jayreel_quota::home_weights::HomeRecord;
use jayreel_scheduler::quota_admission::QuotaAdmission;

/// Time after which weight that an earlier holder may have lent comes into force: loan
/// term, dispatch deadline and clock margin.
const LOAN_END_MS: u64 = 6_500;

fn incarnation(index: u64) -> Incarnation {
    Incarnation {
        instance: format!("entry-{index}"),
        number: 7 + index,
    }
}

/// The registered instance with this index, which has read that all of `registered` are
/// registered.
fn fleet(index: u64, registered: &[u64]) -> FleetState {
    let own = incarnation(index);
    let address = own.to_string();
    let settings = FleetSettings::new(own, "zone-0", address, TokenKey::derive("t"));
    let mut fleet = FleetState::new(settings, 0);
    let mut configuration = Configuration::default();
    let customer = Customer {
        rate_mreq_per_s: 1_000,
        burst_mreq: 1_000,
        weight: 1,
    };
    configuration.customers.insert("alpha".into(), customer);
    fleet.configure(0, &configuration);
    let event = FleetEvent::ConfigurationChanged(configuration.into());
    fleet.apply(0, event);
    fleet.apply(0, FleetEvent::RegistrationRenewed { sent_at_ms: 0 });
    read_registrations(&mut fleet, 0, registered);
    fleet
}

fn read_registrations(fleet: &mut FleetState, now_ms: u64, registered: &[u64]) {
    let entry = |index: &u64| RegisteredInstance {
        incarnation: incarnation(*index),
        availability_zone: "zone-0".to_string(),
        peer_address: incarnation(*index).to_string(),
        leaving: false,
    };
    let event = FleetEvent::RegistrationsRead {
        own_lease: Some(1),
        sent_at_ms: now_ms,
        registered: registered.iter().map(entry).collect(),
    };
    fleet.apply(now_ms, event);
}

/// The instance reads the record. Returns the record that it writes in response, if any.
fn read_weights(
    fleet: &mut FleetState,
    now_ms: u64,
    record: &HomeRecord,
    version: u64,
) -> Option<HomeRecord> {
    let event = FleetEvent::HomeWeightsRead {
        sent_at_ms: now_ms,
        record: record.clone(),
        version,
    };
    fleet.apply(now_ms, event);
    let mut effects = fleet.take_effects().into_iter();
    effects.find_map(|effect| match effect {
        FleetEffect::WriteHomeWeights { record, .. } => Some(record),
        _ => None,
    })
}

fn in_force_ppm(fleet: &mut FleetState, now_ms: u64) -> u32 {
    fleet.status(now_ms).home_in_force_ppm
}

// Guards against the process that created the record and reads it before the answer to its
// write. Its own weight came into force too late, and later it used the weight of an
// instance that an operator had removed at once, although that instance could have lent it
// (G8).
#[test]
fn late_answer_to_the_first_write_does_not_put_weight_in_force() {
    let mut founder = fleet(0, &[0, 1]);
    let mut other = fleet(1, &[0, 1]);
    let record = read_weights(&mut founder, 0, &HomeRecord::default(), 0)
        .expect("the record is created");
    assert!(read_weights(&mut founder, 10, &record, 1).is_none());
    let event = FleetEvent::HomeWeightsWritten {
        version: 0,
        accepted: true,
    };
    founder.apply(20, event);
    let record = read_weights(&mut other, 20, &record, 1)
        .expect("the other instance takes the rest");
    assert!(read_weights(&mut founder, 30, &record, 2).is_none());
    let record = record.forget("entry-1").expect("entry-1 has a weight");
    read_registrations(&mut founder, 10_000, &[0]);
    let record = read_weights(&mut founder, 10_000, &record, 3)
        .expect("the founder takes the whole weight");
    assert!(read_weights(&mut founder, 10_010, &record, 4).is_none());
    assert_eq!(founder.status(10_010).home_weight_ppm, 1_000_000);
    assert_eq!(in_force_ppm(&mut founder, 10_010), 500_000);
    assert_eq!(in_force_ppm(&mut founder, 10_009 + LOAN_END_MS), 500_000);
    assert_eq!(in_force_ppm(&mut founder, 10_010 + LOAN_END_MS), 1_000_000);
}

// Guards against a new instance that waits a loan term for weight that a running instance
// has released and cannot have lent.
#[test]
fn released_weight_counts_when_it_is_read() {
    let mut founder = fleet(0, &[0]);
    let mut newcomer = fleet(1, &[0, 1]);
    let record = read_weights(&mut founder, 0, &HomeRecord::default(), 0)
        .expect("the record is created");
    assert!(read_weights(&mut founder, 10, &record, 1).is_none());
    assert_eq!(in_force_ppm(&mut founder, 10), 1_000_000);
    read_registrations(&mut founder, 20, &[0, 1]);
    let record =
        read_weights(&mut founder, 20, &record, 1).expect("the founder releases weight");
    let record = read_weights(&mut newcomer, 30, &record, 2)
        .expect("the new instance takes the released weight");
    assert!(read_weights(&mut newcomer, 40, &record, 3).is_none());
    assert_eq!(in_force_ppm(&mut newcomer, 40), 500_000);
    assert_eq!(in_force_ppm(&mut founder, 40), 450_000);
}
