"""Deferred starts: moves deferrable jobs into cheaper time windows before their deadlines. See docs/windows.md."""
