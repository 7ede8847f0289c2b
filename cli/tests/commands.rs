//! Tests the output and the exit codes of the command line tool against fake instances on loopback
//! addresses.

#![allow(clippy::unwrap_used)] // test helpers may panic

#[path = "../../operators/tests/fakes/mod.rs"]
mod fakes;

use std::io::{
    BufRead,
    BufReader, //
};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{
    Command,
    Stdio, //
};

use fakes::{
    FakeInstance,
    FakeStore,
    Mode, //
};
use kameo::actor::{
    ActorRef,
    Spawn, //
};
use lovagespindle_decisions::ids::{
    BackendServerId,
    OperationId,
    Revision, //
};
use lovagespindle_decisions::state_change::StateChange;
use lovagespindle_operators::messages::{
    ApplyChanges,
    ApplyError, //
};
use lovagespindle_operators::timeline::AppendTimeline;
use serde_json::Value;
use tokio::runtime::Runtime;

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident => $body:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() { $body })*
    };
}

const DEPLOYMENT: &str = r#"
zone = [{ name = "z", region = "r" }]
service = [{ name = "s", address = "127.0.0.1:80", idle = "1m" }]
[[pool]]
name = "p"
service = "s"
zone = "z"
server = [
    { name = "b", address = "127.0.0.2:81", health = "127.0.0.2:82", slots = 4, connections = 2000 },
    { name = "c", address = "127.0.0.3:81", health = "127.0.0.3:82", slots = 4, connections = 2000 },
]
"#;

struct TestCluster {
    runtime: Runtime,
    store: ActorRef<FakeStore>,
    instances: Vec<FakeInstance>,
    addresses: Vec<SocketAddr>,
}

struct Output {
    code: i32,
    out: String,
    err: String,
}

impl TestCluster {
    /// Starts one instance per mode, with ids from 1, on a store with the configuration
    /// `fakes::small`.
    fn new(modes: impl IntoIterator<Item = Mode>) -> TestCluster {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()
            .unwrap();
        let (store, instances) = runtime.block_on(async {
            let store = FakeStore::spawn(FakeStore::default());
            let initial = ApplyChanges {
                operation: OperationId(u128::MAX),
                expected: None,
                changes: fakes::small(),
            };
            store.ask(initial).await.unwrap();
            let mut instances = Vec::new();
            for (id, mode) in (1..).zip(modes) {
                instances.push(fakes::serve(&store, id, mode).await);
            }
            (store, instances)
        });
        let addresses = instances.iter().map(|i| i.address).collect();
        TestCluster {
            runtime,
            store,
            instances,
            addresses,
        }
    }

    /// Starts one instance that works normally.
    fn single() -> TestCluster {
        TestCluster::new([Mode::Works])
    }

    /// Inserts an address where nothing listens before the other addresses.
    fn with_unreachable(mut self) -> TestCluster {
        let unreachable = self.runtime.block_on(fakes::nothing());
        self.addresses.insert(0, unreachable);
        self
    }

    fn command(&self, arguments: &str) -> Command {
        let mut command = program();
        for address in &self.addresses {
            command.arg("--instance").arg(address.to_string());
        }
        command.args(arguments.split_whitespace());
        command
    }

    fn run(&self, arguments: &str) -> Output {
        run_command(&mut self.command(arguments))
    }

    fn exit_code(&self, arguments: &str) -> i32 {
        self.run(arguments).code
    }

    fn json(&self, arguments: &str) -> Value {
        let output = self.run(&format!("--json {arguments}"));
        assert_eq!((output.code, output.err.as_str()), (0, ""));
        serde_json::from_str(&output.out).unwrap()
    }

    fn append(&self, instance: usize, change: StateChange) {
        let appended = self.instances[instance]
            .timeline
            .ask(AppendTimeline(change));
        self.runtime
            .block_on(async move { appended.await.unwrap() });
    }

    /// Stops the RPC server of an instance.
    fn stop_server(&self, instance: usize) {
        let stopped = self.instances[instance].server.stop_gracefully();
        self.runtime.block_on(async move { stopped.await.unwrap() });
    }

