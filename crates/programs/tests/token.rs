//! Signed program tokens. Guards against the acceptance of tokens that a caller forged,
//! altered, kept past their expiry or took from another customer.

mod support;

use jayreel_model::{Ran, RefusalReason};
use jayreel_programs::{CacheTag, ProgramToken, TokenKey};
use support::{LIFETIME_S, open, process};
use test_case::test_case;

fn signed() -> (ProgramToken, String) {
    let token = open(&mut process("a.1"), None).token;
    let text = token.sign(&TokenKey::derive("secret"));
    (token, text)
}

fn refused(text: &str, secret: &str, customer: &str, now_unix_s: u64) -> RefusalReason {
    let key = TokenKey::derive(secret);
    let refusal = ProgramToken::verify(text, &key, customer, now_unix_s)
        .expect_err("the token must be refused");
    assert_eq!(refusal.ran, Ran::No);
    refusal.reason
}

#[test]
fn a_signed_token_is_read_back() {
    let (token, text) = signed();
    let key = TokenKey::derive("secret");
    let read = ProgramToken::verify(&text, &key, "acme", LIFETIME_S - 1);
    assert_eq!(read, Ok(token));
    assert!(
        text.chars()
            .all(|c| c.is_ascii_alphanumeric() || "-_.".contains(c))
    );
}

#[test_case("other", "acme", 0, RefusalReason::NotFound; "signed by another fleet")]
#[test_case("secret", "rival", 0, RefusalReason::NotAllowed; "of another customer")]
#[test_case("secret", "acme", LIFETIME_S, RefusalReason::NotFound; "expired")]
fn a_wrong_token_is_refused(
    secret: &str,
    customer: &str,
    now_unix_s: u64,
    reason: RefusalReason,
) {
    assert_eq!(refused(&signed().1, secret, customer, now_unix_s), reason);
}

#[test]
fn a_change_of_any_byte_is_refused() {
    let (_, text) = signed();
    for position in 0..text.len() {
        let mut bytes = text.clone().into_bytes();
        bytes[position] = if bytes[position] == b'A' { b'B' } else { b'A' };
        let changed = String::from_utf8(bytes).expect("ascii");
        assert_eq!(
            refused(&changed, "secret", "acme", 0),
            RefusalReason::NotFound
        );
    }
}

#[test_case(""; "empty")]
#[test_case("."; "only the separator")]
#[test_case("e30"; "no signature")]
#[test_case("e30.e30"; "short signature")]
fn malformed_text_is_refused(text: &str) {
    assert_eq!(refused(text, "secret", "acme", 0), RefusalReason::NotFound);
}

#[test]
fn a_cache_tag_names_the_owner() {
    let (token, _) = signed();
    let tag = token.cache_tag();
    assert_eq!(tag.to_string().parse::<CacheTag>(), Ok(tag.clone()));
    assert_eq!(tag.owner, token.owner);
    assert!("a.1".parse::<CacheTag>().is_err());
}
