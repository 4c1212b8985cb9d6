"""HTTP/1.1 connections to callers and endpoints, framed by h11."""
