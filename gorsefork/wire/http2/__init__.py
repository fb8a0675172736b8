"""HTTP/2 on h2: sessions that do no I/O, and the budgets that keep a peer from costing more than it may."""
