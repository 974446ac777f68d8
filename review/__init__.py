"""The cases of an independent review, with their stand-ins. They are not part of the tests."""
