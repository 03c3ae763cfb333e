//! A node with a fake control service, whose messages each test chooses.

use super::*;
use hazelgrade_fakes::callers::{CallersReport, JobOutcome};
use hazelgrade_fakes::control_service::version;
use hazelgrade_fakes::documents::{BOOK, READ};
use hazelgrade_fakes::{rule_check, wait_until};
use hazelgrade_stream::protocol::Content;
use std::process::Command;
use std::time::Instant;

const DEADLINE: Duration = Duration::from_secs(3);
const TIME_MARGIN: Duration = Duration::from_millis(250);

#[test]
fn a_node_without_a_version_is_not_ready_until_its_first_one_and_restarts_with_it_without_a_control_service()
{
    let environment = TestEnvironment::new(FAST_WORKLOAD);
    let mut node = environment.node(SHORT_TRIAL);
    let (mut subscriber, in_effect) = environment.subscriber();
    assert_eq!(in_effect, None);
    assert!(node.wait_until_ready(false));
    let callers = environment.callers(&node, 100.0, &["read"]);
    assert!(wait_until(Duration::from_secs(5), || callers.count() >= 5));
    assert!(
        callers.results().iter().all(|result| result.outcome == JobOutcome::Rejected),
        "a node without a version rejects every job"
    );
    complete_trial(&mut subscriber, 1, &doc(&[READ], ""));
    assert!(node.wait_until_ready(true));
    assert!(wait_until(Duration::from_secs(5), || {
        callers.results().iter().filter(|result| result.outcome == JobOutcome::Succeeded).count() > 20
    }));
    let CallersReport { results, unmatched_answers } = callers.stop();
    let verdict =
        rule_check::check(&results, unmatched_answers, &environment.executor.runs(), DEADLINE, TIME_MARGIN);
    assert!(verdict.passed(), "{verdict}");

    // The control service is stopped for good, and the node is killed and restarted.
    drop((subscriber, environment.control));
    environment.executor.restart();
    node.restart().expect("the node restarts");
    assert!(node.wait_until_ready(true));
}

#[test]
fn a_node_with_an_empty_store_serves_by_its_file_while_there_is_no_control_service() {
    let environment = TestEnvironment::new(FAST_WORKLOAD);
    let file = environment.base.directory.path().join("first.toml");
    std::fs::write(&file, doc(&[READ], "").to_toml()).expect("the document file is written");
    let mut config = environment.node_config(&format!("document = {file:?}\n{SHORT_TRIAL}"));
    config.control = vec![free_address()];
    let node = config.start().expect("the node starts");
    assert!(node.wait_until_ready(true));
    let callers = environment.callers(&node, 100.0, &["read"]);
    assert!(wait_until(Duration::from_secs(5), || callers.count() >= 20));
    let CallersReport { results, .. } = callers.stop();
    assert!(results.iter().all(|result| result.outcome == JobOutcome::Succeeded), "{results:?}");
}

