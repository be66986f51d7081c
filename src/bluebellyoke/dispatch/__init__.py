"""The leader's part in workflows: who runs what, and the calls to the workers."""
