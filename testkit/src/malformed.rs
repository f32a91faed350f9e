//! What other programs may leave in the store of the users' platform.

use serde_json::json;

/// Depths of nesting around those that parsers support, and far beyond.
pub const DEPTHS: [usize; 7] = [1, 2, 127, 128, 129, 1_000, 100_000];

/// Returns nested arrays.
pub fn nested_array(depth: usize) -> Vec<u8> {
    [b"[".repeat(depth), b"]".repeat(depth)].concat()
}

/// Returns nested objects.
pub fn nested_object(depth: usize) -> Vec<u8> {
    [br#"{"a":"#.repeat(depth), b"1".to_vec(), b"}".repeat(depth)].concat()
}

/// Texts that no parser can represent, whichever field has them.
pub fn unreadable_texts() -> Vec<Vec<u8>> {
    let texts: [&[u8]; 13] = [
        br#""dress \ud83d""#,
        br#""\udc00""#,
        br#""\q""#,
        br#""\u12""#,
        b"\"a\x00b\"",
        b"\"line\nbreak\"",
        b"\"\xff\xfe\"",
        b"\"\xf0\x9f\x98\"",
        b"1e400",
        b"-1e400",
        b"NaN",
        b"+1",
        b"nul",
    ];
    let deep = DEPTHS.into_iter().filter(|depth| *depth > 128);
    let deep = deep.flat_map(|depth| [nested_array(depth), nested_object(depth)]);
    texts.into_iter().map(<[u8]>::to_vec).chain(deep).collect()
}

/// Texts of the wrong type, range or form for each field of a backend server.
pub fn wrong_texts(field: &str) -> Vec<Vec<u8>> {
    let of_field: &[&str] = match field {
        "address" => &[
            r#""127.0.0.1:65536""#,
            r#""127.0.0.1:0""#,
            r#""127.0.0.1:-1""#,
            r#""127.0.0.1:99999999999999999999""#,
            r#""127.0.0.1""#,
            r#""127.0.0.1:""#,
            r#""256.0.0.1:80""#,
            r#""0.0.0.0:80""#,
            r#""255.255.255.255:80""#,
            r#""224.0.0.1:80""#,
            r#""[::1]:80""#,
            r#""host:80""#,
            r#""""#,
            "80",
        ],
        "concurrency" => &[
            "-1",
            "0.5",
            "1048577",
            "4294967295",
            "4294967296",
            "18446744073709551616",
            "1e30",
            r#""4""#,
        ],
        "born" | "sequence" => &["-1", "0.5", "18446744073709551616", "1e30", r#""4""#],
        "warmupLeftMs" => &[r#""4""#, "true"],
        "state" => &[r#""asleep""#, r#""READY""#, r#""""#, "1"],
        _ => &["1", "true"],
    };
    let of_all = ["null", "[]", "{}", r#"{"odd":true}"#];
    let nested = DEPTHS.into_iter().map(nested_array);
    let texts = of_field.iter().chain(&of_all);
    texts.map(|t| t.as_bytes().to_vec()).chain(nested).collect()
}

/// Returns the JSON text of a backend server with `text` in place of one field; if
/// `text` is `None`, without the field.
pub fn server_text(spec: &serde_json::Value, field: &str, text: Option<&[u8]>) -> Vec<u8> {
    let fields = spec.as_object().into_iter().flatten();
    let others = fields.filter(|(name, _)| *name != field);
    let mut members: Vec<Vec<u8>> = others
        .map(|(name, value)| format!("{}:{value}", json!(name)).into_bytes())
        .collect();
    members.extend(text.map(|t| [format!("{}:", json!(field)).as_bytes(), t].concat()));
    [b"{".as_slice(), &members.join(&b','), b"}"].concat()
}
