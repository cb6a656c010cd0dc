"""Runs the program with ``python -m greengagelb``."""

from greengagelb.cli import main

if __name__ == '__main__':
    main.run()
