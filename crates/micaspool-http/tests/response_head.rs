//! Heads of responses with one spoilt byte at each place.

use micaspool_http::response_head::{check_response_head, HeadKind};

/// Longer than the parts in which a head may be decoded at once.
const NAME: &str =
    "x-a-name-that-is-longer-than-what-is-decoded-at-once-by-any-of-the-instruction-sets-0123456789";
const VALUE: &str =
    "a value that is longer than what is decoded at once by any of the instruction sets, 0123456789";

/// Returns true for the bytes that a name may have (RFC 9110, section 5.6.2).
fn is_name_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}

/// Returns true for the bytes that a value may have (RFC 9110, section 5.5).
fn is_value_byte(byte: u8) -> bool {
    byte == b'\t' || (byte >= b' ' && byte != 0x7f)
}

/// Checks a head in which the byte at `place` after `before` is another one.
fn is_head(before: &str, spoilt: &str, place: usize, byte: u8, after: &str) -> bool {
    let mut head = format!("{before}{spoilt}{after}\r\n\r\n").into_bytes();
    head[before.len() + place] = byte;
    check_response_head(&head).is_ok()
}

/// Guards against a name with a blank or a control byte that is taken at some place of a long name.
#[test]
fn no_byte_of_a_name_may_be_blank_or_a_control_byte() {
    let before = "HTTP/1.1 200 OK\r\n";
    for (place, byte) in (0..NAME.len()).flat_map(|place| (0..=u8::MAX).map(move |byte| (place, byte))) {
        // The name ends at the first colon, which may not be its first byte.
        let is_sound = is_name_byte(byte) || (byte == b':' && place > 0);
        let is_head = is_head(before, NAME, place, byte, ": 1\r\ncontent-length: 10");
        assert_eq!(is_head, is_sound, "byte {byte:#04x} at {place}");
    }
}

#[test]
fn no_byte_of_a_value_may_be_a_control_byte() {
    let before = "HTTP/1.1 200 OK\r\nx: ";
    for (place, byte) in (0..VALUE.len()).flat_map(|place| (0..=u8::MAX).map(move |byte| (place, byte))) {
        let is_head = is_head(before, VALUE, place, byte, "\r\ncontent-length: 10");
        assert_eq!(is_head, is_value_byte(byte), "byte {byte:#04x} at {place}");
    }
}

#[test]
fn interim_heads_are_told_from_final_ones() {
    let kind = |status: u16| check_response_head(format!("HTTP/1.1 {status} x\r\n\r\n").as_bytes());
    assert_eq!(kind(100), Ok(HeadKind::Interim));
    assert_eq!(kind(103), Ok(HeadKind::Interim));
    assert_eq!(kind(200), Ok(HeadKind::Final));
    assert_eq!(kind(599), Ok(HeadKind::Final));
}
