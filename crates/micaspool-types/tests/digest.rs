//! Which requests have the same digest, and parsing of digests.

use micaspool_types::{CustomerName, DigestError, RequestDigest};
use test_case::test_case;

fn digest(customer: &str, method: &str, target: &str, body: &str) -> RequestDigest {
    let customer = CustomerName::parse(customer).expect("a name");
    RequestDigest::of(&customer, method, target, body.as_bytes())
}

#[test]
fn equal_requests_have_the_same_digest() {
    assert_eq!(digest("coop", "POST", "/a/b?c", "body"), digest("coop", "POST", "/a/b?c", "body"));
}

#[test_case(digest("other", "POST", "/a/b?c", "body"); "another customer")]
#[test_case(digest("coop", "GET", "/a/b?c", "body"); "another method")]
#[test_case(digest("coop", "POST", "/a/b?d", "body"); "another query")]
#[test_case(digest("coop", "POST", "/a/b", "?cbody"); "bytes moved from the target to the body")]
#[test_case(digest("coop", "POST", "/a/b?c", "body "); "another body")]
#[test_case(digest("coop", "POST", "/a/b?c", ""); "no body")]
fn different_requests_have_different_digests(other: RequestDigest) {
    assert_ne!(digest("coop", "POST", "/a/b?c", "body"), other);
}

#[test]
fn a_printed_digest_can_be_parsed() {
    let digest = digest("coop", "POST", "/", "x");
    assert_eq!(RequestDigest::parse(&digest.to_string()), Ok(digest));
}

#[test_case(""; "empty")]
#[test_case("0123456789abcdef0123456789abcde"; "too short")]
#[test_case("+123456789abcdef0123456789abcdef"; "a sign")]
fn invalid_texts_are_rejected_with_a_remedy(text: &str) {
    assert_eq!(RequestDigest::parse(text), Err(DigestError::Malformed));
    assert!(DigestError::Malformed.to_string().contains("copy it whole"));
}
