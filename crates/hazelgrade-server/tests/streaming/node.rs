//! A node, and a control service that says what the test wants.

use super::*;
use hazelgrade_fakes::callers::{CallersReport, JobOutcome};
use hazelgrade_fakes::control_service::version;
use hazelgrade_fakes::documents::{BOOK, READ};
use hazelgrade_fakes::{rule_check, wait_until};
use hazelgrade_stream::protocol::Content;
use std::process::Command;
use std::time::Instant;

const CUT_OFF: Duration = Duration::from_secs(3);
const GRACE: Duration = Duration::from_millis(250);

#[test]
fn a_cold_node_waits_not_ready_serves_by_its_first_version_and_starts_by_it_again_without_a_control_service()
{
    let world = TestEnvironment::new(QUICK);
    let mut node = world.node(SHORT_TRIAL);
    let (mut subscriber, have) = world.subscriber();
    assert_eq!(have, None);
    assert!(node.wait_until_ready(false));
    let callers = world.callers(&node, 100.0, &["read"]);
    assert!(wait_until(Duration::from_secs(5), || callers.count() >= 5));
    assert!(
        callers.results().iter().all(|told| told.outcome == JobOutcome::Rejected),
        "nothing to serve by yet"
    );
    made_good(&mut subscriber, 1, &doc(&[READ], ""));
    assert!(node.wait_until_ready(true));
    assert!(wait_until(Duration::from_secs(5), || {
        callers.results().iter().filter(|told| told.outcome == JobOutcome::Succeeded).count() > 20
    }));
    let CallersReport { results: told, unmatched_answers: twice } = callers.stop();
    let verdict = rule_check::check(&told, twice, &world.executor.runs(), CUT_OFF, GRACE);
    assert!(verdict.passed(), "{verdict}");

    // The control service is gone for good, and the node is killed.
    drop((subscriber, world.control));
    world.executor.restart();
    node.restart().expect("it starts");
    assert!(node.wait_until_ready(true));
}

#[test]
fn a_cold_node_with_a_file_serves_by_it_while_there_is_no_control_service() {
    let world = TestEnvironment::new(QUICK);
    let file = world.world.directory.path().join("first.toml");
    std::fs::write(&file, doc(&[READ], "").to_toml()).expect("a file");
    let mut plan = world.plan(&format!("document = {file:?}\n{SHORT_TRIAL}"));
    plan.control = vec![free_address()];
    let node = plan.start().expect("it starts");
    assert!(node.wait_until_ready(true));
    let callers = world.callers(&node, 100.0, &["read"]);
    assert!(wait_until(Duration::from_secs(5), || callers.count() >= 20));
    let CallersReport { results: told, .. } = callers.stop();
    assert!(told.iter().all(|told| told.outcome == JobOutcome::Succeeded), "{told:?}");
}

#[test]
fn versions_out_of_order_twice_with_a_gap_or_false_are_answered_for_what_they_are_and_change_nothing() {
    let world = TestEnvironment::new(QUICK);
    let node = world.node(SHORT_TRIAL);
    let (mut subscriber, _) = world.subscriber();
    let (first, second, third) = (doc(&[READ], ""), doc(&[READ, BOOK], ""), doc(&[BOOK], ""));
    made_good(&mut subscriber, 1, &first);
    // With a gap: numbers only have to grow.
    subscriber.offer_delta(5, (1, &first), &second);
    assert_eq!(acknowledged(subscriber.receive()).number, 5);
    // Twice.
    subscriber.offer_full(5, &second);
    assert_eq!(acknowledged(subscriber.receive()).number, 5);
    assert_eq!(settled(subscriber.receive()), None);
    // Out of order, and the same number with something else.
    subscriber.offer_full(4, &third);
    assert_eq!(turned_down(subscriber.receive()), Rejection::Outdated { known: version(5, &second) });
    subscriber.offer_full(5, &third);
    assert_eq!(turned_down(subscriber.receive()), Rejection::Conflict { known: version(5, &second) });
    // Against a version that the node doesn't have, and with a digest that isn't the contents'.
    subscriber.offer_delta(6, (3, &third), &first);
    assert_eq!(turned_down(subscriber.receive()), Rejection::UnknownBase);
    subscriber.offer(version(6, &third), Content::Full(first.to_toml()));
    assert_eq!(turned_down(subscriber.receive()), Rejection::DigestMismatch);
    // Of somebody else.
    subscriber.offer_in_lineage("other", version(9, &third), Content::Full(third.to_toml()));
    assert_eq!(turned_down(subscriber.receive()), Rejection::OtherLineage { own: "test".into() });
    // Wrong in itself: file, line, column and field are named.
    let wrong = "[use_case.read]\ngoal_ms = 5\ncut_off_ms = \"soon\"\n";
    subscriber.offer(version(6, &third), Content::Full(wrong.into()));
    let Rejection::Invalid(why) = turned_down(subscriber.receive()) else { panic!("not malformed") };
    assert!(why.contains(":3:1: field use_case.read.cut_off_ms: expected a number"), "{why}");
    // After all that it serves by what it had.
    let callers = world.callers(&node, 100.0, &["read", "book"]);
    assert!(wait_until(Duration::from_secs(5), || callers.count() >= 20));
    assert!(callers.stop().results.iter().all(|told| told.outcome == JobOutcome::Succeeded));
}

