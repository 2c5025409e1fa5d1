"""Errors of the decision logic."""


class CoreError(Exception):
    """Base class of all errors raised by the core package."""


class MessageDecodeError(CoreError):
    """A peer message is not valid MessagePack or has an unknown type."""


class ChartError(CoreError):
    """A state chart file is inconsistent."""


class RecordGapError(CoreError):
    """Records that precede the one to apply are missing."""


class ChartEventError(CoreError):
    """A state chart has no transition for an event in the current state."""


class TraceError(CoreError):
    """A recorded trace cannot be read."""
