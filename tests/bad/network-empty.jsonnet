{ version: 1, networks: { a: { include: '10.1.0.0/16', exclude: '10.0.0.0/8' } } }
