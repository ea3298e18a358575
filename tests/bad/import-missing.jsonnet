local x = import 'nowhere.libsonnet'; { version: 1 } + x
