"""Base class of the errors that the program reports to users.

Each kind of error is a subclass. The message states the problem and the remedy, so
that one line is enough for an operator.
"""

__all__ = ["BluebellyokeError", "find_error"]


class BluebellyokeError(Exception):
    """An error whose message includes a remedy.

    Args:
        problem: Description of the problem, without a full stop.
        remedy: How the reader can fix it, without a full stop.
    """

    def __init__(self, problem: str, *, remedy: str) -> None:
        super().__init__(f"{problem}; {remedy}")
        self.problem = problem
        self.remedy = remedy


def find_error(group: BaseExceptionGroup) -> BluebellyokeError | None:
    """Return the first `BluebellyokeError` in nested exception groups, if any."""
    for error in group.exceptions:
        if isinstance(error, BluebellyokeError):
            return error
        if isinstance(error, BaseExceptionGroup):
            found = find_error(error)
            if found is not None:
                return found
    return None
