//! Checks that what other programs leave in the store affects nothing but itself:
//! it is reported with its name, and all other objects of an answer are used.

use dragonflytrack::{
    core::steering::{
        store::{
            Change,
            Kind,
            Malformed,
            Object,
            Position,
            StoreAnswer,
            StoreCall,
            Value, //
        },
        store_reader::{
            Backoff,
            Step,
            StoreReader,
            Update, //
        },
    },
    edge::steering::format::{
        ParsedAnswer,
        PlatformFormat, //
    },
    kernel::clock::{
        Millis,
        Time, //
    },
    platform::PlatformAdapter,
};
use dragonflytrack_testkit::{
    malformed::{
        DEPTHS,
        nested_array,
        nested_object,
        server_text,
        unreadable_texts,
        wrong_texts, //
    },
    store_calls::{
        ERA,
        list,
        server_spec,
        watch, //
    },
};
use proptest::prelude::*;
use rand::{
    SeedableRng,
    rngs::SmallRng, //
};
use serde_json::json;

const FIELDS: [&str; 9] = [
    "service",
    "address",
    "zone",
    "version",
    "concurrency",
    "state",
    "warmupLeftMs",
    "sequence",
    "born",
];

fn read(call: &StoreCall, body: &[u8]) -> ParsedAnswer {
    PlatformAdapter.read_answer(call, 200, ERA, body)
}

/// Returns the JSON text of an object with any texts for its parts.
fn item(name: &[u8], revision: &[u8], spec: &[u8]) -> Vec<u8> {
    [
        b"{\"meta\":{\"name\":".as_slice(),
        name,
        b",\"revision\":",
        revision,
        b",\"created\":9,\"finalizers\":[],\"deleting\":false},\"spec\":",
        spec,
        b",\"status\":null}",
    ]
    .concat()
}

fn named_item(name: &str, spec: &[u8]) -> Vec<u8> {
    item(format!("\"{name}\"").as_bytes(), b"41", spec)
}

fn valid_item(number: usize) -> Vec<u8> {
    let spec = server_spec().to_string();
    named_item(&valid_name(number), spec.as_bytes())
}

fn valid_name(number: usize) -> String {
    format!("i-{number:04x}")
}

fn list_body(items: &[Vec<u8>], more: bool) -> Vec<u8> {
    let tail = format!("],\"more\":{more},\"storeRevision\":530}}");
    [b"{\"items\":[", &*items.join(&b','), tail.as_bytes()].concat()
}

fn watch_body(items: &[Vec<u8>]) -> Vec<u8> {
    let event =
        |item: &Vec<u8>| [b"{\"deleted\":false,\"object\":", item.as_slice(), b"}"].concat();
    let events: Vec<Vec<u8>> = items.iter().map(event).collect();
    [
        b"{\"events\":[".as_slice(),
        &events.join(&b','),
        b"],\"storeRevision\":530}",
    ]
    .concat()
}

/// Returns the objects of a list or a watch.
fn objects(answer: StoreAnswer) -> Vec<Object> {
    match answer {
        StoreAnswer::Page { objects, .. } => objects,
        StoreAnswer::Changes { changes, .. } => {
            changes.into_iter().map(|c: Change| c.object).collect()
        }
        other => panic!("{other:?}"),
    }
}

/// Names of the objects that have a value.
fn usable(answer: StoreAnswer) -> Vec<String> {
    let objects = objects(answer).into_iter();
    let usable = objects.filter(|o| matches!(o.value, Some(Value::BackendServer(_))));
    usable.map(|o| o.name).collect()
}

/// Names of the objects that were reported.
fn reported(malformed: &[Malformed]) -> Vec<String> {
    let name = |m: &Malformed| match m {
        Malformed::Object { name, .. } => name.clone(),
        Malformed::Answer { .. } => panic!("{m:?}"),
    };
    malformed.iter().map(name).collect()
}

/// Checks an object at each place of a list and of a watch.
fn assert_reported(odd: &[u8], name: &str) {
    for place in 0..3 {
        let mut items: Vec<Vec<u8>> = (1..=2).map(valid_item).collect();
        items.insert(place, odd.to_vec());
        let calls = [
            (list(Kind::BackendServers), list_body(&items, false)),
            (watch(Kind::BackendServers), watch_body(&items)),
        ];
        for (call, body) in calls {
            let ParsedAnswer { answer, malformed } = read(&call, &body);
            let text = String::from_utf8_lossy(&odd[..odd.len().min(400)]);
            assert_eq!(usable(answer), [valid_name(1), valid_name(2)], "{text}");
            assert_eq!(reported(&malformed), [name], "{text}");
        }
    }
}

