//! The command line against instances on loopback: output and exit codes.

#![allow(clippy::unwrap_used)] // helpers of tests may panic

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

const FILE: &str = r#"
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

struct Bench {
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

impl Bench {
    /// Serves instances 1, 2, ... with these modes, all with the small configuration.
    fn new(modes: impl IntoIterator<Item = Mode>) -> Bench {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()
            .unwrap();
        let (store, instances) = runtime.block_on(async {
            let store = FakeStore::spawn(FakeStore::default());
            let small = ApplyChanges {
                operation: OperationId(u128::MAX),
                expected: None,
                changes: fakes::small(),
            };
            store.ask(small).await.unwrap();
            let mut instances = Vec::new();
            for (id, mode) in (1..).zip(modes) {
                instances.push(fakes::serve(&store, id, mode).await);
            }
            (store, instances)
        });
        let addresses = instances.iter().map(|i| i.address).collect();
        Bench {
            runtime,
            store,
            instances,
            addresses,
        }
    }

    /// One instance that works.
    fn one() -> Bench {
        Bench::new([Mode::Works])
    }

    /// Adds an address where nothing listens, before the others.
    fn with_dead(mut self) -> Bench {
        let dead = self.runtime.block_on(fakes::nothing());
        self.addresses.insert(0, dead);
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
        output(&mut self.command(arguments))
    }

    fn code(&self, arguments: &str) -> i32 {
        self.run(arguments).code
    }

    fn json(&self, arguments: &str) -> Value {
        let output = self.run(&format!("--json {arguments}"));
        assert_eq!((output.code, output.err.as_str()), (0, ""));
        serde_json::from_str(&output.out).unwrap()
    }

    fn note(&self, instance: usize, occurrence: StateChange) {
        let noted = self.instances[instance]
            .timeline
            .ask(AppendTimeline(occurrence));
        self.runtime.block_on(async move { noted.await.unwrap() });
    }

    /// Stops the server of an instance.
    fn stop(&self, instance: usize) {
        let stopped = self.instances[instance].server.stop_gracefully();
        self.runtime.block_on(async move { stopped.await.unwrap() });
    }

