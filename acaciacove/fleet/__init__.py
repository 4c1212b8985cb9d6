"""Input of every decision, as frozen attrs classes."""
