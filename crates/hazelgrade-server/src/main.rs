fn main() -> std::process::ExitCode {
    hazelgrade_server::program::command::main()
}