#[test]
fn outdated_repeated_conflicting_and_invalid_versions_are_answered_as_such_and_change_nothing() {
    let environment = TestEnvironment::new(FAST_WORKLOAD);
    let node = environment.node(SHORT_TRIAL);
    let (mut subscriber, _) = environment.subscriber();
    let (first, second, third) = (doc(&[READ], ""), doc(&[READ, BOOK], ""), doc(&[BOOK], ""));
    complete_trial(&mut subscriber, 1, &first);
    // A gap in the numbers is accepted: numbers only have to increase.
    subscriber.offer_delta(5, (1, &first), &second);
    assert_eq!(acknowledged_version(subscriber.receive()).number, 5);
    // The same version a second time.
    subscriber.offer_full(5, &second);
    assert_eq!(acknowledged_version(subscriber.receive()).number, 5);
    assert_eq!(trial_failure(subscriber.receive()), None);
    // A lower number, and the same number with another document.
    subscriber.offer_full(4, &third);
    assert_eq!(rejection_reason(subscriber.receive()), Rejection::Outdated { known: version(5, &second) });
    subscriber.offer_full(5, &third);
    assert_eq!(rejection_reason(subscriber.receive()), Rejection::Conflict { known: version(5, &second) });
    // A difference to a version that the node doesn't have, and a digest that doesn't match the document.
    subscriber.offer_delta(6, (3, &third), &first);
    assert_eq!(rejection_reason(subscriber.receive()), Rejection::UnknownBase);
    subscriber.offer(version(6, &third), Content::Full(first.to_toml()));
    assert_eq!(rejection_reason(subscriber.receive()), Rejection::DigestMismatch);
    // A version of another lineage.
    subscriber.offer_in_lineage("other", version(9, &third), Content::Full(third.to_toml()));
    assert_eq!(rejection_reason(subscriber.receive()), Rejection::OtherLineage { own: "test".into() });
    // An invalid document: the rejection names line, column and field.
    let wrong = "[use_case.read]\ngoal_ms = 5\ncut_off_ms = \"soon\"\n";
    subscriber.offer(version(6, &third), Content::Full(wrong.into()));
    let Rejection::Invalid(why) = rejection_reason(subscriber.receive()) else {
        panic!("expected an invalid document")
    };
    assert!(why.contains(":3:1: field use_case.read.cut_off_ms: expected a number"), "{why}");
    // After all these rejections the node serves by the version that it had.
    let callers = environment.callers(&node, 100.0, &["read", "book"]);
    assert!(wait_until(Duration::from_secs(5), || callers.count() >= 20));
    assert!(callers.stop().results.iter().all(|result| result.outcome == JobOutcome::Succeeded));
}

#[test]
fn a_draining_node_accepts_no_version_and_answers_every_job() {
    let environment =
        TestEnvironment::new(Workload { job_duration: Duration::from_millis(300), ..FAST_WORKLOAD });
    let mut node = environment.node(SHORT_TRIAL);
    let (mut subscriber, _) = environment.subscriber();
    complete_trial(&mut subscriber, 1, &doc(&[READ], ""));
    let callers = environment.callers(&node, 30.0, &["read"]);
    assert!(wait_until(Duration::from_secs(5), || environment.executor.running() >= 4));
    assert!(node.signal("TERM"));
    assert!(wait_until(Duration::from_secs(5), || environment.registry.last_state("n1").as_deref()
        == Some("draining")));
    subscriber.write(b"{\"jsonrpc\":\"2.0\",\"method\":\"offer\",\"id\":7,\"params\":{\"lineage\":\"test\",\"whole\":\"[\"}}\n");
    // A malformed message ends the connection, and the node reconnects.
    assert_eq!(subscriber.receive(), None);
    let (mut subscriber, in_effect) = environment.subscriber();
    assert_eq!(in_effect.map(|in_effect| in_effect.number), Some(1));
    subscriber.offer(version(2, &doc(&[BOOK], "")), Content::Full("[use_case".into()));
    assert_eq!(rejection_reason(subscriber.receive()), Rejection::Draining);
    subscriber.offer_full(3, &doc(&[BOOK], ""));
    assert_eq!(rejection_reason(subscriber.receive()), Rejection::Draining);
    let CallersReport { results, unmatched_answers } = callers.stop();
    assert_eq!(node.wait_for_exit().and_then(|status| status.code()), Some(0));
    let verdict =
        rule_check::check(&results, unmatched_answers, &environment.executor.runs(), DEADLINE, TIME_MARGIN);
    assert!(verdict.passed() && verdict.count_of(JobOutcome::Succeeded) > 0, "{verdict}");
}

