"""Fronts: a request to what it asks for, an answer back. Thin."""
