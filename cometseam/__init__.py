"""cometseam routes pulls through a two-tier cache; `logic` decides, in the terms of `interface`."""
