"""The laboratory: what measures this program at sizes that it is not run at. Never imported in service."""