#[test]
fn in_a_drain_neither_a_malformed_version_nor_a_valid_one_is_taken_and_all_is_answered() {
    let world = TestEnvironment::new(Workload { job_duration: Duration::from_millis(300), ..QUICK });
    let mut node = world.node(SHORT_TRIAL);
    let (mut subscriber, _) = world.subscriber();
    made_good(&mut subscriber, 1, &doc(&[READ], ""));
    let callers = world.callers(&node, 30.0, &["read"]);
    assert!(wait_until(Duration::from_secs(5), || world.executor.running() >= 4));
    assert!(node.signal("TERM"));
    assert!(
        wait_until(Duration::from_secs(5), || world.registry.last_state("n1").as_deref() == Some("draining"))
    );
    subscriber.write(b"{\"jsonrpc\":\"2.0\",\"method\":\"offer\",\"id\":7,\"params\":{\"lineage\":\"test\",\"whole\":\"[\"}}\n");
    // What is no offer at all ends the connection; the node comes again.
    assert_eq!(subscriber.receive(), None);
    let (mut subscriber, have) = world.subscriber();
    assert_eq!(have.map(|have| have.number), Some(1));
    subscriber.offer(version(2, &doc(&[BOOK], "")), Content::Full("[use_case".into()));
    assert_eq!(turned_down(subscriber.receive()), Rejection::Draining);
    subscriber.offer_full(3, &doc(&[BOOK], ""));
    assert_eq!(turned_down(subscriber.receive()), Rejection::Draining);
    let CallersReport { results: told, unmatched_answers: twice } = callers.stop();
    assert_eq!(node.wait_for_exit().and_then(|status| status.code()), Some(0));
    let verdict = rule_check::check(&told, twice, &world.executor.runs(), CUT_OFF, GRACE);
    assert!(verdict.passed() && verdict.count_of(JobOutcome::Succeeded) > 0, "{verdict}");
}

