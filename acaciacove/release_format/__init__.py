"""Reading, checking and writing of release notes in YAML."""
