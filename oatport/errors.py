"""The base class of all errors that oatport raises deliberately.

Each error is defined in the module that raises it. An error that callers used to catch as a built-in exception also
derives from that exception: `class InvalidMessageError(OatportError, ValueError)`.
"""

from __future__ import annotations


class OatportError(Exception):
    """Base class of oatport's errors; the text is a single line for people to read."""
