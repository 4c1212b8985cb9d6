"""Release notes as YAML: the form in which operators write them."""
