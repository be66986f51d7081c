"""Adapter that translates between the users' platform and the project's types.

It translates names, formats and calls, and makes no decisions.
"""