/// One unreadable value made the whole answer unreadable, so that no VM learned of
/// any backend server any more (review/1 and review/3).
#[test]
fn an_unreadable_value_in_any_field_affects_one_backend_server() {
    for text in unreadable_texts() {
        for field in FIELDS.into_iter().chain(["note"]) {
            let spec = server_text(&server_spec(), field, Some(&text));
            assert_reported(&named_item("i-7f", &spec), "i-7f");
        }
    }
}

/// An object without `version` and `sequence` counted as that of a backend server, which
/// then got flows of the service that it named (review/14).
#[test]
fn a_wrong_or_missing_field_affects_one_backend_server() {
    for field in FIELDS {
        for text in wrong_texts(field) {
            let spec = server_text(&server_spec(), field, Some(&text));
            assert_reported(&named_item("i-7f", &spec), "i-7f");
        }
    }
    for field in FIELDS.into_iter().filter(|f| *f != "born") {
        let spec = server_text(&server_spec(), field, None);
        assert_reported(&named_item("i-7f", &spec), "i-7f");
    }
}

/// The digits at the end of any name were taken for the key of a backend server, so a
/// copy under another name could take its place (review/11 and review/12).
#[test]
fn a_name_that_is_not_that_of_a_backend_server_affects_itself_only() {
    let spec = server_spec().to_string();
    for name in [
        "copy-of-i-0001",
        "i-0001-copy",
        "i-0001-2",
        "i--0001",
        "-0001",
        "0001",
        "i-",
        "i-+0001",
        "i-0x1",
        "i-0001.bak",
        "i-0001 ",
        "i-00010000000000000001",
    ] {
        assert_reported(&named_item(name, spec.as_bytes()), name);
    }
}

#[test]
fn an_object_whose_name_or_revision_cannot_be_read_affects_itself_only() {
    let spec = server_spec().to_string();
    for text in unreadable_texts() {
        assert_reported(&item(b"\"i-7f\"", &text, spec.as_bytes()), "i-7f");
        let lossy = String::from_utf8_lossy(&text).trim_matches('"').to_owned();
        assert_reported(&item(&text, b"41", spec.as_bytes()), &lossy);
        assert_reported(&text, "");
    }
    for text in ["-1", "0.5", "18446744073709551616", "null", "\"41\""] {
        assert_reported(&item(b"\"i-7f\"", text.as_bytes(), spec.as_bytes()), "i-7f");
    }
    for text in [
        "{}",
        "[]",
        "1",
        "null",
        "{\"meta\":{}}",
        "{\"meta\":[],\"spec\":{}}",
    ] {
        assert_reported(text.as_bytes(), "");
    }
    assert_reported(&named_item("no digits!", spec.as_bytes()), "no digits!");
}

/// Other parts of an object are the store's own, or unused: they do not matter.
#[test]
fn unused_parts_of_an_object_do_not_matter() {
    for text in unreadable_texts() {
        let status = [b",\"status\":", text.as_slice(), b"}"].concat();
        let mut item = valid_item(1);
        item.truncate(item.len() - b",\"status\":null}".len());
        item.extend(status);
        let body = list_body(&[item], false);
        let ParsedAnswer { answer, malformed } = read(&list(Kind::BackendServers), &body);
        assert_eq!(usable(answer), [valid_name(1)]);
        assert!(malformed.is_empty());
    }
}

#[test]
fn an_evacuation_counts_by_its_name() {
    for text in unreadable_texts() {
        let items = [named_item("a", &text), named_item("b", b"{}")];
        let body = list_body(&items, false);
        let ParsedAnswer { answer, malformed } = read(&list(Kind::Evacuations), &body);
        let names: Vec<String> = objects(answer).into_iter().map(|o| o.name).collect();
        assert_eq!(names, ["a", "b"]);
        assert!(malformed.is_empty());
    }
}

