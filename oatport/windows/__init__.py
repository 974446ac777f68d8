"""Cheaper hours: deferrable work is moved into cheaper windows before its deadline. See docs/windows.md."""