#[test]
fn a_version_without_a_use_case_lets_its_jobs_in_hand_end_and_bounces_what_comes_after() {
    let world = TestEnvironment::new(Workload { job_duration: Duration::from_millis(400), ..QUICK });
    let node = world.node(LONG_TRIAL);
    let (mut subscriber, _) = world.subscriber();
    subscriber.offer_full(1, &doc(&[READ, BOOK], ""));
    acknowledged(subscriber.receive());
    let callers = world.callers(&node, 40.0, &["book"]);
    assert!(wait_until(Duration::from_secs(5), || world.executor.running() >= 4));
    // A later one that comes while one is on trial waits; one of the same contents as before takes its place at once. Here
    // the node is started anew, so that the trial is over, and knows its jobs in hand are gone.
    let CallersReport { results: told, .. } = callers.stop();
    assert!(told.iter().all(|told| told.outcome != JobOutcome::Lost), "{told:?}");
    drop(node);

    let world = TestEnvironment::new(Workload { job_duration: Duration::from_millis(400), ..QUICK });
    let node = world.node(SHORT_TRIAL);
    let (mut subscriber, _) = world.subscriber();
    made_good(&mut subscriber, 1, &doc(&[READ, BOOK], ""));
    let callers = world.callers(&node, 40.0, &["book"]);
    assert!(wait_until(Duration::from_secs(5), || world.executor.running() >= 4));
    let in_hand: Vec<String> = world.executor.runs().into_keys().collect();
    subscriber.offer_full(2, &doc(&[READ], ""));
    assert_eq!(acknowledged(subscriber.receive()).number, 2);
    let taken = Instant::now();
    assert!(wait_until(Duration::from_secs(5), || {
        callers.results().iter().any(|told| told.sent > taken && told.outcome == JobOutcome::Rejected)
    }));
    assert!(wait_until(Duration::from_secs(5), || world.executor.running() == 0));
    let CallersReport { results: told, unmatched_answers: twice } = callers.stop();
    let verdict = rule_check::check(&told, twice, &world.executor.runs(), CUT_OFF, GRACE);
    assert!(verdict.passed(), "{verdict}");
    let succeeded =
        |id: &String| told.iter().any(|told| told.id == *id && told.outcome == JobOutcome::Succeeded);
    assert!(in_hand.iter().all(succeeded), "jobs in hand end as they would have");
    let after = told.iter().filter(|told| told.sent > taken + GRACE);
    assert!(after.clone().count() > 0 && after.clone().all(|told| told.outcome == JobOutcome::Rejected));
}

#[test]
fn service_that_falls_takes_the_node_back_to_the_last_good_version() {
    let world = TestEnvironment::new(Workload { job_duration: Duration::from_millis(30), ..QUICK });
    let node = world.node("[stream.trial]\nspan_ms = 2000\nleast_jobs = 20\n");
    let (mut subscriber, _) = world.subscriber();
    made_good(&mut subscriber, 1, &doc(&[READ], ""));
    let callers = world.callers(&node, 100.0, &["read"]);
    assert!(wait_until(Duration::from_secs(5), || callers.count() >= 60));
    // No job can be done in so little time.
    let hasty = doc(&[("read", 2, 10, 1)], "");
    subscriber.offer_full(2, &hasty);
    assert_eq!(acknowledged(subscriber.receive()).number, 2);
    let why = settled(subscriber.receive()).expect("it goes back");
    assert!(why.contains("of 100 jobs were satisfied"), "{why}");
    subscriber.offer_full(2, &hasty);
    assert!(matches!(turned_down(subscriber.receive()), Rejection::FailedTrial(_)));
    let back = Instant::now();
    let so = wait_until(Duration::from_secs(5), || {
        let since: Vec<JobOutcome> =
            callers.results().iter().filter(|told| told.sent > back).map(|told| told.outcome).collect();
        since.len() >= 20 && since.iter().all(|fate| *fate == JobOutcome::Succeeded)
    });
    assert!(so, "after it went back all is as before");
    callers.stop();
}

#[test]
fn two_deaths_on_trial_make_a_version_suspect_for_good() {
    let world = TestEnvironment::new(QUICK);
    let mut node = world.node("[stream.trial]\nspan_ms = 1500\n");
    let (mut subscriber, _) = world.subscriber();
    let (good, deadly) = (doc(&[READ], ""), doc(&[READ, BOOK], ""));
    made_good(&mut subscriber, 1, &good);
    for death in 1..=2 {
        subscriber.offer_full(2, &deadly);
        assert_eq!(acknowledged(subscriber.receive()).number, 2);
        world.executor.restart();
        node.restart().expect("it starts");
        let have;
        (subscriber, have) = world.subscriber();
        assert_eq!(have, Some(version(1, &good)), "it starts by the last good version");
        let why = settled(subscriber.receive()).expect("it says what became of the other");
        assert!(why.contains(&format!("{death} of 2")), "{why}");
        assert!(node.wait_until_ready(true));
    }
    subscriber.offer_full(2, &deadly);
    assert_eq!(turned_down(subscriber.receive()), Rejection::CrashedOnTrial);
    subscriber.offer_full(3, &deadly);
    assert_eq!(turned_down(subscriber.receive()), Rejection::CrashedOnTrial);
}

