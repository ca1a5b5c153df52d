//! What a new contract may change in the active one.

use std::sync::Arc;

use control::ChangeError;
use control::ConfigWriter;
use control::Operation;
use control::load;
use model::HostState;
use model::TeamRef;
use model::contract::parse_contract;
use model::key::KeyHolder;
use model::key::KeyState;
use rstest::rstest;
use services::MemoryTable;

const CONTRACT: &str = r#"
customer = "levy"
profile = "share"
[[teams]]
name = "officers"
running_max = 4
[[teams]]
name = "verifiers"
running_max = 4
[[services]]
name = "validate"
unavailable_max = 1
[[pools]]
name = "a"
service = "validate"
[[pools]]
name = "b"
[[hosts]]
name = "w1"
pool = "a"
address = "127.0.0.1:1"
zone = "z"
rack = "r"
slots = 8
connections_max = 64
processors = 16
memory_mib = 32768
[[hosts]]
name = "w2"
pool = "a"
address = "127.0.0.1:2"
zone = "z"
rack = "r"
slots = 8
connections_max = 64
processors = 16
memory_mib = 32768
"#;

struct Fixture {
    table: MemoryTable,
    writer: ConfigWriter,
}

impl Fixture {
    async fn new() -> Self {
        let fixture = Self { table: MemoryTable::default(), writer: ConfigWriter::new("test") };
        fixture.apply(CONTRACT).await.unwrap();
        fixture
    }

    async fn apply(&self, text: &str) -> Result<u64, ChangeError> {
        let contract = parse_contract("levy.toml", text).unwrap();
        self.writer.apply_contract_as(&self.table, &Operation::new("anna"), contract, None).await
    }

    async fn set_state(&self, id: &str, state: HostState) {
        let config = load(&self.table).await.unwrap();
        let mut host = config.host(id).unwrap().clone();
        host.state = state;
        host.epoch += 1;
        self.writer.put_host(&self.table, host).await.unwrap();
    }
}

fn without_w2() -> String {
    CONTRACT[..CONTRACT.rfind("[[hosts]]").unwrap()].to_owned()
}

async fn head_digest(table: &MemoryTable) -> Option<String> {
    let row = services::Table::get(table, "config/head").await.unwrap().unwrap();
    serde_json::from_slice::<control::Head>(&row.value).unwrap().digest
}

#[tokio::test]
async fn only_a_drained_host_can_be_removed() {
    let fixture = Fixture::new().await;
    let refusal = fixture.apply(&without_w2()).await.unwrap_err().to_string();
    assert!(refusal.contains("savorypitch host drain w2"), "{refusal}");
    assert_eq!(load(&fixture.table).await.unwrap().version, 1);

    fixture.set_state("w2", HostState::Drained).await;
    fixture.apply(&without_w2()).await.unwrap();
    let config = load(&fixture.table).await.unwrap();
    assert!(config.host("w2").is_none() && config.host("w1").is_some());
    assert_eq!(Some(config.digest()), head_digest(&fixture.table).await);
}

#[rstest]
#[case::removed_pool_with_hosts(
    &[("name = \"a\"\nservice", "name = \"c\"\nservice"), ("pool = \"a\"", "pool = \"c\"")],
    "host move w1"
)]
#[case::changed_pool_of_a_host(
    &[("pool = \"a\"\naddress = \"127.0.0.1:2\"", "pool = \"b\"\naddress = \"127.0.0.1:2\"")],
    "host move w2 b"
)]
#[case::changed_address_of_a_serving_host(&[("127.0.0.1:2", "127.0.0.1:3")], "host drain w2")]
#[tokio::test]
async fn invalid_contract_is_refused_without_any_effect(
    #[case] edits: &[(&str, &str)],
    #[case] hint: &str,
) {
    let fixture = Fixture::new().await;
    let mut text = CONTRACT.replace("running_max = 4", "running_max = 9");
    for (from, to) in edits {
        assert!(text.contains(from));
        text = text.replace(from, to);
    }
    let refusal = fixture.apply(&text).await.unwrap_err().to_string();
    assert!(refusal.contains(hint), "{refusal}");
    let config = load(&fixture.table).await.unwrap();
    assert_eq!(config.team(&TeamRef::new("levy", "officers")).unwrap().running_max, 4);
}

#[tokio::test]
async fn slots_change_immediately_and_keys_of_a_removed_team_are_withdrawn() {
    let fixture = Fixture::new().await;
    let holder = KeyHolder::Team(TeamRef::new("levy", "verifiers"));
    let grant = Operation::new("anna");
    let granted = fixture.writer.grant_as(&fixture.table, &grant, holder.clone()).await;
    let (secret, _) = granted.unwrap();
    let repeat = fixture.writer.grant_as(&fixture.table, &grant, holder).await;
    assert!(matches!(repeat, Err(ChangeError::Invalid { .. })), "{repeat:?}");

    let text = CONTRACT
        .replace("[[teams]]\nname = \"verifiers\"\nrunning_max = 4\n", "")
        .replace("slots = 8", "slots = 4");
    fixture.apply(&text).await.unwrap();
    let config = load(&fixture.table).await.unwrap();
    assert_eq!(config.host("w1").unwrap().spec.slots, 4);
    assert!(config.granted_key(&secret).is_none());
    assert_eq!(config.keys[0].state, KeyState::Withdrawn);
}

#[tokio::test]
async fn conflict_names_the_author_and_rows_of_the_other_change() {
    let fixture = Fixture::new().await;
    let contract = parse_contract("levy.toml", CONTRACT).unwrap();
    let seen = Some(1);
    let table = &fixture.table;
    let anna = Operation::new("anna");
    fixture.writer.apply_contract_as(table, &anna, contract.clone(), seen).await.unwrap();
    let ben = Operation::new("ben");
    let error = fixture.writer.apply_contract_as(table, &ben, contract, seen).await.unwrap_err();
    assert_eq!(
        error.to_string(),
        "version 1 is no longer in force: version 2 by anna changed contract/levy"
    );
}

#[tokio::test]
async fn change_rows_are_bounded_and_a_follower_far_behind_reloads() {
    let fixture = Fixture::new().await;
    let outdated = Arc::new(load(&fixture.table).await.unwrap());
    for _ in 0..1_100 {
        fixture.apply(CONTRACT).await.unwrap();
    }
    assert_eq!(fixture.table.count("config/change/"), 1024);
    assert_eq!(fixture.table.count("config/operation/"), 1024);
    assert_eq!(fixture.table.count("op/"), 1024);
    let control::PollResult::Newer(config) =
        control::poll(&fixture.table, &outdated).await.unwrap()
    else {
        panic!("the follower is behind and must reload");
    };
    assert_eq!(config, load(&fixture.table).await.unwrap());
}
