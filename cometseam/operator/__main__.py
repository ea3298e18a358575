"""The child that evaluates and checks the operator's file."""

import sys

from cometseam.operator.load import child

sys.exit(child())
