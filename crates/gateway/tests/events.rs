//! Cutting a stream into whole events.

use jayreel_gateway::EventReader;
use test_case::test_case;

fn read(pieces: &[&[u8]]) -> (Vec<jayreel_gateway::StreamEvent>, bool) {
    let mut reader = EventReader::default();
    let mut events = Vec::new();
    for piece in pieces {
        events.extend(reader.push(piece).expect("events are small"));
    }
    (events, reader.is_at_boundary())
}

#[test]
fn events_keep_their_bytes() {
    let text = b"id: 1\ndata: one\n\nid: 2\ndata: two\ndata: more\n\n";
    let (events, is_whole) = read(&[text]);
    let raw: Vec<u8> = events.iter().flat_map(|event| event.raw.to_vec()).collect();
    assert_eq!(raw, text);
    assert!(is_whole);
    assert_eq!(events[1].id, Some(2));
    assert_eq!(events[1].data.as_deref(), Some(&b"two\nmore"[..]));
}

/// An endpoint may stop in the middle of an event. What came of it must not reach the
/// caller, since another endpoint sends the event again.
#[test]
fn half_event_is_not_handed_on() {
    let (events, is_whole) = read(&[b"id: 1\ndata: a\n\nid: 2\nda"]);
    assert_eq!(events.len(), 1);
    assert!(!is_whole);
}

#[test]
fn split_at_any_byte_gives_the_same_events() {
    let text = b"id: 1\r\ndata: x\r\n\r\nweight-versions: 3\nid: 2\ndata: y\n\n";
    let (whole, _) = read(&[text]);
    for cut in 0..text.len() {
        let (events, is_whole) = read(&[&text[..cut], &text[cut..]]);
        assert_eq!(events, whole, "cut at {cut}");
        assert!(is_whole);
    }
}

#[test_case(b"data: a\n\n", None; "no identifier")]
#[test_case(b"id: x\ndata: a\n\n", None; "not a number")]
#[test_case(b"id:7\ndata: a\n\n", Some(7); "no space")]
fn identifiers(text: &[u8], id: Option<u64>) {
    let (events, _) = read(&[text]);
    assert_eq!(events[0].id, id);
}

#[test]
fn endless_event_is_refused() {
    let mut reader = EventReader::default();
    let piece = vec![b'x'; 512 << 10];
    assert!(reader.push(&piece).is_some());
    assert!(reader.push(&piece).is_some());
    assert!(reader.push(&piece).is_none());
}
