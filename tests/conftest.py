"""Shared fixtures and the settings of the test run."""

import hypothesis

hypothesis.settings.register_profile(
    "fixed", derandomize=True, deadline=None, database=None, print_blob=False
)
hypothesis.settings.load_profile("fixed")