#[test]
fn a_stop_in_a_trial_is_no_death() {
    let world = TestEnvironment::new(QUICK);
    let mut node = world.node("[stream.trial]\nspan_ms = 1500\n");
    let (mut subscriber, _) = world.subscriber();
    made_good(&mut subscriber, 1, &doc(&[READ], ""));
    subscriber.offer_full(2, &doc(&[BOOK], ""));
    acknowledged(subscriber.receive());
    assert!(node.signal("TERM"));
    assert_eq!(node.wait_for_exit().and_then(|status| status.code()), Some(0));
    world.executor.restart();
    node.restart().expect("it starts");
    let (mut subscriber, have) = world.subscriber();
    assert_eq!(have.map(|have| have.number), Some(1));
    subscriber.offer_full(2, &doc(&[BOOK], ""));
    assert_eq!(acknowledged(subscriber.receive()).number, 2, "nothing is held against it");
}

#[test]
fn a_message_of_100_mb_or_one_that_trickles_costs_neither_service_nor_memory() {
    let world = TestEnvironment::new(QUICK);
    let node = world.node(SHORT_TRIAL);
    let (mut subscriber, _) = world.subscriber();
    made_good(&mut subscriber, 1, &doc(&[READ], ""));
    let callers = world.callers(&node, 200.0, &["read"]);
    let chunk = vec![b'x'; 1024 * 1024];
    let sent = (0..100).take_while(|_| subscriber.write(&chunk)).count();
    assert!(sent < 100, "the node did not read all of it");
    let (mut subscriber, have) = world.subscriber();
    assert_eq!(have.map(|have| have.number), Some(1));
    // A byte at a time, without end: the node hangs up once a message is not whole in its time.
    let began = Instant::now();
    while subscriber.write(b"{") && began.elapsed() < Duration::from_secs(20) {
        std::thread::sleep(Duration::from_millis(20));
    }
    let lasted = began.elapsed();
    assert!(lasted > Duration::from_secs(8) && lasted < Duration::from_secs(15), "{lasted:?}");
    let CallersReport { results: told, unmatched_answers: twice } = callers.stop();
    let verdict = rule_check::check(&told, twice, &world.executor.runs(), CUT_OFF, GRACE);
    assert!(verdict.passed() && verdict.count_of(JobOutcome::Succeeded) == verdict.count, "{verdict}");
}

#[test]
fn the_rules_are_kept_while_a_version_comes_each_50_ms_under_load() {
    let world = TestEnvironment::new(Workload {
        cores: 4,
        job_duration: Duration::from_millis(10),
        makes_call: true,
    });
    let node = world.node("[stream.trial]\nspan_ms = 100\nleast_jobs = 1000000\n");
    let (mut subscriber, _) = world.subscriber();
    made_good(&mut subscriber, 1, &doc(&[READ, BOOK], ""));
    let callers = world.callers(&node, 400.0, &["read", "book"]);
    let hearing = std::cell::Cell::new((0, 0));
    for number in 2..62 {
        // Each differs in a figure that bears on decisions.
        let (goal, priority_weight) = (900 + 10 * (number as u32 % 7), 1 + number as u32 % 3);
        let cases = [("read", goal, 3000, priority_weight), BOOK, ("extra", goal, 3000, 1)];
        let next = doc(
            &cases[..2 + number as usize % 2],
            &format!("[promises]\nanswer_slack_ms = {}\n", 60 + number % 5),
        );
        subscriber.offer_full(number, &next);
        std::thread::sleep(Duration::from_millis(50));
    }
    while let Some(said) = subscriber.receive() {
        let (good, other) = hearing.get();
        match said {
            SubscriberMessage::TrialEnded { failure: None, version } => {
                hearing.set((good + 1, other));
                if version.number == 61 {
                    break;
                }
            }
            SubscriberMessage::TrialEnded { failure: Some(why), .. } => panic!("{why}"),
            _ => hearing.set((good, other + 1)),
        }
    }
    assert!(hearing.get().0 >= 10, "{:?}", hearing.get());
    let CallersReport { results: told, unmatched_answers: twice } = callers.stop();
    let verdict = rule_check::check(&told, twice, &world.executor.runs(), CUT_OFF, GRACE);
    assert!(verdict.passed(), "{verdict}");
    assert!(verdict.count_of(JobOutcome::Succeeded) as f64 > 0.95 * verdict.count as f64, "{verdict}");
}

