"""The command line interface. ``cli.definition`` lists all commands."""