    /// Changes the configuration behind the command line's back.
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

fn output(command: &mut Command) -> Output {
    let output = command.output().unwrap();
    Output {
        code: output.status.code().unwrap(),
        out: String::from_utf8(output.stdout).unwrap(),
        err: String::from_utf8(output.stderr).unwrap(),
    }
}

fn usage(arguments: &str) -> Output {
    output(program().args(arguments.split_whitespace()))
}

/// Writes a file for one test and returns its path.
fn file(test: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{test}.toml"));
    std::fs::write(&path, text).unwrap();
    path
}

fn apply(bench: &Bench, test: &str, text: &str, options: &str) -> Output {
    bench.run(&format!("apply {} {options}", file(test, text).display()))
}

cases! {
    /// Guards against a command that sends another change than its name says.
    every_change_takes_effect => {
        let bench = Bench::one();
        for (arguments, revision) in [
            ("zone create y --region r", 2),
            ("zone out y", 3),
            ("service put t --address 127.0.0.9:80 --idle 2m", 4),
            ("pool create q --service t --zone y", 5),
            ("server put d --pool q --address 127.0.0.4:81 --health 127.0.0.4:82 --slots 3 --connections 9 --weight 7", 6),
            ("server drain d", 7),
        ] {
            let output = bench.run(arguments);
            assert!(output.out.ends_with(&format!("revision {revision}\n")), "{}", output.err);
        }
        assert_eq!(bench.json("zone list")[0]["state"], "out");
        assert_eq!(bench.json("service list")[1]["idle_ms"], 120_000);
        assert_eq!(bench.json("pool list")[1]["zone"], "y");
        let server = &bench.json("server list")[1];
        assert_eq!((&server["state"], &server["weight"]), (&"draining".into(), &7.into()));
        for arguments in ["server undrain d", "server delete d", "pool delete q", "zone in y", "zone delete y", "service delete t"] {
            assert_eq!(bench.code(arguments), 0, "{arguments}");
        }
        assert_eq!(bench.json("server list").as_array().unwrap().len(), 1);
    };
    /// Guards against lists without names or in another form than a table.
    lists_are_tables => {
        let output = Bench::one().run("server list");
        let lines: Vec<_> = output.out.lines().collect();
        assert_eq!(lines[0], "SERVER  POOL  ADDRESS       HEALTH        WEIGHT  SLOTS  CONNECTIONS  STATE");
        assert_eq!(lines[1], "b       p     127.0.0.2:81  127.0.0.2:82  100     4      2000         active");
    };
    /// Guards against help or version that need an instance.
    help_and_version_exit_0 => {
        let help = usage("--help");
        assert!(help.code == 0 && help.out.contains("Exit codes:"));
        assert!(usage("--version").out.starts_with("lovagespindle "));
    };
    /// Guards against a command line that is wrong and still does something, or has another code.
    wrong_command_lines_exit_2 => {
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
            let output = usage(arguments);
            assert_eq!((output.code, output.out.as_str()), (2, ""), "{arguments}: {}", output.err);
        }
    };
    /// Guards against a refusal that scripts cannot tell from success or does not say why.
    refusals_exit_1 => {
        let bench = Bench::one();
        let output = bench.run("zone delete z");
        assert_eq!(output.code, 1);
        assert!(output.err.contains("has 1 pools: delete them first"), "{}", output.err);
        assert_eq!(bench.code("explain --service t --caller 10.0.0.1:1 --unique 1"), 1);
        assert_eq!(bench.code("timeline --zone y"), 1);
        assert_eq!(Bench::new([Mode::Says(ApplyError::Unavailable)]).code("zone out z"), 1);
    };
    /// Guards against unreachable instances that look like a refusal.
    nothing_reachable_exits_3 => {
        let bench = Bench::new([]).with_dead();
        for arguments in [
            "zone out z",
            "zone list",
            "status",
            "timeline",
            "timeline --follow",
            "explain --service s --caller 10.0.0.1:1 --unique 1",
        ] {
            assert_eq!(bench.code(arguments), 3, "{arguments}");
        }
    };
    /// Guards against an unknown outcome that looks like a refusal, and an operator who cannot
    /// repeat the change safely.
    unknown_outcome_exits_4_and_can_be_repeated => {
        let bench = Bench::new([Mode::Silent, Mode::Works]);
        let silent = bench.addresses[0].to_string();
        let output = output(program().args(["--instance", &silent, "--timeout", "500ms", "zone", "out", "z"]));
        assert_eq!(output.code, 4);
        let operation = output.err.split("--operation ").nth(1).unwrap();
        let operation = operation.split(':').next().unwrap();
        let works = bench.addresses[1].to_string();
        let repeat = ["--json", "--instance", &works, "--operation", operation, "zone", "out", "z"];
        let repeated = self::output(program().args(repeat));
        let repeated: Value = serde_json::from_str(&repeated.out).unwrap();
        assert_eq!(repeated["revision"], 2);
        assert_eq!(repeated["operation"], operation);
    };
    /// Guards against a conflict that looks like another refusal.
    conflicts_exit_5 => {
        let bench = Bench::one();
        let output = bench.run("--expect 7 zone out z");
        assert_eq!(output.code, 5);
        assert!(output.err.contains("at revision 1"), "{}", output.err);
        assert_eq!(bench.code("--expect 1 zone out z"), 0);
        let output = apply(&bench, "expect", FILE, "--expect 1 --yes");
        assert_eq!(output.code, 5);
        let conflict = ApplyError::Conflict { present: Revision(3) };
        let bench = Bench::new([Mode::Says(conflict)]);
        assert_eq!(apply(&bench, "conflict", FILE, "--yes").code, 5);
    };
    /// Guards against a dead first instance that stops the command line.
    next_instance_is_asked => {
        let bench = Bench::one().with_dead();
        assert_eq!(bench.code("zone out z"), 0);
        assert_eq!(bench.json("zone list")[0]["state"], "out");
    };
    /// Guards against the environment variable being ignored, or read before the option.
    instances_come_from_the_environment => {
        let bench = Bench::one();
        let mut command = program();
        let list = format!("127.0.0.1:1, {}", bench.addresses[0]);
        assert_eq!(output(command.env("LOVAGESPINDLE_INSTANCES", list).args(["zone", "list"])).code, 0);
        let mut command = bench.command("zone list");
        assert_eq!(output(command.env("LOVAGESPINDLE_INSTANCES", "127.0.0.1:1")).code, 0);
    };
    /// Guards against a preview that changes something, or differs from what is applied.
    apply_previews_then_applies_then_is_done => {
        let bench = Bench::one();
        let line = "+ put server c in pool p at 127.0.0.3:81, health 127.0.0.3:82, weight 100, slots 4, connections 2000\n";
        let preview = apply(&bench, "apply", FILE, "--preview");
        assert_eq!(preview.out, format!("{line}1 changes to apply to revision 1\n"));
        let applied = apply(&bench, "apply", FILE, "--yes");
        assert_eq!(applied.out, format!("{line}1 changes applied: revision 2\n"));
        let again = apply(&bench, "apply", FILE, "--yes");
        assert_eq!(again.out, "nothing to change at revision 2\n");
    };
    /// Guards against a file larger than one call that is refused or applied in part.
    apply_splits_large_files => {
        let bench = Bench::one();
        let zones = (0..600).map(|n| format!("[[zone]]\nname = \"z{n}\"\nregion = \"r\"\n"));
        let applied = apply(&bench, "large", &zones.collect::<String>(), "--yes");
        assert!(applied.out.ends_with("604 changes applied: revision 4\n"), "{}", applied.err);
        assert_eq!(bench.json("zone list").as_array().unwrap().len(), 600);
    };
    /// Guards against a file applied in part that does not say so, or cannot be completed.
    apply_says_how_much_was_applied => {
        let modes = [Mode::WorksOnce(ApplyError::Unavailable), Mode::Works];
        let mut bench = Bench::new(modes);
        let works = bench.addresses.pop();
        let zones = (0..600).map(|n| format!("[[zone]]\nname = \"z{n}\"\nregion = \"r\"\n"));
        let zones: String = zones.collect();
        let partly = apply(&bench, "partly", &zones, "--yes");
        assert_eq!(partly.code, 1);
        assert!(partly.err.contains("256 of 604 changes were applied, up to revision 2"), "{}", partly.err);
        bench.addresses = works.into_iter().collect();
        let rest = apply(&bench, "partly", &zones, "--yes");
        assert!(rest.out.ends_with("348 changes applied: revision 4\n"), "{}", rest.err);
    };
    /// Guards against a file with a value out of range that is applied in part.
    apply_refuses_what_does_not_fit => {
        let bench = Bench::one();
        let refused = apply(&bench, "unfit", &FILE.replace("slots = 4", "slots = 0"), "--yes");
        assert_eq!(refused.code, 1);
        assert!(refused.err.contains("put server b"), "{}", refused.err);
        assert_eq!(apply(&bench, "form", "zoen = []", "--yes").code, 2);
        assert!(apply(&bench, "still", FILE, "--preview").out.ends_with("revision 1\n"));
    };
    /// Guards against a change by someone else that a file silently undoes.
    apply_shows_what_it_deletes => {
        let bench = Bench::one();
        bench.add_server();
        let preview = apply(&bench, "deletes", FILE, "--preview");
        assert!(preview.out.contains("- delete server x\n"), "{}", preview.out);
    };
    /// Guards against red flags that are not marked and silent instances that are left out.
    status_marks_red_flags => {
        let bench = Bench::new([Mode::Works, Mode::Works]).with_dead();
        let output = bench.run("status");
        let lines: Vec<_> = output.out.lines().collect();
        assert_eq!(output.code, 0);
        assert!(lines[1].ends_with("!no_answer"), "{}", output.out);
        assert!(lines[2].ends_with("!platform_lost") && lines[2].contains("0000000000000001  z"));
        assert!(!lines[3].contains('!'));
        assert!(lines[6].starts_with("b ") && lines[6].ends_with("!fenced"));
        let json = bench.json("status");
        assert_eq!(json[0]["flags"][0], "no_answer");
        assert_eq!(json[1]["owned"][0]["server"], "b");
    };
    /// Guards against an explanation that does not name servers and owners.
    explain_names_candidates => {
        let bench = Bench::one();
        let arguments = "explain --service s --caller 10.0.0.1:1 --unique ff";
        let output = bench.run(arguments);
        assert!(output.out.starts_with("flow 00000000000000000000000000000100 of service s at revision 1\n"));
        assert!(output.out.ends_with("0          b       0000000000000001\n"), "{}", output.out);
        assert_eq!(bench.json(arguments)["holding"], "hosted");
    };
    /// Guards against time lines that are not merged by time, or filters that are not passed on.
    timeline_merges_all_instances => {
        let bench = Bench::new([Mode::Works, Mode::Works]);
        let down = StateChange::ServerDown { backend_server: BackendServerId(2) };
        bench.note(1, StateChange::Started);
        bench.note(0, down);
        bench.note(1, StateChange::PlatformLost);
        let events = |arguments: &str| -> Vec<String> {
            let entries = bench.json(arguments);
            let entries = entries.as_array().unwrap().iter();
            entries.map(|e| format!("{} {}", e["instance"].as_str().unwrap(), e["event"])).collect()
        };
        let all = ["0000000000000002 \"started\"", "0000000000000001 \"server_down\"", "0000000000000002 \"platform_lost\""];
        assert_eq!(events("timeline"), all);
        assert_eq!(events("timeline --since 1h"), all);
        assert_eq!(events("timeline --server b"), all[1..2]);
        assert_eq!(events("timeline --until 1h").len(), 0);
        let text = bench.run("timeline --zone z").out;
        assert!(text.ends_with("server_down  server=b\n"), "{text}");
    };
    /// Guards against an instance that is missing in the output without a word.
    timeline_names_silent_instances => {
        let bench = Bench::one().with_dead();
        bench.note(0, StateChange::Started);
        let output = bench.run("timeline");
        assert_eq!((output.code, output.out.lines().count()), (0, 1));
        assert!(output.err.contains(&bench.addresses[0].to_string()));
    };
    /// Guards against one address given twice that is shown as two instances.
    repeated_instance_is_asked_once => {
        let mut bench = Bench::one();
        bench.addresses.push(bench.addresses[0]);
        assert_eq!(bench.json("status").as_array().unwrap().len(), 1);
    };
    /// Guards against past entries out of order, new entries that do not appear, and a command
    /// that hangs when no instance is left.
    timeline_follows_until_no_instance_is_left => {
        let bench = Bench::new([Mode::Works, Mode::Works]);
        bench.note(1, StateChange::Started);
        bench.note(0, StateChange::PlatformLost);
        let mut command = bench.command("timeline --follow");
        let mut child = command.stdout(Stdio::piped()).stderr(Stdio::null()).spawn().unwrap();
        let mut lines = BufReader::new(child.stdout.take().unwrap()).lines();
        let mut next = || lines.next().unwrap().unwrap();
        assert!(next().ends_with("0000000000000002  started"));
        assert!(next().ends_with("0000000000000001  platform_lost"));
        bench.note(0, StateChange::PlatformBack);
        assert!(next().ends_with("platform_back"));
        bench.stop(1);
        bench.note(0, StateChange::Leaving);
        assert!(next().ends_with("leaving"));
        bench.stop(0);
        assert_eq!(child.wait().unwrap().code(), Some(3));
    };
}