#[test]
fn a_store_of_a_newer_program_is_left_as_it_is_and_the_node_serves_by_its_file() {
    let world = TestEnvironment::new(QUICK);
    let file = world.world.directory.path().join("first.toml");
    std::fs::write(&file, doc(&[READ], "").to_toml()).expect("a file");
    let plan = world.plan(&format!("document = {file:?}\n{SHORT_TRIAL}"));
    {
        let newer = redb::Database::create(plan.store_file()).expect("a store");
        let writing = newer.begin_write().expect("a write");
        {
            let about: redb::TableDefinition<&str, &[u8]> = redb::TableDefinition::new("about");
            let mut about = writing.open_table(about).expect("a table");
            about.insert("form", 99u64.to_le_bytes().as_slice()).expect("a value");
            about.insert("owner", b"n1".as_slice()).expect("a value");
        }
        writing.commit().expect("kept");
    }
    let mut node = NodeConfig { log: "error".into(), ..plan }.start().expect("it starts");
    let (mut subscriber, have) = world.subscriber();
    assert_eq!(have, None);
    assert!(node.wait_until_ready(true), "by its file");
    subscriber.offer_full(1, &doc(&[BOOK], ""));
    let Rejection::NotStored(why) = turned_down(subscriber.receive()) else { panic!("it took it") };
    assert!(why.contains("newer program"), "{why}");
    node.kill();
    let newer = redb::Database::create(node.config.store_file()).expect("still a store");
    let reading = redb::ReadableDatabase::begin_read(&newer).expect("a reading");
    let about = redb::TableDefinition::<&str, &[u8]>::new("about");
    let about = reading.open_table(about).expect("a table");
    let form = redb::ReadableTable::get(&about, "form").expect("a value").map(|form| form.value().to_vec());
    assert_eq!(form.as_deref(), Some(99u64.to_le_bytes().as_slice()));
    assert_eq!(
        redb::TableHandle::name(&reading.list_tables().expect("tables").next().expect("one")),
        "about"
    );
    assert_eq!(reading.list_tables().expect("tables").count(), 1, "nothing was added");
}

#[test]
fn what_was_kept_and_cannot_be_read_is_put_aside_and_not_lost() {
    let world = TestEnvironment::new(QUICK);
    let file = world.world.directory.path().join("first.toml");
    std::fs::write(&file, doc(&[READ], "").to_toml()).expect("a file");
    let plan = NodeConfig { log: "off".into(), ..world.plan(&format!("document = {file:?}\n{SHORT_TRIAL}")) };
    let strange: &[u8] = b"{\"good\": {\"text\": \"of another age\"}}";
    let open = || hazelgrade_store::Store::open(&plan.store_file(), "n1").expect("a store");
    open()
        .commit(&[(hazelgrade_stream::stored::store_key(hazelgrade_config::Kind::Serving), Some(strange))])
        .expect("it is kept");
    let mut node = plan.start().expect("it starts");
    assert!(node.wait_until_ready(true), "by its file");
    let (mut subscriber, have) = world.subscriber();
    assert_eq!(have, None);
    made_good(&mut subscriber, 1, &doc(&[BOOK], ""));
    node.kill();
    assert_eq!(open().get("configuration.unread"), Ok(Some(strange.to_vec())));
}

#[test]
fn a_store_of_another_node_ends_the_start_with_one_line_that_names_the_field() {
    let world = TestEnvironment::new(QUICK);
    let plan = world.plan(SHORT_TRIAL);
    drop(hazelgrade_store::Store::open(&plan.store_file(), "n2").expect("a store"));
    let mut node = NodeConfig { log: "off".into(), ..plan }.start().expect("it starts");
    assert_eq!(node.wait_for_exit().and_then(|status| status.code()), Some(2));
}

