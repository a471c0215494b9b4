use super::{Row, decode_readable};
use crate::VmRecord;

/// Guards against a list that cannot be read as a whole because of one row of another writer.
#[test]
fn rows_are_read_beside_those_that_cannot_be_decoded() {
    let vm = |control: &str| {
        let vm = serde_json::json!({"id": "vm-1", "zone": "a", "control": control,
            "forward": "127.0.0.1:1"});
        vm.to_string().into_bytes()
    };
    let nested = "[".repeat(100_000).into_bytes();
    let values = [
        (b"\xff".to_vec(), 0, 0),
        (nested, 0, 0),
        (b"1e999".to_vec(), 0, 0),
        (b"{}".to_vec(), 1, 0),
        (vm("127.0.0.1:70000"), 1, 0),
        (vm("127.0.0.1:7"), 1, 1),
    ];
    for (value, rows, records) in values {
        let row = |key: &str, value: &[u8]| adapter::Row {
            key: key.to_owned(),
            value: Some(value.to_vec()),
            version: 1,
        };
        let list = || vec![row("odd", &value), row("own", &vm("127.0.0.1:9"))];
        assert_eq!(decode_readable(list(), Row::try_from).len(), rows + 1);
        let vms: Vec<VmRecord> = decode_readable(list(), |row| Row::try_from(row)?.record());
        assert_eq!(vms.len(), records + 1);
    }
}
