"""Settings of commands and processes, checked on construction."""
