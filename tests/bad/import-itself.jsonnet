local x = import 'import-itself.jsonnet'; { version: 1, x: x.version } + x { y: x.y }
