"""HTTP/1.1 connections to callers and to upstreams.

The parser is that of `httptools`. What a general server or client hides is
kept visible here: a caller that leaves is noticed at once, answers without a
length end only with an orderly close, and an answer that belongs to an earlier
request is told apart.
"""
