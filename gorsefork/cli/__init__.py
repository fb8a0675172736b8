"""The command line, one file a subcommand. Talks to running ingresses by their control listeners."""
