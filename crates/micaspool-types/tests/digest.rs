//! What counts as the same request.

use micaspool_types::{CustomerName, DigestError, RequestDigest};
use test_case::test_case;

fn digest(customer: &str, method: &str, target: &str, body: &str) -> RequestDigest {
    let customer = CustomerName::parse(customer).expect("a name");
    RequestDigest::of(&customer, method, target, body.as_bytes())
}

#[test]
fn what_is_asked_for_again_has_the_same_digest() {
    assert_eq!(digest("coop", "POST", "/a/b?c", "body"), digest("coop", "POST", "/a/b?c", "body"));
}

#[test_case(digest("other", "POST", "/a/b?c", "body"); "another customer")]
#[test_case(digest("coop", "GET", "/a/b?c", "body"); "another method")]
#[test_case(digest("coop", "POST", "/a/b?d", "body"); "another query")]
#[test_case(digest("coop", "POST", "/a/b", "?cbody"); "a part that moved into the next")]
#[test_case(digest("coop", "POST", "/a/b?c", "body "); "another body")]
#[test_case(digest("coop", "POST", "/a/b?c", ""); "no body")]
fn what_is_not_the_same_has_another(other: RequestDigest) {
    assert_ne!(digest("coop", "POST", "/a/b?c", "body"), other);
}

#[test]
fn a_digest_is_read_as_it_is_printed() {
    let digest = digest("coop", "POST", "/", "x");
    assert_eq!(RequestDigest::parse(&digest.to_string()), Ok(digest));
}

#[test_case(""; "empty")]
#[test_case("0123456789abcdef0123456789abcde"; "too short")]
#[test_case("+123456789abcdef0123456789abcdef"; "a sign")]
fn other_texts_are_refused_with_a_remedy(text: &str) {
    assert_eq!(RequestDigest::parse(text), Err(DigestError::Malformed));
    assert!(DigestError::Malformed.to_string().contains("copy it whole"));
}
