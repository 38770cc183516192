//! Tests of the table of result codes.

use pomelorun_wire::Code;

const DOC: &str = include_str!("../../../../docs/CODES.md");

#[test]
fn codes_are_unique_and_ascending() {
    for pair in Code::TABLE.windows(2) {
        assert!(pair[0].code < pair[1].code, "{} and {}", pair[0].code, pair[1].code);
    }
}

#[test]
fn codes_page_ends_with_the_table() {
    let mut expected = String::new();
    for it in Code::TABLE {
        expected += &format!("| {} | `{}` | {} | {} |\n", it.code, it.name, it.meaning, it.action);
    }
    assert!(DOC.ends_with(&expected), "docs/CODES.md must end with:\n{expected}");
}
