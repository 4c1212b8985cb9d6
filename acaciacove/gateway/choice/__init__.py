"""Choices and limits as plain state and functions, without sockets or clocks."""