#[test]
fn a_malformed_record_of_a_vm_affects_itself_only() {
    let contact =
        json!({"vm": "vm-1", "data_centre": "a", "address": "10.0.0.1:7000", "millicores": 250});
    for text in unreadable_texts() {
        let items = [
            named_item("a", contact.to_string().as_bytes()),
            named_item("b", &text),
            text.clone(),
        ];
        let ParsedAnswer { answer, malformed } =
            read(&StoreCall::Lookup, &list_body(&items, false));
        assert!(matches!(answer, StoreAnswer::Records(r) if r.len() == 1));
        assert_eq!(reported(&malformed), ["b", ""]);
    }
}

#[test]
fn an_unreadable_configuration_is_reported_and_others_are_ignored() {
    for text in unreadable_texts() {
        let items = [named_item("other", &text), named_item("main", &text)];
        let body = list_body(&items, false);
        let ParsedAnswer { answer, malformed } = read(&list(Kind::Configuration), &body);
        assert!(objects(answer).iter().all(|o| o.value.is_none()));
        assert_eq!(reported(&malformed), ["main"]);
    }
}

#[test]
fn an_answer_that_is_none_is_reported() {
    let mut bodies: Vec<Vec<u8>> = unreadable_texts();
    bodies.extend(
        DEPTHS
            .into_iter()
            .flat_map(|d| [nested_array(d), nested_object(d)]),
    );
    let texts = [
        "",
        "{}",
        "[]",
        "{\"items\":[]}",
        "{\"items\":{},\"more\":false,\"storeRevision\":1}",
        "{\"items\":[],\"more\":1,\"storeRevision\":1}",
        "{\"items\":[],\"more\":false,\"storeRevision\":-1}",
        "{\"items\":[],\"more\":false,\"storeRevision\":18446744073709551616}",
        "{\"items\":[],\"more\":true,\"storeRevision\":1}",
        "{\"events\":[],\"storeRevision\":1e400}",
        "{\"events\":[\"",
    ];
    bodies.extend(texts.map(|t| t.as_bytes().to_vec()));
    for body in bodies {
        for kind in Kind::ALL {
            for call in [list(kind), watch(kind)] {
                let ParsedAnswer { answer, malformed } = read(&call, &body);
                assert_eq!(answer, StoreAnswer::NoAnswer);
                assert!(matches!(&malformed[..], [Malformed::Answer { .. }]));
            }
        }
    }
}

/// Reads a list of two pages from the adapter.
fn read_pages(kind: Kind, pages: [Vec<u8>; 2]) -> Vec<Object> {
    let (backoff, now) = (
        Backoff {
            first: Millis(1),
            max: Millis(1),
        },
        Time(1),
    );
    let mut rng = SmallRng::seed_from_u64(1);
    let mut reader = StoreReader::open(kind);
    let [first, second] = pages.map(|body| {
        let Step::Call(call) = reader.next(true, Position::NONE, now) else {
            panic!("the reader does not call");
        };
        reader.on_answer(read(&call, &body).answer, backoff, now, &mut rng)
    });
    assert_eq!(first, None, "the list has ended with its first page");
    let Some((Update::All(objects), _)) = second else {
        panic!("{second:?}");
    };
    objects
}

/// A page of which no object was used ended the list: what followed counted as
/// removed.
#[test]
fn a_list_goes_on_after_a_page_without_usable_objects() {
    let odd = (0..500).map(|n| item(format!("\"a{n:03}\"").as_bytes(), b"-1", b"{}"));
    let odd: Vec<Vec<u8>> = odd.chain([item(b"\"\\ud83d\"", b"1", b"{}")]).collect();
    let pages = [list_body(&odd, true), list_body(&[valid_item(1)], false)];
    let objects = read_pages(Kind::BackendServers, pages);
    assert!(
        objects
            .iter()
            .any(|o| o.name == valid_name(1) && o.value.is_some())
    );
}

/// The same with objects that are no configuration in force.
#[test]
fn a_configuration_behind_a_page_of_others_is_read() {
    let others = (0..500).map(|n| named_item(&format!("a{n:03}"), b"{}"));
    let others: Vec<Vec<u8>> = others.collect();
    let main = json!({"version": 7, "routes": [], "services": [], "limits": {"idleTimeoutMs": 1}});
    let main = named_item("main", main.to_string().as_bytes());
    let pages = [list_body(&others, true), list_body(&[main], false)];
    let objects = read_pages(Kind::Configuration, pages);
    assert!(matches!(&objects[..], [o] if o.name == "main" && o.value.is_some()));
}

