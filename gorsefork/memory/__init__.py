"""What is kept in memory: calls, delegations, the registry, timers and the module's actor. No wire here."""