#[test]
fn a_version_without_a_job_class_lets_jobs_in_flight_finish_and_rejects_later_ones() {
    let environment =
        TestEnvironment::new(Workload { job_duration: Duration::from_millis(400), ..FAST_WORKLOAD });
    let node = environment.node(LONG_TRIAL);
    let (mut subscriber, _) = environment.subscriber();
    subscriber.offer_full(1, &doc(&[READ, BOOK], ""));
    acknowledged_version(subscriber.receive());
    let callers = environment.callers(&node, 40.0, &["book"]);
    assert!(wait_until(Duration::from_secs(5), || environment.executor.running() >= 4));
    // A version offered during a trial waits for the end of that trial, except one with the previous content, which
    // takes effect at once. The second part of the test therefore uses a new node with short trials, which has no jobs in
    // flight from the first part.
    let CallersReport { results, .. } = callers.stop();
    assert!(results.iter().all(|result| result.outcome != JobOutcome::Lost), "{results:?}");
    drop(node);

    let environment =
        TestEnvironment::new(Workload { job_duration: Duration::from_millis(400), ..FAST_WORKLOAD });
    let node = environment.node(SHORT_TRIAL);
    let (mut subscriber, _) = environment.subscriber();
    complete_trial(&mut subscriber, 1, &doc(&[READ, BOOK], ""));
    let callers = environment.callers(&node, 40.0, &["book"]);
    assert!(wait_until(Duration::from_secs(5), || environment.executor.running() >= 4));
    let in_flight: Vec<String> = environment.executor.runs().into_keys().collect();
    subscriber.offer_full(2, &doc(&[READ], ""));
    assert_eq!(acknowledged_version(subscriber.receive()).number, 2);
    let applied_at = Instant::now();
    assert!(wait_until(Duration::from_secs(5), || {
        callers
            .results()
            .iter()
            .any(|result| result.sent > applied_at && result.outcome == JobOutcome::Rejected)
    }));
    assert!(wait_until(Duration::from_secs(5), || environment.executor.running() == 0));
    let CallersReport { results, unmatched_answers } = callers.stop();
    let verdict =
        rule_check::check(&results, unmatched_answers, &environment.executor.runs(), DEADLINE, TIME_MARGIN);
    assert!(verdict.passed(), "{verdict}");
    let succeeded = |id: &String| {
        results.iter().any(|result| result.id == *id && result.outcome == JobOutcome::Succeeded)
    };
    assert!(in_flight.iter().all(succeeded), "jobs in flight finish as without the new version");
    let after = results.iter().filter(|result| result.sent > applied_at + TIME_MARGIN);
    assert!(after.clone().count() > 0 && after.clone().all(|result| result.outcome == JobOutcome::Rejected));
}

#[test]
fn a_falling_success_rate_on_trial_rolls_the_node_back_to_the_last_good_version() {
    let environment =
        TestEnvironment::new(Workload { job_duration: Duration::from_millis(30), ..FAST_WORKLOAD });
    let node = environment.node("[stream.trial]\nspan_ms = 2000\nleast_jobs = 20\n");
    let (mut subscriber, _) = environment.subscriber();
    complete_trial(&mut subscriber, 1, &doc(&[READ], ""));
    let callers = environment.callers(&node, 100.0, &["read"]);
    assert!(wait_until(Duration::from_secs(5), || callers.count() >= 60));
    // No job can succeed within this deadline.
    let too_short_deadline = doc(&[("read", 2, 10, 1)], "");
    subscriber.offer_full(2, &too_short_deadline);
    assert_eq!(acknowledged_version(subscriber.receive()).number, 2);
    let why = trial_failure(subscriber.receive()).expect("the trial fails");
    assert!(why.contains("of 100 jobs were satisfied"), "{why}");
    subscriber.offer_full(2, &too_short_deadline);
    assert!(matches!(rejection_reason(subscriber.receive()), Rejection::FailedTrial(_)));
    let rolled_back_at = Instant::now();
    let recovered = wait_until(Duration::from_secs(5), || {
        let since: Vec<JobOutcome> = callers
            .results()
            .iter()
            .filter(|result| result.sent > rolled_back_at)
            .map(|result| result.outcome)
            .collect();
        since.len() >= 20 && since.iter().all(|outcome| *outcome == JobOutcome::Succeeded)
    });
    assert!(recovered, "after the rollback all jobs succeed again");
    callers.stop();
}

#[test]
fn a_version_on_trial_in_two_crashes_is_rejected_from_then_on() {
    let environment = TestEnvironment::new(FAST_WORKLOAD);
    let mut node = environment.node("[stream.trial]\nspan_ms = 1500\n");
    let (mut subscriber, _) = environment.subscriber();
    let (good, crashing) = (doc(&[READ], ""), doc(&[READ, BOOK], ""));
    complete_trial(&mut subscriber, 1, &good);
    for crash_count in 1..=2 {
        subscriber.offer_full(2, &crashing);
        assert_eq!(acknowledged_version(subscriber.receive()).number, 2);
        environment.executor.restart();
        node.restart().expect("the node restarts");
        let in_effect;
        (subscriber, in_effect) = environment.subscriber();
        assert_eq!(in_effect, Some(version(1, &good)), "the node starts by the last good version");
        let why = trial_failure(subscriber.receive()).expect("the node reports the failed trial");
        assert!(why.contains(&format!("{crash_count} of 2")), "{why}");
        assert!(node.wait_until_ready(true));
    }
    subscriber.offer_full(2, &crashing);
    assert_eq!(rejection_reason(subscriber.receive()), Rejection::CrashedOnTrial);
    subscriber.offer_full(3, &crashing);
    assert_eq!(rejection_reason(subscriber.receive()), Rejection::CrashedOnTrial);
}

