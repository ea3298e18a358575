{ version: 1, networks: { a: { include: '10.0.0.0/8', budget: { share: 0.1 } }, b: { include: '10.1.0.0/16', budget: { share: 0.2 } } } }
