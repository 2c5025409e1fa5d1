"""HTTP/1.1 server and client based on `httptools`.

General-purpose servers and clients hide details that the router depends on.
This package detects a caller's disconnect at once, treats a response without a
length as complete only after an orderly close, and detects a response that
belongs to an earlier request.
"""