#[test]
fn a_regular_shutdown_during_a_trial_does_not_count_as_a_crash() {
    let environment = TestEnvironment::new(FAST_WORKLOAD);
    let mut node = environment.node("[stream.trial]\nspan_ms = 1500\n");
    let (mut subscriber, _) = environment.subscriber();
    complete_trial(&mut subscriber, 1, &doc(&[READ], ""));
    subscriber.offer_full(2, &doc(&[BOOK], ""));
    acknowledged_version(subscriber.receive());
    assert!(node.signal("TERM"));
    assert_eq!(node.wait_for_exit().and_then(|status| status.code()), Some(0));
    environment.executor.restart();
    node.restart().expect("the node restarts");
    let (mut subscriber, in_effect) = environment.subscriber();
    assert_eq!(in_effect.map(|in_effect| in_effect.number), Some(1));
    subscriber.offer_full(2, &doc(&[BOOK], ""));
    assert_eq!(
        acknowledged_version(subscriber.receive()).number,
        2,
        "a regular shutdown doesn't count against the version"
    );
}

#[test]
fn a_message_of_100_mb_or_one_sent_byte_by_byte_costs_neither_jobs_nor_memory() {
    let environment = TestEnvironment::new(FAST_WORKLOAD);
    let node = environment.node(SHORT_TRIAL);
    let (mut subscriber, _) = environment.subscriber();
    complete_trial(&mut subscriber, 1, &doc(&[READ], ""));
    let callers = environment.callers(&node, 200.0, &["read"]);
    let chunk = vec![b'x'; 1024 * 1024];
    let sent = (0..100).take_while(|_| subscriber.write(&chunk)).count();
    assert!(sent < 100, "the node must not read all of the 100 MB");
    let (mut subscriber, in_effect) = environment.subscriber();
    assert_eq!(in_effect.map(|in_effect| in_effect.number), Some(1));
    // One byte at a time, without end: the node closes the connection when a message isn't complete within the time
    // limit.
    let started_at = Instant::now();
    while subscriber.write(b"{") && started_at.elapsed() < Duration::from_secs(20) {
        std::thread::sleep(Duration::from_millis(20));
    }
    let duration = started_at.elapsed();
    assert!(duration > Duration::from_secs(8) && duration < Duration::from_secs(15), "{duration:?}");
    let CallersReport { results, unmatched_answers } = callers.stop();
    let verdict =
        rule_check::check(&results, unmatched_answers, &environment.executor.runs(), DEADLINE, TIME_MARGIN);
    assert!(verdict.passed() && verdict.count_of(JobOutcome::Succeeded) == verdict.count, "{verdict}");
}

