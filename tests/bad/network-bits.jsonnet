{ version: 1, networks: { a: { include: '10.1.2.3/24' } } }
