"""Base class of every fault that the program reports.

Each fault has a class of its own. The message of a fault states what is wrong
and the remedy, so that one line is enough for an operator.
"""

__all__ = ["BluebellyokeError", "find_error"]


class BluebellyokeError(Exception):
    """A fault with a message that names the remedy.

    Args:
        problem: What is wrong, without a full stop.
        remedy: What the reader can do about it, without a full stop.
    """

    def __init__(self, problem: str, *, remedy: str) -> None:
        super().__init__(f"{problem}; {remedy}")
        self.problem = problem
        self.remedy = remedy


def find_error(group: BaseExceptionGroup) -> BluebellyokeError | None:
    """Return the first fault with a remedy inside nested groups."""
    for error in group.exceptions:
        if isinstance(error, BluebellyokeError):
            return error
        if isinstance(error, BaseExceptionGroup):
            found = find_error(error)
            if found is not None:
                return found
    return None
