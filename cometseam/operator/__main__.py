"""Entry point of the child process that evaluates and checks the operator's file."""

import sys

from cometseam.operator.load import child_main

sys.exit(child_main())