/// The next page starts after the last name that can be read.
#[test]
fn the_next_page_starts_after_the_last_readable_name() {
    let items = [
        valid_item(1),
        item(b"\"b\"", b"-1", b"{}"),
        item(b"\"\\ud83d\"", b"1", b"{}"),
    ];
    let answer = read(&list(Kind::BackendServers), &list_body(&items, true)).answer;
    assert!(matches!(answer, StoreAnswer::Page { next: Some(name), .. } if name == "b"));
}

/// An object of a random answer.
#[derive(Clone, Debug)]
enum Entry {
    Valid,
    Odd(Vec<u8>),
}

fn entries() -> impl Strategy<Value = Entry> {
    let depth = prop_oneof![1..300_usize, 1_000..50_000_usize];
    let number = prop_oneof![
        any::<i128>().prop_map(|n| n.to_string()),
        any::<f64>().prop_map(|x| format!("{x:e}")),
        "[0-9]{1,400}",
        "-?[0-9]{1,3}e[0-9]{1,4}",
    ];
    let port =
        any::<u64>().prop_map(|port| format!("\"10.0.0.1:{}\"", port.saturating_add(65_536)));
    // Any bytes but quotes, backslashes and brackets, which end the text.
    let bytes = prop::collection::vec(any::<u8>(), 0..40).prop_map(|mut bytes| {
        bytes.retain(|b| !b"\"\\{}[],".contains(b));
        [b"\"\xff", bytes.as_slice(), b"\""].concat()
    });
    let text = prop_oneof![
        depth.clone().prop_map(nested_array),
        depth.prop_map(nested_object),
        number.prop_map(String::into_bytes),
        port.prop_map(String::into_bytes),
        bytes,
        prop::sample::select(unreadable_texts()),
    ];
    // No text is a valid value of the first two fields, and none of these of the third.
    let odd = (
        prop::sample::select(vec!["service", "state", "address"]),
        text,
    )
        .prop_map(|(field, text)| {
            let spec = server_text(&server_spec(), field, Some(&text));
            Entry::Odd(named_item("odd", &spec))
        });
    prop_oneof![Just(Entry::Valid), odd]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 512,
        rng_seed: proptest::test_runner::RngSeed::Fixed(39),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// What is odd is reported with its name, all others hold.
    #[test]
    fn any_mixture_is_told_apart(entries in prop::collection::vec(entries(), 0..12)) {
        let texts = entries.iter().enumerate().map(|(number, entry)| match entry {
            Entry::Valid => valid_item(number),
            Entry::Odd(text) => text.clone(),
        });
        let items: Vec<Vec<u8>> = texts.collect();
        let is_valid = |(number, entry): (usize, &Entry)| {
            matches!(entry, Entry::Valid).then(|| valid_name(number))
        };
        let valid: Vec<String> = entries.iter().enumerate().filter_map(is_valid).collect();
        let calls = [
            (list(Kind::BackendServers), list_body(&items, false)),
            (watch(Kind::BackendServers), watch_body(&items)),
        ];
        for (call, body) in calls {
            let ParsedAnswer { answer, malformed } = read(&call, &body);
            prop_assert_eq!(&usable(answer), &valid);
            prop_assert_eq!(reported(&malformed), vec!["odd"; entries.len() - valid.len()]);
        }
    }

    /// No change of a valid answer ends the process, whatever is read from it.
    #[test]
    fn any_damage_to_an_answer_is_borne(
        at in any::<prop::sample::Index>(),
        len in 0..40_usize,
        bytes in prop::collection::vec(any::<u8>(), 0..40),
    ) {
        let items: Vec<Vec<u8>> = (0..4).map(valid_item).collect();
        for (call, mut body) in [
            (list(Kind::BackendServers), list_body(&items, false)),
            (list(Kind::Configuration), list_body(&items, true)),
            (watch(Kind::BackendServers), watch_body(&items)),
            (StoreCall::Lookup, list_body(&items, false)),
        ] {
            let start = at.index(body.len());
            let end = (start + len).min(body.len());
            body.splice(start..end, bytes.iter().copied());
            let _ = read(&call, &body);
        }
    }
}
