//! Command `lovagespindled`: runs one instance, or validates its settings.

use std::path::{
    Path,
    PathBuf, //
};
use std::process::ExitCode;

use anyhow::Context;
use lovagespindle_daemon::command::{
    Command,
    HELP,
    Mode,
    parse, //
};
use lovagespindle_daemon::settings::{
    Settings,
    SettingsError, //
};
use lovagespindle_daemon::{
    dsr,
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
        Command::Check(mode, file) => match check(mode, &file) {
            Ok(()) => println!("{} is valid", file.display()),
            Err(error) => return fail(&error.into(), 2),
        },
        Command::Run(Mode::Relay, file) => match Settings::read(&file) {
            Ok(settings) => return finish(serve(settings)),
            Err(error) => return fail(&error.into(), 2),
        },
        Command::Run(Mode::Dsr, file) => match dsr::settings::Settings::read(&file) {
            Ok(settings) => return finish(serve_dsr(settings, file)),
            Err(error) => return fail(&error.into(), 2),
        },
    }
    ExitCode::SUCCESS
}

fn serve(settings: Settings) -> anyhow::Result<()> {
    logging::start(&settings.log)?;
    let runtime = tokio::runtime::Runtime::new().context("cannot start the tokio runtime")?;
    runtime.block_on(run::run(settings))?;
    Ok(())
}

/// Runs an instance for direct server return. The runtime has one thread, because the platform
/// gives an instance only a share of one core.
fn serve_dsr(settings: dsr::settings::Settings, file: PathBuf) -> anyhow::Result<()> {
    logging::start(&settings.log)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context("cannot start the tokio runtime")?;
    runtime.block_on(dsr::run::run(settings, file))?;
    Ok(())
}

fn check(mode: Mode, file: &Path) -> Result<(), SettingsError> {
    match mode {
        Mode::Relay => Settings::read(file).map(|_| ()),
        Mode::Dsr => dsr::settings::Settings::read(file).map(|_| ()),
    }
}

fn finish(result: anyhow::Result<()>) -> ExitCode {
    log::logger().flush();
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(&error, 1),
    }
}

fn fail(error: &anyhow::Error, code: u8) -> ExitCode {
    eprintln!("lovagespindled: {error:#}");
    ExitCode::from(code)
}
