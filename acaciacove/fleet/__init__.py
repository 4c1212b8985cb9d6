"""The data that every decision is made from: plain frozen attrs values."""