#[test]
fn the_rules_hold_while_a_version_is_offered_each_50_ms_under_load() {
    let environment = TestEnvironment::new(Workload {
        cores: 4,
        job_duration: Duration::from_millis(10),
        makes_call: true,
    });
    let node = environment.node("[stream.trial]\nspan_ms = 100\nleast_jobs = 1000000\n");
    let (mut subscriber, _) = environment.subscriber();
    complete_trial(&mut subscriber, 1, &doc(&[READ, BOOK], ""));
    let callers = environment.callers(&node, 400.0, &["read", "book"]);
    let message_counts = std::cell::Cell::new((0, 0));
    for number in 2..62 {
        // Each version differs from the one before in a setting that affects decisions.
        let (goal, priority_weight) = (900 + 10 * (number as u32 % 7), 1 + number as u32 % 3);
        let job_classes = [("read", goal, 3000, priority_weight), BOOK, ("extra", goal, 3000, 1)];
        let next = doc(
            &job_classes[..2 + number as usize % 2],
            &format!("[promises]\nanswer_slack_ms = {}\n", 60 + number % 5),
        );
        subscriber.offer_full(number, &next);
        std::thread::sleep(Duration::from_millis(50));
    }
    while let Some(message) = subscriber.receive() {
        let (good, other) = message_counts.get();
        match message {
            SubscriberMessage::TrialEnded { failure: None, version } => {
                message_counts.set((good + 1, other));
                if version.number == 61 {
                    break;
                }
            }
            SubscriberMessage::TrialEnded { failure: Some(why), .. } => panic!("{why}"),
            _ => message_counts.set((good, other + 1)),
        }
    }
    assert!(message_counts.get().0 >= 10, "{:?}", message_counts.get());
    let CallersReport { results, unmatched_answers } = callers.stop();
    let verdict =
        rule_check::check(&results, unmatched_answers, &environment.executor.runs(), DEADLINE, TIME_MARGIN);
    assert!(verdict.passed(), "{verdict}");
    assert!(verdict.count_of(JobOutcome::Succeeded) as f64 > 0.95 * verdict.count as f64, "{verdict}");
}

