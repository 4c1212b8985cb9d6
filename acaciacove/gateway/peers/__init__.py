"""Gossip between gateways: age of the view, limits, crashes and roll-out evidence."""
