"""Errors of decoders of data from other programs."""

# All that the decoders of msgspec raise for bytes that they cannot read. Data
# that is nested too deeply raises RecursionError, also in fields that the
# decoded type does not have. The other errors of msgspec are ValueErrors.
DECODE_ERRORS = (ValueError, RecursionError)
