"""``python -m gorsefork``: one real ingress."""

from gorsefork.life.start import main

if __name__ == "__main__":
    main()
