"""The command line: every flag is declared in `cli.definition`."""
