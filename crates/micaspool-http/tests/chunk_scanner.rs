//! Which bytes are a body in chunks.

use micaspool_http::chunk_scanner::ChunkScanner;
use test_case::test_case;

fn is_whole(body: &[u8]) -> bool {
    let mut scanner = ChunkScanner::default();
    scanner.observe(body);
    scanner.is_whole()
}

#[test_case("0\r\n\r\n"; "no bytes")]
#[test_case("a\r\n0123456789\r\n0\r\n\r\n"; "a chunk")]
#[test_case("5\r\n01234\r\n5\r\n56789\r\n0\r\n\r\n"; "two chunks")]
#[test_case("A;x=\"y\"\r\n0123456789\r\n000\r\n\r\n"; "an extension")]
#[test_case("a \r\n\r\n\r\n\r\n\r\n\r\n\r\n0\r\nx: 1\r\ny: 2\r\n\r\n"; "trailers")]
fn a_body_in_chunks_is_whole_at_its_end_only(body: &str) {
    assert!(is_whole(body.as_bytes()), "{body:?}");
    for end in 0..body.len() {
        assert!(!is_whole(&body.as_bytes()[..end]), "{:?}", &body[..end]);
    }
    assert!(!is_whole(format!("{body}x").as_bytes()), "bytes after it");
    let mut scanner = ChunkScanner::default();
    body.bytes().for_each(|byte| scanner.observe(&[byte]));
    assert!(scanner.is_whole(), "{body:?} byte by byte");
}

/// Guards against a sound body being taken for one in chunks.
#[test_case(""; "no bytes")]
#[test_case("42\r\n"; "a number")]
#[test_case("0\r\n"; "zero")]
#[test_case("\r\n\r\n"; "empty lines")]
#[test_case("{\"a\":1}\r\n0\r\n\r\n"; "an object before the last chunk")]
#[test_case("data: 0\r\n\r\n"; "an event")]
#[test_case("id: 1\ndata: 5\n\n0\r\n\r\n"; "a stream before the last chunk")]
#[test_case("a\n0123456789\n0\n\n"; "line feeds")]
#[test_case("a\r\n0123456789x\r\n0\r\n\r\n"; "a longer chunk")]
#[test_case("b\r\n0123456789\r\n0\r\n\r\n"; "a shorter chunk")]
#[test_case("10000000000000000\r\n\r\n0\r\n\r\n"; "a size beyond 64 bits")]
#[test_case("+0\r\n\r\n"; "a sign")]
fn another_body_is_none_in_chunks(body: &str) {
    assert!(!is_whole(body.as_bytes()), "{body:?}");
}