    /// Adds backend server `x` directly in the store, as another operator would.
    fn add_server(&self) {
        let change = ApplyChanges {
            operation: OperationId(9),
            expected: None,
            changes: vec![fakes::server("x")],
        };
        let store = self.store.clone();
        self.runtime
            .block_on(async move { store.ask(change).await.unwrap() });
    }
}

fn program() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_lovagespindle"));
    command
        .env_remove("LOVAGESPINDLE_INSTANCES")
        .stdin(Stdio::null());
    command
}

fn run_command(command: &mut Command) -> Output {
    let output = command.output().unwrap();
    Output {
        code: output.status.code().unwrap(),
        out: String::from_utf8(output.stdout).unwrap(),
        err: String::from_utf8(output.stderr).unwrap(),
    }
}

fn run_program(arguments: &str) -> Output {
    run_command(program().args(arguments.split_whitespace()))
}

/// Writes the TOML file of one test and returns its path.
fn write_file(test: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{test}.toml"));
    std::fs::write(&path, text).unwrap();
    path
}

fn apply(cluster: &TestCluster, test: &str, text: &str, options: &str) -> Output {
    cluster.run(&format!(
        "apply {} {options}",
        write_file(test, text).display()
    ))
}

cases! {
    /// Guards against a command that sends the wrong change.
    every_change_takes_effect => {
        let cluster = TestCluster::single();
        for (arguments, revision) in [
            ("zone create y --region r", 2),
            ("zone out y", 3),
            ("service put t --address 127.0.0.9:80 --idle 2m", 4),
            ("pool create q --service t --zone y", 5),
            ("server put d --pool q --address 127.0.0.4:81 --health 127.0.0.4:82 --slots 3 --connections 9 --weight 7", 6),
            ("server drain d", 7),
        ] {
            let output = cluster.run(arguments);
            assert!(output.out.ends_with(&format!("revision {revision}\n")), "{}", output.err);
        }
        assert_eq!(cluster.json("zone list")[0]["state"], "out");
        assert_eq!(cluster.json("service list")[1]["idle_ms"], 120_000);
        assert_eq!(cluster.json("pool list")[1]["zone"], "y");
        let server = &cluster.json("server list")[1];
        assert_eq!((&server["state"], &server["weight"]), (&"draining".into(), &7.into()));
        for arguments in ["server undrain d", "server delete d", "pool delete q", "zone in y", "zone delete y", "service delete t"] {
            assert_eq!(cluster.exit_code(arguments), 0, "{arguments}");
        }
        assert_eq!(cluster.json("server list").as_array().unwrap().len(), 1);
    };
    /// Guards against lists that show ids instead of names or that are not aligned as tables.
    lists_are_tables => {
        let output = TestCluster::single().run("server list");
        let lines: Vec<_> = output.out.lines().collect();
        assert_eq!(lines[0], "SERVER  POOL  ADDRESS       HEALTH        WEIGHT  SLOTS  CONNECTIONS  STATE");
        assert_eq!(lines[1], "b       p     127.0.0.2:81  127.0.0.2:82  100     4      2000         active");
    };
    /// Guards against `--help` or `--version` failing when no instance is given.
    help_and_version_need_no_instance => {
        let help = run_program("--help");
        assert!(help.code == 0 && help.out.contains("Exit codes:"));
        assert!(run_program("--version").out.starts_with("lovagespindle "));
    };
    /// Guards against an invalid command line that is executed or that exits with another code.
    invalid_command_lines_exit_2 => {
        for arguments in [
            "",
            "zone list",
            "--instance nowhere zone list",
            "--instance 127.0.0.1:1 zone",
            "--instance 127.0.0.1:1 zone move z",
            "--instance 127.0.0.1:1 zone out",
            "--instance 127.0.0.1:1 zone out z y",
            "--instance 127.0.0.1:1 zone out --now",
            "--instance 127.0.0.1:1 zone create z",
            "--instance 127.0.0.1:1 --timeout soon zone out z",
            "--instance 127.0.0.1:1 apply /nonexistent --yes",
            "--instance 127.0.0.1:1 apply x --yes --preview",
            "--instance 127.0.0.1:1 --operation 1 apply x --yes",
            "--instance 127.0.0.1:1 apply x",
            "--instance 127.0.0.1:1 timeline --since yesterday",
            "--instance 127.0.0.1:1 explain --service s --caller 10.0.0.1:1 --unique xyz",
        ] {
            let output = run_program(arguments);
            assert_eq!((output.code, output.out.as_str()), (2, ""), "{arguments}: {}", output.err);
        }
    };
    /// Guards against a refusal that exits with 0 or whose message does not give the reason.
    refusals_exit_1 => {
        let cluster = TestCluster::single();
        let output = cluster.run("zone delete z");
        assert_eq!(output.code, 1);
        assert!(output.err.contains("has 1 pools: delete them first"), "{}", output.err);
        assert_eq!(cluster.exit_code("explain --service t --caller 10.0.0.1:1 --unique 1"), 1);
        assert_eq!(cluster.exit_code("timeline --zone y"), 1);
        assert_eq!(TestCluster::new([Mode::Says(ApplyError::Unavailable)]).exit_code("zone out z"), 1);
    };
    /// Guards against unreachable instances being reported as a refusal.
    no_reachable_instance_exits_3 => {
        let cluster = TestCluster::new([]).with_unreachable();
        for arguments in [
            "zone out z",
            "zone list",
            "status",
            "timeline",
            "timeline --follow",
            "explain --service s --caller 10.0.0.1:1 --unique 1",
        ] {
            assert_eq!(cluster.exit_code(arguments), 3, "{arguments}");
        }
    };
    /// Guards against an unknown outcome being reported as a refusal, and against a message without
    /// the operation id that is needed to repeat the change safely.
    unknown_outcome_exits_4_and_can_be_repeated => {
        let cluster = TestCluster::new([Mode::Silent, Mode::Works]);
        let silent = cluster.addresses[0].to_string();
        let output = run_command(program().args(["--instance", &silent, "--timeout", "500ms", "zone", "out", "z"]));
        assert_eq!(output.code, 4);
        let operation = output.err.split("--operation ").nth(1).unwrap();
        let operation = operation.split(':').next().unwrap();
        let works = cluster.addresses[1].to_string();
        let repeat = ["--json", "--instance", &works, "--operation", operation, "zone", "out", "z"];
        let repeated = self::run_command(program().args(repeat));
        let repeated: Value = serde_json::from_str(&repeated.out).unwrap();
        assert_eq!(repeated["revision"], 2);
        assert_eq!(repeated["operation"], operation);
    };
    /// Guards against a conflict being reported as another kind of refusal.
    conflicts_exit_5 => {
        let cluster = TestCluster::single();
        let output = cluster.run("--expect 7 zone out z");
        assert_eq!(output.code, 5);
        assert!(output.err.contains("at revision 1"), "{}", output.err);
        assert_eq!(cluster.exit_code("--expect 1 zone out z"), 0);
        let output = apply(&cluster, "expect", DEPLOYMENT, "--expect 1 --yes");
        assert_eq!(output.code, 5);
        let conflict = ApplyError::Conflict { present: Revision(3) };
        let cluster = TestCluster::new([Mode::Says(conflict)]);
        assert_eq!(apply(&cluster, "conflict", DEPLOYMENT, "--yes").code, 5);
    };
    /// Guards against a command that fails because the first instance is unreachable.
    unreachable_instance_is_skipped => {
        let cluster = TestCluster::single().with_unreachable();
        assert_eq!(cluster.exit_code("zone out z"), 0);
        assert_eq!(cluster.json("zone list")[0]["state"], "out");
    };
    /// Guards against the environment variable being ignored or taking precedence over
    /// `--instance`.
    instances_come_from_the_environment => {
        let cluster = TestCluster::single();
        let mut command = program();
        let list = format!("127.0.0.1:1, {}", cluster.addresses[0]);
        assert_eq!(run_command(command.env("LOVAGESPINDLE_INSTANCES", list).args(["zone", "list"])).code, 0);
        let mut command = cluster.command("zone list");
        assert_eq!(run_command(command.env("LOVAGESPINDLE_INSTANCES", "127.0.0.1:1")).code, 0);
    };
    /// Guards against a preview that changes the configuration or differs from what is applied.
    apply_matches_preview_and_is_idempotent => {
        let cluster = TestCluster::single();
        let line = "+ put server c in pool p at 127.0.0.3:81, health 127.0.0.3:82, weight 100, slots 4, connections 2000\n";
        let preview = apply(&cluster, "apply", DEPLOYMENT, "--preview");
        assert_eq!(preview.out, format!("{line}1 changes to apply to revision 1\n"));
        let applied = apply(&cluster, "apply", DEPLOYMENT, "--yes");
        assert_eq!(applied.out, format!("{line}1 changes applied: revision 2\n"));
        let again = apply(&cluster, "apply", DEPLOYMENT, "--yes");
        assert_eq!(again.out, "nothing to change at revision 2\n");
    };
    /// Guards against a file with more changes than one call allows being refused or applied in
    /// part.
    apply_splits_large_files => {
        let cluster = TestCluster::single();
        let zones = (0..600).map(|n| format!("[[zone]]\nname = \"z{n}\"\nregion = \"r\"\n"));
        let applied = apply(&cluster, "large", &zones.collect::<String>(), "--yes");
        assert!(applied.out.ends_with("604 changes applied: revision 4\n"), "{}", applied.err);
        assert_eq!(cluster.json("zone list").as_array().unwrap().len(), 600);
    };
    /// Guards against a partly applied file that is not reported as such or cannot be completed by
    /// applying it again.
    partial_apply_reports_progress_and_can_be_completed => {
        let modes = [Mode::WorksOnce(ApplyError::Unavailable), Mode::Works];
        let mut cluster = TestCluster::new(modes);
        let works = cluster.addresses.pop();
        let zones = (0..600).map(|n| format!("[[zone]]\nname = \"z{n}\"\nregion = \"r\"\n"));
        let zones: String = zones.collect();
        let partial = apply(&cluster, "partly", &zones, "--yes");
        assert_eq!(partial.code, 1);
        assert!(partial.err.contains("256 of 604 changes were applied, up to revision 2"), "{}", partial.err);
        cluster.addresses = works.into_iter().collect();
        let rest = apply(&cluster, "partly", &zones, "--yes");
        assert!(rest.out.ends_with("348 changes applied: revision 4\n"), "{}", rest.err);
    };
    /// Guards against a file with an out-of-range value being applied in part.
    apply_rejects_invalid_files_as_a_whole => {
        let cluster = TestCluster::single();
        let refused = apply(&cluster, "unfit", &DEPLOYMENT.replace("slots = 4", "slots = 0"), "--yes");
        assert_eq!(refused.code, 1);
        assert!(refused.err.contains("put server b"), "{}", refused.err);
        assert_eq!(apply(&cluster, "form", "zoen = []", "--yes").code, 2);
        assert!(apply(&cluster, "still", DEPLOYMENT, "--preview").out.ends_with("revision 1\n"));
    };
    /// Guards against a file that reverts a change of another operator without showing it.
    apply_shows_deletions => {
        let cluster = TestCluster::single();
        cluster.add_server();
        let preview = apply(&cluster, "deletes", DEPLOYMENT, "--preview");
        assert!(preview.out.contains("- delete server x\n"), "{}", preview.out);
    };
    /// Guards against flags that are not marked and against unreachable instances missing in the
    /// output.
    status_marks_flags_and_unreachable_instances => {
        let cluster = TestCluster::new([Mode::Works, Mode::Works]).with_unreachable();
        let output = cluster.run("status");
        let lines: Vec<_> = output.out.lines().collect();
        assert_eq!(output.code, 0);
        assert!(lines[1].ends_with("!no_answer"), "{}", output.out);
        assert!(lines[2].ends_with("!platform_lost") && lines[2].contains("0000000000000001  z"));
        assert!(!lines[3].contains('!'));
        assert!(lines[6].starts_with("b ") && lines[6].ends_with("!fenced"));
        let json = cluster.json("status");
        assert_eq!(json[0]["flags"][0], "no_answer");
        assert_eq!(json[1]["owned"][0]["server"], "b");
    };
    /// Guards against an explanation without the names of backend servers or the ids of owners.
    explain_names_candidates => {
        let cluster = TestCluster::single();
        let arguments = "explain --service s --caller 10.0.0.1:1 --unique ff";
        let output = cluster.run(arguments);
        assert!(output.out.starts_with("flow 00000000000000000000000000000100 of service s at revision 1\n"));
        assert!(output.out.ends_with("0          b       0000000000000001\n"), "{}", output.out);
        assert_eq!(cluster.json(arguments)["holding"], "hosted");
    };
    /// Guards against timelines that are not merged by time and filters that are not sent.
    timeline_merges_all_instances => {
        let cluster = TestCluster::new([Mode::Works, Mode::Works]);
        let down = StateChange::ServerDown { backend_server: BackendServerId(2) };
        cluster.append(1, StateChange::Started);
        cluster.append(0, down);
        cluster.append(1, StateChange::PlatformLost);
        let events = |arguments: &str| -> Vec<String> {
            let entries = cluster.json(arguments);
            let entries = entries.as_array().unwrap().iter();
            entries.map(|e| format!("{} {}", e["instance"].as_str().unwrap(), e["event"])).collect()
        };
        let all = ["0000000000000002 \"started\"", "0000000000000001 \"server_down\"", "0000000000000002 \"platform_lost\""];
        assert_eq!(events("timeline"), all);
        assert_eq!(events("timeline --since 1h"), all);
        assert_eq!(events("timeline --server b"), all[1..2]);
        assert_eq!(events("timeline --until 1h").len(), 0);
        let text = cluster.run("timeline --zone z").out;
        assert!(text.ends_with("server_down  server=b\n"), "{text}");
    };
    /// Guards against an unreachable instance that is left out without a message.
    timeline_reports_unreachable_instances => {
        let cluster = TestCluster::single().with_unreachable();
        cluster.append(0, StateChange::Started);
        let output = cluster.run("timeline");
        assert_eq!((output.code, output.out.lines().count()), (0, 1));
        assert!(output.err.contains(&cluster.addresses[0].to_string()));
    };
    /// Guards against an address that is given twice being shown as two instances.
    repeated_instance_is_shown_once => {
        let mut cluster = TestCluster::single();
        cluster.addresses.push(cluster.addresses[0]);
        assert_eq!(cluster.json("status").as_array().unwrap().len(), 1);
    };
    /// Guards against history that is out of order, new entries that are not printed, and a command
    /// that hangs after the streams of all instances have ended.
    timeline_follows_until_all_streams_end => {
        let cluster = TestCluster::new([Mode::Works, Mode::Works]);
        cluster.append(1, StateChange::Started);
        cluster.append(0, StateChange::PlatformLost);
        let mut command = cluster.command("timeline --follow");
        let mut child = command.stdout(Stdio::piped()).stderr(Stdio::null()).spawn().unwrap();
        let mut lines = BufReader::new(child.stdout.take().unwrap()).lines();
        let mut next = || lines.next().unwrap().unwrap();
        assert!(next().ends_with("0000000000000002  started"));
        assert!(next().ends_with("0000000000000001  platform_lost"));
        cluster.append(0, StateChange::PlatformBack);
        assert!(next().ends_with("platform_back"));
        cluster.stop_server(1);
        cluster.append(0, StateChange::Leaving);
        assert!(next().ends_with("leaving"));
        cluster.stop_server(0);
        assert_eq!(child.wait().unwrap().code(), Some(3));
    };
}
