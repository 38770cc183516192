//! .
fn main() {}
