"""Settings of all tests."""

from hypothesis import settings

# A deadline for each example asserts how fast the machine is, and fails beside load.
settings.register_profile("acaciacove", deadline=None, derandomize=True)
settings.load_profile("acaciacove")