#[test]
fn on_a_full_disk_a_version_is_turned_down_and_the_last_good_one_serves_on() {
    let world = TestEnvironment::new(QUICK);
    let small = doc(&[READ], "");
    let mut plan = world.plan(SHORT_TRIAL);
    {
        let mut node = plan.start().expect("it starts");
        let (mut subscriber, _) = world.subscriber();
        made_good(&mut subscriber, 1, &small);
        node.kill();
    }
    // The file may not grow past what it is, which the node hears as it would hear of a full disk.
    let blocks = std::fs::metadata(plan.store_file()).expect("a store").len().div_ceil(512);
    let limited = format!("trap '' XFSZ; ulimit -f {blocks}; exec \"$0\" \"$@\"");
    plan.arguments = vec!["-c".into(), limited, plan.program.display().to_string()];
    plan.program = "/bin/sh".into();
    world.executor.restart();
    let node = NodeConfig { log: "off".into(), ..plan }.start().expect("it starts");
    let (mut subscriber, have) = world.subscriber();
    assert_eq!(have, Some(version(1, &small)));
    let large = document(&[READ, BOOK], 3000, "").expect("it is right");
    subscriber.offer_full(2, &large);
    let Rejection::NotStored(why) = turned_down(subscriber.receive()) else { panic!("it took it") };
    assert!(why.contains("full"), "{why}");
    assert!(node.wait_until_ready(true));
    // What fits is taken again.
    made_good(&mut subscriber, 3, &doc(&[BOOK], ""));
}

#[test]
fn what_only_a_start_takes_in_is_staged_and_said_and_taken_at_the_next() {
    let world = TestEnvironment::new(QUICK);
    let mut node = world.node(SHORT_TRIAL);
    let (mut subscriber, _) = world.subscriber();
    made_good(&mut subscriber, 1, &doc(&[READ], ""));
    subscriber.offer_full(2, &doc(&[READ], "[limits]\nsockets = 64\n"));
    let Some(SubscriberMessage::Acknowledged { staged, .. }) = subscriber.receive() else {
        panic!("not acknowledged")
    };
    assert_eq!(staged, ["limits.sockets"]);
    assert_eq!(settled(subscriber.receive()), None);
    world.executor.restart();
    node.restart().expect("it starts");
    assert!(node.wait_until_ready(true));
    // 64 descriptors leave 16 for clients; past that those longest idle are closed.
    let clients: Vec<_> =
        (0..40).filter_map(|_| std::net::TcpStream::connect(node.config.listen).ok()).collect();
    let closed = |stream: &std::net::TcpStream| {
        let mut byte = [0];
        let _ = stream.set_nonblocking(true);
        matches!(std::io::Read::read(&mut &*stream, &mut byte), Ok(0))
    };
    assert!(
        wait_until(Duration::from_secs(5), || clients.iter().filter(|client| closed(client)).count() >= 20)
    );
}

#[test]
fn wrong_files_end_a_check_with_the_file_the_line_and_the_field() {
    let folder = tempfile::tempdir().expect("a folder");
    let run = |option: &str, text: &str| {
        let path = folder.path().join("wrong.toml");
        std::fs::write(&path, text).expect("a file");
        let output = Command::new(env!("CARGO_BIN_EXE_hazelgrade"))
            .args(["check", option])
            .arg(&path)
            .env_remove("PROXY_CONFIG")
            .output()
            .expect("it starts");
        (output.status.code(), String::from_utf8_lossy(&output.stderr).into_owned())
    };
    let (code, said) = run("--operator", "[stream]\ncontrol = [\"here\"]\nstore = \"x\"\n");
    assert_eq!(code, Some(2));
    assert!(said.contains("wrong.toml:2:1: field stream.control: expected 1 to 8 addresses"), "{said}");
    let (code, said) = run("--document", "[use_case.read]\ngoal_ms = 9\ncut_off_ms = 5\nearning = 1\n");
    assert_eq!(code, Some(2));
    assert!(said.contains("wrong.toml:2:1: field use_case.read.goal_ms: expected the goal time"), "{said}");
    assert!(said.contains("wrong.toml:4:1: field use_case.read.earning: there is no such field"), "{said}");
    let (code, _) = run("--document", "[use_case.read]\ngoal_ms = 5\ncut_off_ms = 9\n");
    assert_eq!(code, Some(0));
}
