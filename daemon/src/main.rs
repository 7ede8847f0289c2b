//! The lovagespindle daemon.

use std::process::ExitCode;

use anyhow::Context;
use lovagespindle_daemon::command::{
    Command,
    HELP,
    parse, //
};
use lovagespindle_daemon::settings::Settings;
use lovagespindle_daemon::{
    logging,
    run, //
};

fn main() -> ExitCode {
    let arguments = std::env::args_os().skip(1).collect();
    let command = match parse(arguments) {
        Ok(command) => command,
        Err(error) => return fail(&error.into(), 2),
    };
    match command {
        Command::Help => print!("{HELP}"),
        Command::Version => println!("lovagespindled {}", env!("CARGO_PKG_VERSION")),
        Command::Check(file) => match Settings::read(&file) {
            Ok(_) => println!("{} is valid", file.display()),
            Err(error) => return fail(&error.into(), 2),
        },
        Command::Run(file) => {
            let settings = match Settings::read(&file) {
                Ok(settings) => settings,
                Err(error) => return fail(&error.into(), 2),
            };
            if let Err(error) = serve(settings) {
                return fail(&error, 1);
            }
        }
    }
    ExitCode::SUCCESS
}

fn serve(settings: Settings) -> anyhow::Result<()> {
    logging::start(&settings.log)?;
    let runtime = tokio::runtime::Runtime::new().context("the runtime cannot be started")?;
    runtime.block_on(run::run(settings))?;
    Ok(())
}

fn fail(error: &anyhow::Error, code: u8) -> ExitCode {
    eprintln!("lovagespindled: {error:#}");
    ExitCode::from(code)
}
