"""Dispatch of workflow tasks by the leader: planning and calls to the workers."""
