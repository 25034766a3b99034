//! Splitting a response stream into complete events.

use jayreel_gateway::EventReader;
use test_case::test_case;

fn read(chunks: &[&[u8]]) -> (Vec<jayreel_gateway::StreamEvent>, bool) {
    let mut reader = EventReader::default();
    let mut events = Vec::new();
    for chunk in chunks {
        events.extend(reader.push(chunk).expect("events are small"));
    }
    (events, reader.is_at_boundary())
}

#[test]
fn events_are_passed_on_byte_for_byte() {
    let text = b"id: 1\ndata: one\n\nid: 2\ndata: two\ndata: more\n\n";
    let (events, is_at_boundary) = read(&[text]);
    let raw: Vec<u8> = events.iter().flat_map(|event| event.raw.to_vec()).collect();
    assert_eq!(raw, text);
    assert!(is_at_boundary);
    assert_eq!(events[1].id, Some(2));
    assert_eq!(events[1].data.as_deref(), Some(&b"two\nmore"[..]));
}

/// An endpoint may fail in the middle of an event. The incomplete event must not reach the
/// caller, since another endpoint sends the whole event again.
#[test]
fn incomplete_event_is_held_back() {
    let (events, is_at_boundary) = read(&[b"id: 1\ndata: a\n\nid: 2\nda"]);
    assert_eq!(events.len(), 1);
    assert!(!is_at_boundary);
}

#[test]
fn events_do_not_depend_on_packet_boundaries() {
    let text = b"id: 1\r\ndata: x\r\n\r\nweight-versions: 3\nid: 2\ndata: y\n\n";
    let (whole, _) = read(&[text]);
    for cut in 0..text.len() {
        let (events, is_at_boundary) = read(&[&text[..cut], &text[cut..]]);
        assert_eq!(events, whole, "cut at {cut}");
        assert!(is_at_boundary);
    }
}

#[test_case(b"data: a\n\n", None; "no identifier")]
#[test_case(b"id: x\ndata: a\n\n", None; "not a number")]
#[test_case(b"id:7\ndata: a\n\n", Some(7); "no space")]
fn event_id_is_parsed(text: &[u8], id: Option<u64>) {
    let (events, _) = read(&[text]);
    assert_eq!(events[0].id, id);
}

#[test]
fn event_over_the_size_limit_is_rejected() {
    let mut reader = EventReader::default();
    let chunk = vec![b'x'; 512 << 10];
    assert!(reader.push(&chunk).is_some());
    assert!(reader.push(&chunk).is_some());
    assert!(reader.push(&chunk).is_none());
}
