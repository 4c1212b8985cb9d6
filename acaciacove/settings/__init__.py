"""Checked settings objects, passed whole."""
