//! The result codes and their table in the docs agree.
use jayrack_protocol::ResultCode;

fn documented_codes() -> Vec<(u16, String, String)> {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../docs/CODES.md");
    let text = std::fs::read_to_string(path).unwrap();
    text.lines().filter_map(parse_row).collect()
}

fn parse_row(line: &str) -> Option<(u16, String, String)> {
    let cells: Vec<&str> = line.split('|').map(str::trim).collect();
    let number = cells.get(1)?.parse().ok()?;
    Some((number, cells.get(2)?.to_string(), cells.get(3)?.to_string()))
}

#[test]
fn table_lists_every_code() {
    let expected: Vec<_> = ResultCode::ALL
        .iter()
        .map(|code| {
            (
                code.number(),
                code.name().to_string(),
                code.meaning().to_string(),
            )
        })
        .collect();

    let actual = documented_codes();

    assert_eq!(actual, expected);
}

#[test]
fn every_code_is_found_by_its_number() {
    for code in ResultCode::ALL {
        let found = ResultCode::from_number(code.number());

        assert_eq!(found, Some(*code));
    }
}
