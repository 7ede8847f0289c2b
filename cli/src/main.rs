//! The command line tool for operators of lovagespindle.

mod apply;
mod args;
mod command;
mod describe;
mod entry;
mod exit;
mod explain;
mod follow;
mod pool;
mod report;
mod server;
mod service;
mod session;
mod status;
mod timeline;
mod zone;

use std::process::ExitCode;

use pico_args::Arguments;

use crate::args::{
    INSTANCES_VARIABLE, //
    Invocation,
};
use crate::exit::{
    Exit,
    Failure, //
};
use crate::session::Session;

fn main() -> ExitCode {
    let exit = match run() {
        Ok(()) => Exit::Ok,
        Err(Failure::Output(e)) if e.kind() == std::io::ErrorKind::BrokenPipe => Exit::Ok,
        Err(failure) => {
            eprintln!("lovagespindle: {failure}");
            failure.exit()
        }
    };
    exit.into()
}

fn run() -> Result<(), Failure> {
    let variable = std::env::var(INSTANCES_VARIABLE).ok();
    match args::parse(Arguments::from_env(), variable.as_deref())? {
        Invocation::Help => print!("{}", include_str!("help.txt")),
        Invocation::Version => println!("lovagespindle {}", env!("CARGO_PKG_VERSION")),
        Invocation::Run(globals, command) => {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()?;
            let session = Session::new(globals);
            let report = runtime.block_on(command.run(&session))?;
            report.print(session.json)?;
        }
    }
    Ok(())
}
