"""What each part of the program costs at what size: kept measurements, fitted slopes, and the capacity page.

    python -m benchmarks.capacity measure [NAME...]   run the cheap measurements, and keep their results
    python -m benchmarks.capacity import FILE...      keep the results of another program's run
    python -m benchmarks.capacity report              write the tables of docs/CAPACITY.md anew
    python -m benchmarks.capacity check               say whether the page and the kept results agree

Measurements of CPU are of process time, never of wall time: the machine may be busy with other work.
"""