#[test]
fn a_store_of_a_newer_program_is_left_unmodified_and_the_node_serves_by_its_file() {
    let environment = TestEnvironment::new(FAST_WORKLOAD);
    let file = environment.base.directory.path().join("first.toml");
    std::fs::write(&file, doc(&[READ], "").to_toml()).expect("the document file is written");
    let config = environment.node_config(&format!("document = {file:?}\n{SHORT_TRIAL}"));
    {
        let newer = redb::Database::create(config.store_file()).expect("a store");
        let transaction = newer.begin_write().expect("a write");
        {
            let about: redb::TableDefinition<&str, &[u8]> = redb::TableDefinition::new("about");
            let mut about = transaction.open_table(about).expect("a table");
            about.insert("form", 99u64.to_le_bytes().as_slice()).expect("a value");
            about.insert("owner", b"n1".as_slice()).expect("a value");
        }
        transaction.commit().expect("the transaction is committed");
    }
    let mut node = NodeConfig { log: "error".into(), ..config }.start().expect("the node starts");
    let (mut subscriber, in_effect) = environment.subscriber();
    assert_eq!(in_effect, None);
    assert!(node.wait_until_ready(true), "the node becomes ready by the document in its file");
    subscriber.offer_full(1, &doc(&[BOOK], ""));
    let Rejection::NotStored(why) = rejection_reason(subscriber.receive()) else {
        panic!("expected that the version can't be stored")
    };
    assert!(why.contains("newer program"), "{why}");
    node.kill();
    let newer = redb::Database::create(node.config.store_file()).expect("the store opens again");
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
fn stored_state_that_cannot_be_decoded_is_preserved() {
    let environment = TestEnvironment::new(FAST_WORKLOAD);
    let file = environment.base.directory.path().join("first.toml");
    std::fs::write(&file, doc(&[READ], "").to_toml()).expect("the document file is written");
    let config = NodeConfig {
        log: "off".into(),
        ..environment.node_config(&format!("document = {file:?}\n{SHORT_TRIAL}"))
    };
    let undecodable: &[u8] = b"{\"good\": {\"text\": \"of another age\"}}";
    let open = || hazelgrade_store::Store::open(&config.store_file(), "n1").expect("a store");
    open()
        .commit(&[(
            hazelgrade_stream::stored::store_key(hazelgrade_config::Kind::Serving),
            Some(undecodable),
        )])
        .expect("the value is stored");
    let mut node = config.start().expect("the node starts");
    assert!(node.wait_until_ready(true), "the node becomes ready by the document in its file");
    let (mut subscriber, in_effect) = environment.subscriber();
    assert_eq!(in_effect, None);
    complete_trial(&mut subscriber, 1, &doc(&[BOOK], ""));
    node.kill();
    assert_eq!(open().get("configuration.unread"), Ok(Some(undecodable.to_vec())));
}

#[test]
fn a_store_of_another_node_makes_the_start_fail() {
    let environment = TestEnvironment::new(FAST_WORKLOAD);
    let config = environment.node_config(SHORT_TRIAL);
    drop(hazelgrade_store::Store::open(&config.store_file(), "n2").expect("a store"));
    let mut node = NodeConfig { log: "off".into(), ..config }.start().expect("the node starts");
    assert_eq!(node.wait_for_exit().and_then(|status| status.code()), Some(2));
}

#[test]
fn on_a_full_disk_a_version_is_rejected_and_the_last_good_one_stays_in_effect() {
    let environment = TestEnvironment::new(FAST_WORKLOAD);
    let small = doc(&[READ], "");
    let mut config = environment.node_config(SHORT_TRIAL);
    {
        let mut node = config.start().expect("the node starts");
        let (mut subscriber, _) = environment.subscriber();
        complete_trial(&mut subscriber, 1, &small);
        node.kill();
    }
    // The file size limit keeps the store from growing, which the node sees as it would see a full disk.
    let blocks = std::fs::metadata(config.store_file()).expect("a store").len().div_ceil(512);
    let limited = format!("trap '' XFSZ; ulimit -f {blocks}; exec \"$0\" \"$@\"");
    config.arguments = vec!["-c".into(), limited, config.program.display().to_string()];
    config.program = "/bin/sh".into();
    environment.executor.restart();
    let node = NodeConfig { log: "off".into(), ..config }.start().expect("the node starts");
    let (mut subscriber, in_effect) = environment.subscriber();
    assert_eq!(in_effect, Some(version(1, &small)));
    let large = document(&[READ, BOOK], 3000, "").expect("the document is valid");
    subscriber.offer_full(2, &large);
    let Rejection::NotStored(why) = rejection_reason(subscriber.receive()) else {
        panic!("expected that the version can't be stored")
    };
    assert!(why.contains("full"), "{why}");
    assert!(node.wait_until_ready(true));
    // A version that fits is accepted again.
    complete_trial(&mut subscriber, 3, &doc(&[BOOK], ""));
}

#[test]
fn a_setting_that_needs_a_restart_is_reported_as_staged_and_applied_at_the_next_start() {
    let environment = TestEnvironment::new(FAST_WORKLOAD);
    let mut node = environment.node(SHORT_TRIAL);
    let (mut subscriber, _) = environment.subscriber();
    complete_trial(&mut subscriber, 1, &doc(&[READ], ""));
    subscriber.offer_full(2, &doc(&[READ], "[limits]\nsockets = 64\n"));
    let Some(SubscriberMessage::Acknowledged { staged, .. }) = subscriber.receive() else {
        panic!("not acknowledged")
    };
    assert_eq!(staged, ["limits.sockets"]);
    assert_eq!(trial_failure(subscriber.receive()), None);
    environment.executor.restart();
    node.restart().expect("the node restarts");
    assert!(node.wait_until_ready(true));
    // 64 descriptors leave 16 for clients. Beyond 16 clients, the connections that were idle longest are closed.
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
fn a_check_of_invalid_files_names_the_file_the_line_and_the_field() {
    let folder = tempfile::tempdir().expect("a folder");
    let run = |option: &str, text: &str| {
        let path = folder.path().join("wrong.toml");
        std::fs::write(&path, text).expect("the document file is written");
        let output = Command::new(env!("CARGO_BIN_EXE_hazelgrade"))
            .args(["check", option])
            .arg(&path)
            .env_remove("PROXY_CONFIG")
            .output()
            .expect("the command starts");
        (output.status.code(), String::from_utf8_lossy(&output.stderr).into_owned())
    };
    let (code, message) = run("--operator", "[stream]\ncontrol = [\"here\"]\nstore = \"x\"\n");
    assert_eq!(code, Some(2));
    assert!(message.contains("wrong.toml:2:1: field stream.control: expected 1 to 8 addresses"), "{message}");
    let (code, message) = run("--document", "[use_case.read]\ngoal_ms = 9\ncut_off_ms = 5\nearning = 1\n");
    assert_eq!(code, Some(2));
    assert!(
        message.contains("wrong.toml:2:1: field use_case.read.goal_ms: expected the goal time"),
        "{message}"
    );
    assert!(
        message.contains("wrong.toml:4:1: field use_case.read.earning: there is no such field"),
        "{message}"
    );
    let (code, _) = run("--document", "[use_case.read]\ngoal_ms = 5\ncut_off_ms = 9\n");
    assert_eq!(code, Some(0));
}
