//! The `hazelgrade` program. See [`hazelgrade_server::program::command`].

fn main() -> std::process::ExitCode {
    hazelgrade_server::program::command::main()
}
