//! `xtask findings` reports broken rules, missed floors, faults and failed gates.

use std::process::Command;
use test_case::test_case;

#[test_case("{\"name\":\"d\",\"rules\":{},\"short\":[],\"gate\":true}" => (true, String::new()); "nothing")]
#[test_case("{\"name\":\"d\",\"rules\":{\"FAIR\":2},\"gate\":false}" => (false, "s d: broke FAIR 2 times".to_owned()); "a broken rule")]
#[test_case("{\"name\":\"d\",\"short\":[\"0.40 of a kind\"],\"gate\":false}" => (false, "s d: short: 0.40 of a kind".to_owned()); "a floor missed without a broken rule")]
#[test_case("{\"name\":\"d\",\"fault\":\"ended\",\"gate\":true}" => (false, "s d: fault: \"ended\"".to_owned()); "a fault")]
#[test_case("{\"name\":\"d\",\"gate\":false}" => (false, "s d: failed its gate".to_owned()); "a gate alone")]
fn findings_of(day: &str) -> (bool, String) {
    let name = format!("micaspool-findings-{}-{:x}.json", std::process::id(), day.len());
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, format!("{{\"site\":\"s\",\"days\":[{day}]}}")).expect("writable");
    let output =
        Command::new(env!("CARGO_BIN_EXE_xtask")).arg("findings").arg(&path).output().expect("it runs");
    let _ = std::fs::remove_file(&path);
    let text = String::from_utf8_lossy(&output.stdout).trim().to_owned();
    let said = text.strip_prefix(path.to_str().expect("a name in UTF-8")).unwrap_or(&text).trim();
    (output.status.success(), said.to_owned())
}
