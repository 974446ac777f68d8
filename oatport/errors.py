"""The base class of all errors that oatport raises on purpose.

Each error is defined next to what raises it. One that callers used to catch as a built-in error is a kind of that, too:
`class InvalidMessageError(OatportError, ValueError)`.
"""

from __future__ import annotations


class OatportError(Exception):
    """Something that oatport can't do, with a text of one line for people."""
