{ version: 1, networks: { a: { include: 'b' }, b: { include: ['a', '::1'] } } }
